// Command case8 shows requests that reach an evacuated zone from a machine in touch, on the order of
// a machine that is partitioned from the store.
package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestair/samphirestair/review/rig2/rig"
)

const (
	shards = 8
	// cutFor is how long one machine is partitioned from the store, once.
	cutFor     = 5500 * time.Millisecond
	evacuateMs = 5 * time.Second
	contactMs  = 4 * time.Second
	observeFor = 9 * time.Second
	// interval is the time between two requests of the clients of the machine.
	interval = 40 * time.Millisecond
)

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	store := c.Store()
	var names []string
	var searchers []*rig.Searcher
	for i := range shards {
		service := fmt.Sprintf("desk~%d", i)
		names = append(names, service)
		for _, zone := range []string{"espoo", "vantaa"} {
			searchers = append(searchers, c.Searcher(store, fmt.Sprintf("i-%s-%d", zone, i), service, zone))
		}
	}
	store.Set("op/config", rig.NewConfig(1, names...).Gather("match", "/ziti980/", names, 10, 0.75, 1500*time.Millisecond))

	var fleet []*rig.VM
	var links []*rig.Link
	for i, zone := range []string{"tampere", "espoo", "vantaa"} {
		link, err := rig.NewLink(store.Address)
		c.Must(err)
		links = append(links, link)
		fleet = append(fleet, c.VM(fmt.Sprintf("vm-%d", i+1), zone, link.Address, ""))
	}
	for _, s := range searchers {
		s.SetIdentify(func(remote net.Addr) string { return rig.OwnerOf(fleet, remote) })
	}
	c.AwaitReady(fleet)
	time.Sleep(contactMs)

	// Clients of the machine in tampere, where there are no searchers.
	var stopped atomic.Bool
	var clients sync.WaitGroup
	clients.Go(func() {
		for !stopped.Load() {
			clients.Go(func() {
				id := rig.NewID()
				a := rig.Get(fleet[0].Front, "/ziti980/2f", id, 1500*time.Millisecond)
				c.Record("request %s sent to vm-1: status %d, %s parts missing, error %v", id, a.Status, a.Header.Get("Samphirestair-Missing-Parts"), a.Err)
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(2 * time.Second)
	if c.Trouble {
		links[0].SetCut(true)
		c.Printf("vm-1 (tampere) is partitioned from the store")
		time.AfterFunc(cutFor, func() {
			links[0].SetCut(false)
			c.Printf("vm-1 reaches the store again")
		})
	}
	time.Sleep(100 * time.Millisecond)
	store.Set("op/evacuate/vantaa", map[string]any{})
	acked := time.Now()
	c.Printf("the evacuation of vantaa is acknowledged")
	time.Sleep(observeFor)
	stopped.Store(true)
	clients.Wait()

	c.RecordRuns(searchers)
	c.RecordLogs(fleet, "zone_out", "store_lost", "store_regained")
	late := map[string]int{}
	last := 0.0
	for _, s := range searchers {
		for _, r := range s.Runs() {
			if s.Zone == "vantaa" && r.At.Sub(acked) > evacuateMs {
				late[r.From]++
				last = max(last, r.At.Sub(acked).Seconds())
			}
		}
	}
	broken := 0
	for from, count := range late {
		c.Printf("%d requests from %q reached searchers in vantaa later than %v after the acknowledgement", count, from, evacuateMs)
		if from == fleet[1].ID || from == fleet[2].ID {
			broken += count
		}
	}
	c.Printf("%d requests reached vantaa so late from machines in touch, the last one after %.3f s (EVAC allows none)", broken, last)
	if broken > 0 {
		return rig.Broken
	}
	return rig.Held
}
