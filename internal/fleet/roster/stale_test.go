package roster_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/lab/depsrv"
)

// serverIn returns the registration of a backend server of service "a" in a zone.
func serverIn(zone ident.Zone) roster.Server {
	s := registered()
	s.Zone = zone
	return s
}

// laterChanges are changes to a store that newPagedStore returned.
var laterChanges = map[string]func(store *depsrv.Store){
	"configuration": func(store *depsrv.Store) { store.Set("config:", encode(2)) },
	"zone out":      func(store *depsrv.Store) { store.Set("out:espoo", nil) },
	"zone in":       func(store *depsrv.Store) { store.DeleteKey("out:vantaa") },
	"server drains": func(store *depsrv.Store) {
		s := serverIn("espoo")
		s.Draining = true
		store.Set("server:i-2", encode(s))
	},
	"server removed":  func(store *depsrv.Store) { store.DeleteKey("server:i-3") },
	"server replaced": func(store *depsrv.Store) { s := serverIn("lahti"); s.Born = 9; store.Set("server:i-3", encode(s)) },
	"server added":    func(store *depsrv.Store) { store.Set("server:i-4", encode(serverIn("lahti"))) },
	"VM removed":      func(store *depsrv.Store) { store.DeleteKey(roster.ServingKey("vm-8")) },
	"VM leaves": func(store *depsrv.Store) {
		store.Set(roster.ServingKey("vm-8"), encode(roster.Member{VM: "vm-8", Serving: true, Leaving: true}))
	},
	"VM added": func(store *depsrv.Store) {
		store.Set(roster.ServingKey("vm-9"), encode(roster.Member{VM: "vm-9", Serving: true}))
	},
}

// newPagedStore returns a store with a key on each page.
func newPagedStore() *depsrv.Store {
	store := depsrv.New()
	store.SetPageItems(1)
	store.Set("config:", encode(1))
	store.Set(roster.ServingKey("vm-8"), encode(roster.Member{VM: "vm-8", Serving: true}))
	store.Set("out:vantaa", nil)
	for i, zone := range []ident.Zone{"vantaa", "espoo", "lahti"} {
		store.Set(fmt.Sprint("server:i-", i+1), encode(serverIn(zone)))
	}
	return store
}

// knowledge is what a view says of the fleet.
type knowledge struct {
	Version  ident.Version
	ZonesOut []ident.Zone
	Servers  []roster.Server
	// Members is empty while departed VMs may still be kept.
	Members []ident.VMID
}

func knowledgeOf(view *roster.View, withMembers bool) knowledge {
	k := knowledge{ZonesOut: coll.Sorted(view.ZonesOut)}
	if view.Table != nil {
		k.Version = view.Table.Config().Version
	}
	for _, r := range view.Replicas("a") {
		k.Servers = append(k.Servers, r.Server)
	}
	for _, m := range view.Members {
		if withMembers && m.VM != "vm-1" {
			k.Members = append(k.Members, m.VM)
		}
	}
	return k
}

// current returns what a view of the store's content says.
func current(t *testing.T, store *depsrv.Store, withMembers bool) knowledge {
	t.Helper()
	batch, err := store.Range(t.Context(), "", false)
	require.NoError(t, err)
	state := roster.NewState("vm-1", jsonDecoder{}, nil)
	state.Load(time.Now(), "", batch)
	return knowledgeOf(state.View(), withMembers)
}

// Guards against an acknowledged configuration, an evacuation or a departed server that a VM never
// learns of, since its first read of the store, made of pages of different ages, lacks it.
func TestWatchCompletesAStaleReadWithPagesOfDifferentAges(t *testing.T) {
	const pages = 9
	patterns := map[string]func(page, number int) bool{
		"old page %d":             func(page, number int) bool { return page == number },
		"only page %d is newer":   func(page, number int) bool { return page != number },
		"old pages from %d on":    func(page, number int) bool { return page >= number },
		"old pages before the %d": func(page, number int) bool { return page < number },
	}
	for name, change := range laterChanges {
		for format, isOld := range patterns {
			for number := range pages {
				for _, newest := range []string{"a:", "z:"} {
					t.Run(fmt.Sprintf("%s, "+format+", newest item at %s", name, number, newest), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							store := newPagedStore()
							store.Set(newest, nil)
							earlier := store.Copy()
							change(store)
							store.Set(newest, nil)
							later := store.Copy()
							var copies []*depsrv.Copy
							for page := range pages {
								if isOld(page, number) {
									copies = append(copies, earlier)
								} else {
									copies = append(copies, later)
								}
							}
							store.SetFaults(depsrv.Faults{StaleCopies: copies})
							requireCompleteFollower(t, store)
						})
					})
				}
			}
		}
	}
}

