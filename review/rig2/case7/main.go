// Command case7 shows a quota that is granted twice: by machines that the store turns away, and
// by those that take their place.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/review/rig2/rig"
)

const (
	processes = 9
	zones     = 3
	// turnedAway is the number of processes that the store turns away, a third of all, and
	// turnedAwayFor for how long. The pages have up to 0.35 of them for 9 s.
	turnedAway    = 3
	turnedAwayFor = 9 * time.Second
	tenants       = 3
	// The quota of each tenant, and the bounds of the rule.
	ratePerS     = 100.0
	burst        = 10.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// demandPerS is what the clients of each process ask for each tenant, per second. That is
	// more than the quota at any number of processes from 4 on.
	demandPerS = 30
	steadyFor  = 10 * time.Second
	observeFor = 18 * time.Second
)

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	store := c.Store()
	var away sync.Map
	store.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		_, refused := away.Load(r.Host)
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return refused
	}
	var searchers []*rig.Searcher
	for i := range zones {
		searchers = append(searchers, c.Searcher(store, fmt.Sprintf("i-%d", i), "desk", fmt.Sprintf("z%d", i+1)))
	}
	config := rig.NewConfig(1, "desk").Route("lookup", "/timi402/", "idempotent", "desk", 2, 2*time.Second)
	config.Services[0]["maxConns"] = 44
	for i := range tenants {
		config.Tenants = append(config.Tenants, map[string]any{
			"name": tenantName(i), "apiKeys": []string{key(i)}, "priority": 1, "ratePerS": ratePerS, "burst": burst,
		})
	}
	store.Set("op/config", config)

	quota := fmt.Sprintf("\n[quota]\nwindow = %v\noverage = %v\nslack = %v\n", quotaWindow, quotaOverage, quotaSlack)
	var fleet, serving, standby []*rig.VM
	for i := range processes {
		// Each process has an address of the store of its own, by which the store knows it.
		address, err := store.Listen()
		c.Must(err)
		fleet = append(fleet, c.VM(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%zones+1), address, quota))
	}
	// The machines that are started together agree within seconds which of them serve.
	rig.WaitFor(20*time.Second, func() bool { return countReady(fleet) >= processes-turnedAway })
	time.Sleep(4 * time.Second)
	for _, vm := range fleet {
		if vm.IsReady() {
			serving = append(serving, vm)
		} else {
			standby = append(standby, vm)
		}
	}
	c.Printf("%d processes serve, %d stand by", len(serving), len(standby))
	if len(serving) != processes-turnedAway || len(standby) != turnedAway {
		c.Unable("6 processes were to serve and 3 to stand by")
	}

	clients := newClients()
	for _, vm := range serving {
		clients.start(vm)
	}
	time.Sleep(steadyFor)
	began := time.Now()
	if c.Trouble {
		for _, vm := range serving[:turnedAway] {
			away.Store(vm.StoreURL, true)
			c.Printf("the store turns %s away", vm.ID)
		}
		time.AfterFunc(turnedAwayFor, func() {
			away.Clear()
			c.Printf("the store serves all again")
		})
	}
	// Clients use a process that stood by once it is ready, as the directory then names it.
	for waiting := slices.Clone(standby); time.Since(began) < observeFor; time.Sleep(100 * time.Millisecond) {
		waiting = slices.DeleteFunc(waiting, func(vm *rig.VM) bool {
			if !vm.IsReady() {
				return false
			}
			c.Printf("%s serves now", vm.ID)
			clients.start(vm)
			return true
		})
	}
	clients.stop()

	c.RecordLogs(fleet, "duty_changed", "vm_gone")
	bound := int((ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack)
	exceeded := false
	for i := range tenants {
		runs := clients.match(searchers, tenantName(i))
		for second := range int((steadyFor + observeFor).Seconds()) {
			from := clients.began.Add(time.Duration(second) * time.Second)
			c.Record("%s: from %.0f s on, %d requests ran within a second", tenantName(i), c.At(from), countWithin(runs, from, time.Second))
		}
		most, at := busiest(runs)
		c.Printf("%s: at most %d requests were sent and ran within %v, from %.3f s on (QUOTA allows %d)", tenantName(i), most, quotaWindow, c.At(at), bound)
		exceeded = exceeded || most > bound
	}
	if exceeded {
		return rig.Broken
	}
	return rig.Held
}

func countReady(vms []*rig.VM) (ready int) {
	for _, vm := range vms {
		if vm.IsReady() {
			ready++
		}
	}
	return ready
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

func key(i int) string { return fmt.Sprintf("key-%d", i) }

// clients are the clients of all processes.
type clients struct {
	began   time.Time
	stopped atomic.Bool
	running sync.WaitGroup

	mu sync.Mutex
	// sent holds when each request was sent.
	sent map[string]time.Time
}

func newClients() *clients { return &clients{began: time.Now(), sent: map[string]time.Time{}} }

// start begins to send the requests of all tenants to one process, over kept connections.
func (l *clients) start(vm *rig.VM) {
	const connections = 2
	for tenant := range tenants {
		for part := range connections {
			l.running.Add(1)
			go func() {
				defer l.running.Done()
				l.send(vm, tenant, time.Duration(part)*time.Second/demandPerS, connections*time.Second/demandPerS)
			}()
		}
	}
}

func (l *clients) send(vm *rig.VM, tenant int, offset, interval time.Duration) {
	var conn net.Conn
	var in *bufio.Reader
	for next := time.Now().Add(offset); !l.stopped.Load(); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", vm.Front, time.Second); err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := rig.NewID()
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.mu.Unlock()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(conn, "GET /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\nAuthorization: Token %s\r\nSamphirestair-Request-Id: %s\r\nSamphirestair-Deadline-Ms: 2000\r\n\r\n", key(tenant), id)
		if a := rig.ReadAnswer(in); a.Err != nil || strings.EqualFold(a.Header.Get("Connection"), "close") {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *clients) stop() {
	l.stopped.Store(true)
	l.running.Wait()
}

// ran is a request that ran.
type ran struct{ sent, arrived time.Time }

// match returns the requests of a tenant that ran, each once, in the order in which they were sent.
func (l *clients) match(searchers []*rig.Searcher, tenant string) (runs []ran) {
	first := map[string]time.Time{}
	for _, s := range searchers {
		for _, r := range s.Runs() {
			if r.Header.Get("Samphirestair-Tenant-Id") != tenant {
				continue
			}
			if known, ok := first[r.ID]; !ok || r.At.Before(known) {
				first[r.ID] = r.At
			}
		}
	}
	for id, at := range first {
		runs = append(runs, ran{l.sent[id], at})
	}
	slices.SortFunc(runs, func(a, b ran) int { return a.sent.Compare(b.sent) })
	return runs
}

// countWithin returns how many requests were both sent and arrived in a window.
func countWithin(runs []ran, from time.Time, window time.Duration) (count int) {
	for _, r := range runs {
		if !r.sent.Before(from) && !r.arrived.After(from.Add(window)) {
			count++
		}
	}
	return count
}

// busiest returns the largest number of requests that were sent and arrived in a window, and its begin.
func busiest(runs []ran) (most int, at time.Time) {
	for _, r := range runs {
		if count := countWithin(runs, r.sent, quotaWindow); count > most {
			most, at = count, r.sent
		}
	}
	return most, at
}
