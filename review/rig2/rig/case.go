package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its temporary folder and the processes that it started.
type Case struct {
	// Trouble is set if the disruption takes place.
	Trouble bool

	mu      sync.Mutex
	file    *os.File
	started time.Time
	dir     string
	vms     []*VM
}

// unable is the panic that ends a case which can't run.
type unable string

// Main runs a case and ends the program with its exit code. All processes that the case started
// are ended.
func Main(run func(c *Case) (code int)) {
	os.Exit(runCase(run))
}

func runCase(run func(c *Case) int) (code int) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if c.file, err = os.Create(filepath.Join(os.Getenv("CASE"), "record.txt")); err != nil {
		fmt.Println("could not run:", err)
		return NotRun
	}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Println("could not run:", err)
		return NotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		c.end()
		os.Exit(NotRun)
	}()
	defer c.end()
	defer func() {
		if reason, ok := recover().(unable); ok {
			c.Printf("could not run: %s", reason)
			code = NotRun
		}
	}()
	return run(c)
}

func (c *Case) end() {
	c.mu.Lock()
	vms := c.vms
	c.mu.Unlock()
	for _, vm := range vms {
		vm.Kill()
	}
	_ = os.RemoveAll(c.dir)
}

// Unable ends the case as one that can't run.
func (c *Case) Unable(format string, args ...any) {
	panic(unable(fmt.Sprintf(format, args...)))
}

// Must ends the case as one that can't run if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Unable("%v", err)
	}
}

// Printf writes one line to the record and to the standard output.
func (c *Case) Printf(format string, args ...any) {
	c.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Record writes one line to the record, after the time since the start in seconds.
func (c *Case) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%8.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as it stands in the record, in seconds.
func (c *Case) At(t time.Time) float64 { return t.Sub(c.started).Seconds() }

// Store starts a store.
func (c *Case) Store() *Store {
	s, err := NewStore()
	c.Must(err)
	return s
}

// Searcher starts a searcher and registers it.
func (c *Case) Searcher(store *Store, id, service, zone string) *Searcher {
	s, err := NewSearcher(id, service, zone)
	c.Must(err)
	s.Register(store)
	return s
}

// VM starts a process of the system. more is added to its settings.
func (c *Case) VM(id, zone, storeAddress, more string) *VM {
	vm := NewVM(id, zone, c.dir, storeAddress)
	vm.Extra = more
	c.mu.Lock()
	c.vms = append(c.vms, vm)
	c.mu.Unlock()
	c.Must(vm.Start())
	return vm
}

// AwaitReady waits until all processes are ready.
func (c *Case) AwaitReady(vms []*VM) {
	ready := func() bool {
		for _, vm := range vms {
			if !vm.IsReady() {
				return false
			}
		}
		return true
	}
	if !WaitFor(15*time.Second, ready) {
		c.Unable("the system is not ready")
	}
}

// RecordRuns writes what the searchers ran to the record.
func (c *Case) RecordRuns(searchers []*Searcher) {
	for _, s := range searchers {
		for _, r := range s.Runs() {
			c.Record("searcher %s (service %s, zone %s) ran request %s at %.3f s", s.ID, s.Service, s.Zone, r.ID, c.At(r.At))
		}
	}
}

// RecordLogs writes the lines of the processes' logs that contain one of some words to the record.
func (c *Case) RecordLogs(vms []*VM, words ...string) {
	for _, vm := range vms {
		for _, line := range MatchingLines(vm.Log(), words...) {
			c.Record("log: %s", line)
		}
	}
}
