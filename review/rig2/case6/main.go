// Command case6 shows an acknowledged configuration that the whole system loses when all its
// processes are killed right after the acknowledgement.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/review/rig2/rig"
)

const (
	processes = 4
	// later is the number of searchers of shards that no route names yet. Together with the
	// others they are more than a page of the store.
	later = 520
	// configMs and contactMs are the bounds of a small deployment.
	configMs  = 3 * time.Second
	contactMs = 4 * time.Second
	// firstPageAge and nextPageAge are how old the state is from which the store answers reads
	// with staleOk: the replica that has the first page is further behind.
	firstPageAge = 3 * time.Second
	nextPageAge  = 200 * time.Millisecond
	// judgedAfter is the time after the acknowledgement from which requests are judged. All
	// processes have run undisturbed for contactMs by then, and far longer than configMs.
	judgedAfter = 14 * time.Second
)

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	store := c.Store()
	store.ReadAge = func(r *http.Request) time.Duration {
		if r.URL.Query().Get("after") == "" {
			return firstPageAge
		}
		return nextPageAge
	}
	var searchers []*rig.Searcher
	for _, service := range []string{"old", "new"} {
		for i := range 2 {
			searchers = append(searchers, c.Searcher(store, fmt.Sprintf("i-%s%d", service, i), service, fmt.Sprintf("z%d", i+1)))
		}
	}
	for i := range later {
		registerLater(store, fmt.Sprintf("s-%04d", i))
	}
	store.Set("op/config", configuration(7, "old"))
	time.Sleep(firstPageAge + time.Second)

	var fleet []*rig.VM
	for i := range processes {
		fleet = append(fleet, c.VM(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("z%d", i%2+1), store.Address, ""))
	}
	c.AwaitReady(fleet)
	time.Sleep(contactMs)
	ask(c, fleet, "before")

	store.Set("op/config", configuration(9, "new"))
	acked := time.Now()
	c.Printf("version 9 is acknowledged: the route moves from service old to service new")
	time.Sleep(200 * time.Millisecond)
	registerLater(store, "s-9999")
	c.Printf("one more searcher of the later shards registers")
	if c.Trouble {
		time.Sleep(200 * time.Millisecond)
		for _, vm := range fleet {
			vm.Kill()
		}
		c.Printf("all processes are killed")
		time.Sleep(time.Second)
		for _, vm := range fleet {
			c.Must(vm.Start())
		}
		c.AwaitReady(fleet)
		c.Printf("all processes are started again and ready")
	}
	time.Sleep(time.Until(acked.Add(judgedAfter)))
	broken, served := 0, 0
	for range 10 {
		for _, service := range ask(c, fleet, "after") {
			served++
			if service == "old" {
				broken++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.RecordRuns(searchers)
	for _, vm := range fleet {
		c.Record("status of %s: %s", vm.ID, strings.TrimSpace(vm.Admin("/status")))
	}
	c.RecordLogs(fleet, "store_read", "config_in_force")
	c.Printf("of %d requests that were served %v or more after the acknowledgement, the old service ran %d (CONFIG allows none after %v)",
		served, judgedAfter, broken, configMs)
	switch {
	case broken > 0:
		return rig.Broken
	case served == 0:
		c.Unable("no request was served")
	}
	return rig.Held
}

func configuration(version int, service string) *rig.Config {
	return rig.NewConfig(version, "old", "new").Route("lookup", "/timi402/", "idempotent", service, 2, 2*time.Second)
}

// registerLater registers a searcher of a shard that no route names yet.
func registerLater(store *rig.Store, id string) {
	store.Set("servers/"+id, map[string]any{
		"backend": "later~" + id, "address": "127.0.0.1:9", "zone": "z1", "version": "1", "slots": 2, "state": "ready",
		"warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// ask sends one request to each process and returns the services that ran those that were served.
func ask(c *rig.Case, fleet []*rig.VM, when string) (services []string) {
	for _, vm := range fleet {
		id := rig.NewID()
		a := rig.Get(vm.Front, "/timi402/2f", id, 2*time.Second)
		service, _, _ := strings.Cut(strings.TrimPrefix(a.Header.Get("Samphirestair-Server-Stamp"), "i-"), ".")
		service = strings.TrimRight(service, "0123456789")
		c.Record("%s: request %s sent to %s: status %d, run by service %q, error %v", when, id, vm.ID, a.Status, service, a.Err)
		if a.Status == http.StatusOK {
			services = append(services, service)
		}
	}
	return services
}