// requireCompleteFollower requires that a VM that starts knows the content of the store once it
// counts its view as up to date.
func requireCompleteFollower(t *testing.T, store *depsrv.Store) {
	t.Helper()
	expected := current(t, store, false)
	followStore(t, store, roster.FollowerOptions{}, func(f *roster.Follower, _ *roster.Registrar) {
		for range 200 {
			time.Sleep(5 * time.Millisecond)
			if _, known := f.Age(time.Now()); known {
				break
			}
		}
		_, known := f.Age(time.Now())
		require.True(t, known)
		require.Equal(t, expected, knowledgeOf(f.View(), false))
		time.Sleep(time.Second)
		require.Equal(t, current(t, store, true), knowledgeOf(f.View(), true))
	})
}

// Guards against a VM that continues from a revision that the store no longer has in its history,
// or that takes a later one instead: most items are older than the history.
func TestStaleReadWithPagesOlderThanTheHistory(t *testing.T) {
	for name, change := range laterChanges {
		for _, compactsBefore := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", compacted before the change ", compactsBefore), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newPagedStore()
					earlier := store.Copy()
					if compactsBefore {
						store.Compact()
					}
					change(store)
					if !compactsBefore {
						store.Compact()
					}
					store.Set("z:", nil)
					store.SetFaults(depsrv.Faults{StaleCopies: []*depsrv.Copy{earlier, earlier, earlier, earlier, earlier, earlier, store.Copy()}})
					before := store.Calls()
					requireCompleteFollower(t, store)
					require.Less(t, store.Calls()-before, 60, "one current read of nine pages completes a stale one")
				})
			})
		}
	}
}

// busiestSecond returns the largest number of calls that count against the store's rate of reads in
// a second of the next ten, which begin with the call of start.
func busiestSecond(store *depsrv.Store, start func()) int {
	const perSecond = 10
	samples := []int{store.Reads()}
	most := 0
	start()
	for range 10 * perSecond {
		time.Sleep(time.Second / perSecond)
		samples = append(samples, store.Reads())
		most = max(most, store.Reads()-samples[max(len(samples)-1-perSecond, 0)])
	}
	return most
}

// Guards against a fleet that exceeds the rate of reads of the store when it starts at once, since
// each VM reads again what stale pages do not prove.
func TestFleetThatStartsAtOnceStaysWithinTheRateOfReads(t *testing.T) {
	// A store for 300 VMs bears 16,000 reads a second, one for 100 VMs 6,000.
	const vms, servers, pageItems, readsPerSecond = 300, 400, 100, 6000
	for _, registered := range []bool{false, true} {
		t.Run(fmt.Sprint("VMs registered ", registered), func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				for i := range servers {
					c.store.Set(fmt.Sprint("server:i-", i), encode(serverIn("vantaa")))
				}
				c.store.SetPageItems(pageItems)
				if registered {
					c.startVMs(t, vms)
					time.Sleep(10 * time.Second)
					for _, stop := range c.stops {
						stop()
					}
					time.Sleep(time.Second)
				}
				c.store.Compact()
				require.Less(t, busiestSecond(c.store, func() { c.startVMs(t, vms) }), readsPerSecond)
			})
		})
	}
}

// evacuatedPeer is another VM that knows that a zone is out of service.
type evacuatedPeer struct{ fixedPeer }

func (p *evacuatedPeer) FetchSnapshot(context.Context) (*roster.Snapshot, time.Duration, error) {
	server := serverIn("vantaa")
	server.ID = "i-1"
	return &roster.Snapshot{Config: &routes.Config{Version: 6}, Servers: []roster.Server{server}, ZonesOut: []ident.Zone{"vantaa"}}, time.Second, nil
}

// Guards against a VM that serves callers from another VM's snapshot, and replaces it by a stale
// read that is older: a zone would be back in service until a watch returns.
func TestSnapshotIsNotReplacedByAStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPagedStore()
		store.Set("config:", encode(6))
		store.DeleteKey("out:vantaa")
		earlier := store.Copy()
		store.Set("out:vantaa", nil)
		store.SetFaults(depsrv.Faults{Down: true})
		followStore(t, store, roster.FollowerOptions{Peers: &evacuatedPeer{}}, func(f *roster.Follower, r *roster.Registrar) {
			time.Sleep(time.Second)
			require.True(t, r.ViewUsable(time.Now()))
			store.SetFaults(depsrv.Faults{StaleCopies: []*depsrv.Copy{earlier}, HangWatches: true})
			for range 100 {
				time.Sleep(20 * time.Millisecond)
				require.True(t, f.View().ZonesOut.Has("vantaa"))
			}
			store.SetFaults(depsrv.Faults{})
			time.Sleep(5 * time.Second)
			require.Equal(t, current(t, store, true), knowledgeOf(f.View(), true))
		})
	})
}
