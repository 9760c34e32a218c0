// Command case9 shows requests that reach a removed searcher later than drainMs after its removal, since
// the open connections to the store had gone silent.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/review/rig2/rig"
)

const (
	processes = 3
	drainMs   = 3 * time.Second
	contactMs = 4 * time.Second
	// removedAfter is when the searcher is removed, after the connections went silent.
	removedAfter = 1100 * time.Millisecond
	observeFor   = 8 * time.Second
	// interval is the time between two requests to each process.
	interval = 20 * time.Millisecond
)

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	store := c.Store()
	watched := make(chan struct{}, 1)
	var first atomic.Pointer[string]
	store.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if host := first.Load(); host != nil && *host == r.Host && r.URL.Path == "/api/kv-watch" {
			select {
			case watched <- struct{}{}:
			default:
			}
		}
		return false
	}
	leaving := c.Searcher(store, "i-leaving", "desk", "z1")
	searchers := []*rig.Searcher{leaving, c.Searcher(store, "i-staying", "desk", "z2")}
	store.Set("op/config", rig.NewConfig(1, "desk").Route("lookup", "/timi402/", "idempotent", "desk", 2, 2*time.Second))
	var fleet []*rig.VM
	var links []*rig.Link
	for i := range processes {
		link, err := rig.NewLink(store.Address)
		c.Must(err)
		links = append(links, link)
		fleet = append(fleet, c.VM(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i+1), link.Address, ""))
	}
	c.AwaitReady(fleet)
	time.Sleep(2 * contactMs)

	var stopped atomic.Bool
	var clients sync.WaitGroup
	for _, vm := range fleet {
		clients.Go(func() {
			for !stopped.Load() {
				id := rig.NewID()
				a := rig.Get(vm.Front, "/timi402/2f", id, time.Second)
				c.Record("request %s sent to %s: status %d, stamp %s, error %v", id, vm.ID, a.Status, a.Header.Get("Samphirestair-Server-Stamp"), a.Err)
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(time.Second)
	first.Store(&links[0].Address)
	select {
	case <-watched:
	case <-time.After(10 * time.Second):
		c.Unable("vm-1 does not watch the store")
	}
	silent := time.Now()
	if c.Trouble {
		for _, link := range links {
			link.SilenceOpen()
		}
		c.Printf("the open connections to the store go silent, right after vm-1 began to wait for changes")
	}
	time.Sleep(time.Until(silent.Add(removedAfter)))
	store.Delete("servers/" + leaving.ID)
	removed := time.Now()
	c.Printf("the entry of %s is removed; it continues to serve", leaving.ID)
	time.Sleep(observeFor)
	stopped.Store(true)
	clients.Wait()

	c.RecordRuns(searchers)
	c.RecordLogs(fleet, "store_lost", "store_regained", "server_gone")
	late, last := 0, time.Duration(0)
	for _, r := range leaving.Runs() {
		// In touch: contactMs after the connections went silent.
		if r.At.Sub(removed) > drainMs && r.At.Sub(silent) > contactMs {
			late++
			last = max(last, r.At.Sub(removed))
		}
	}
	c.Printf("%d requests reached %s later than %v after its removal, from machines in touch, the last one after %.3f s (DRAIN allows none)", late, leaving.ID, drainMs, last.Seconds())
	if late > 0 {
		return rig.Broken
	}
	return rig.Held
}
