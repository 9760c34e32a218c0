// Command rig runs the cases of the review: real processes of the system between stand-ins
// of the platform's store, the searchers and the clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const host = "desk.example"

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) log(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// rig is a small deployment.
type rig struct {
	dir       string
	rec       *recorder
	store     *store
	vms       []*vm
	searchers []*searcher
	trouble   bool
}

func newRig(caseDir string) (*rig, error) {
	rec, err := newRecorder(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, rec: rec, store: st, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// close ends all processes.
func (r *rig) close() {
	for _, v := range r.vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// configure writes the configuration of the operator.
func (r *rig) configure(version int, routes []map[string]any) {
	services := map[string]bool{}
	var list []map[string]any
	for _, s := range r.searchers {
		if !services[s.service] {
			services[s.service] = true
			list = append(list, map[string]any{"name": s.service, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0})
		}
	}
	r.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

var zones = []string{"vantaa", "espoo", "tampere", "lahti"}

// startVMs starts machines and waits until all are ready and named by the directory.
func (r *rig) startVMs(count int) error {
	network, err := freeNetwork(count)
	if err != nil {
		return err
	}
	for i := range count {
		v, err := newVM(r.dir, fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], fmt.Sprint(network, i+1), r.store.address)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		if err := r.awaitReady(v, count); err != nil {
			return err
		}
		go r.askReadiness(v)
	}
	return nil
}

// askReadiness asks a machine once a second whether it is ready, as the platform does.
func (r *rig) askReadiness(v *vm) {
	ready := true
	for range time.Tick(time.Second) {
		if now := v.isReady(); now != ready {
			ready = now
			r.rec.log("ready", "%s=%t", v.name, ready)
		}
	}
}

// freeNetwork returns the first three parts of a loopback network on whose first addresses the
// ports of machines are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range machines {
			for _, port := range []string{frontPort, directoryPort, readyPort, peersPort, adminPort} {
				free = free && isFree(fmt.Sprint(network, i+1, ":", port))
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("ports are in use on all networks that were tried")
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func (r *rig) awaitReady(v *vm, listed int) error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		if addresses, _ := v.resolve(host); v.isReady() && len(addresses) >= listed {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

var cases = map[string]func(*rig) (broken bool, err error){}

func main() {
	os.Exit(runCase(os.Args))
}

func runCase(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository")
		return exitNotRun
	}
	r, err := newRig(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := cases[args[1]](r)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		r.rec.log("error", "%v", err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
