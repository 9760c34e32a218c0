package roster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/lab/depsrv"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// loadCopy loads items as the content of a copy in the next era, which has fewer revisions
// than the store had.
func (state *stateUnderTest) loadCopy(t *testing.T, now time.Time, items ...depot.Item) {
	t.Helper()
	position, err := depot.NewPosition(state.revision.Era()+1, 1)
	require.NoError(t, err)
	state.revision = position
	for i := range items {
		items[i].Revision = position
	}
	state.Load(now, "", depot.Batch{Items: items, Revision: position})
}

// serverWith returns the registration of a process of a backend server.
func serverWith(sequence int64, draining bool) roster.Server {
	s := registered()
	s.Born, s.Sequence, s.Draining = 5, sequence, draining
	return s
}

// newLoadedState returns a state that has read all keys.
func newLoadedState(now time.Time) *stateUnderTest {
	state := newStateUnderTest()
	state.Load(now, "", depot.Batch{Items: []depot.Item{state.put("config:", 7)}, Revision: state.revision})
	return state
}

func TestOlderCopyTakesNothingBack(t *testing.T) {
	state := newLoadedState(start)
	state.apply(start,
		state.put("server:kept", serverWith(3, false)), state.put("server:drains", serverWith(4, true)),
		state.put("server:left", serverWith(9, true)), state.put("out:espoo", ""))
	state.apply(start, state.del("server:left"))

	back := start.Add(time.Second)
	state.loadCopy(t, back,
		state.put("config:", 5), state.put("server:drains", serverWith(2, false)), state.put("server:left", serverWith(7, false)))
	require.EqualValues(t, 7, state.View().Table.Config().Version)
	require.Equal(t, []ident.ServerID{"kept"}, state.ids())
	require.True(t, state.View().ZonesOut.Has("espoo"))

	// What is written again in time stays, and what is not is gone.
	state.apply(back.Add(time.Second), state.put("server:drains", serverWith(5, true)), state.put("server:left", serverWith(8, false)))
	require.Equal(t, []ident.ServerID{"kept"}, state.ids())
	state.RemoveExpired(back.Add(2500 * time.Millisecond))
	require.Empty(t, state.ids())
	require.Empty(t, state.View().ZonesOut)
}

func TestServerThatRegistersAgainAfterItsDepartureIsUsed(t *testing.T) {
	state := newLoadedState(start)
	state.apply(start, state.put("server:s", serverWith(3, false)))
	state.apply(start, state.del("server:s"))
	state.loadCopy(t, start.Add(time.Second), state.put("server:s", serverWith(3, false)))
	require.Empty(t, state.ids())
	state.apply(start.Add(time.Second), state.put("server:s", serverWith(4, false)))
	require.Equal(t, []ident.ServerID{"s"}, state.ids())
	state.apply(start.Add(time.Second), state.del("server:s"))
	again := serverWith(1, false)
	again.Born = 6
	state.loadCopy(t, start.Add(2*time.Second), state.put("server:s", again))
	require.Equal(t, []ident.ServerID{"s"}, state.ids())
}

func TestMarkOfAZoneWrittenAgainInANewEraStays(t *testing.T) {
	state := newLoadedState(start)
	state.apply(start, state.put("out:espoo", ""))
	state.loadCopy(t, start.Add(time.Second))
	state.apply(start.Add(2*time.Second), state.put("out:espoo", ""))
	state.RemoveExpired(start.Add(time.Minute))
	require.True(t, state.View().ZonesOut.Has("espoo"))
	state.apply(start.Add(time.Minute), state.del("out:espoo"))
	require.Empty(t, state.View().ZonesOut)
}

func TestLeavingVMStaysOutOfTheListAfterARollback(t *testing.T) {
	state := newLoadedState(start)
	leaves := roster.Member{VM: "vm-2", BootID: 22, Serving: true}
	key := roster.ServingKey("vm-2")
	state.apply(start, state.put(key, leaves))
	require.Len(t, state.View().Members, 1)
	leaving := leaves
	leaving.Leaving = true
	state.apply(start, state.put(key, leaving))
	state.loadCopy(t, start.Add(time.Second), state.put(key, leaves))
	require.Empty(t, state.View().Members)
	state.apply(start.Add(time.Second), state.del(key))
	state.loadCopy(t, start.Add(2*time.Second), state.put(key, leaves))
	require.Empty(t, state.View().Members)
	restarted := leaves
	restarted.BootID = 23
	state.apply(start.Add(3*time.Second), state.put(key, restarted))
	require.Len(t, state.View().Members, 1)
}

func TestAnswerOfAnEarlierEraIsNotUsed(t *testing.T) {
	state := newLoadedState(start)
	state.apply(start, state.put("server:a", serverWith(1, false)))
	late := depot.Batch{Revision: state.revision}
	state.loadCopy(t, start, state.put("server:a", serverWith(1, false)))
	state.Load(start.Add(time.Minute), "", late)
	require.Equal(t, []ident.ServerID{"a"}, state.ids())
}

// The store comes back twice from an older copy, also while it is down: the VM registers
// again under a lease of its own, and learns what is written afterwards.
func TestVMRegistersAgainAfterRollbacks(t *testing.T) {
	for name, outage := range map[string]time.Duration{"at once": 0, "after an outage": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(store *depsrv.Store, f *roster.Follower, _ *roster.Registrar) {
				empty := store.Copy()
				time.Sleep(3 * time.Second)
				store.Set("config:", encode(4))
				time.Sleep(2 * time.Second)
				for range 2 {
					store.SetFaults(depsrv.Faults{Down: outage > 0})
					time.Sleep(outage)
					store.Restore(empty)
					store.SetFaults(depsrv.Faults{})
					for range 9 {
						// Revisions soon pass the one that the VM has read.
						store.Set("server:s", encode(registered()))
					}
				}
				store.Set("config:", encode(5))
				time.Sleep(5 * time.Second)
				require.Contains(t, store.Keys(), roster.ServingKey("vm-1"))
				require.EqualValues(t, 5, f.View().Table.Config().Version)
				require.Len(t, f.View().Replicas("a"), 1)
				time.Sleep(30 * time.Second)
				require.Contains(t, store.Keys(), roster.ServingKey("vm-1"), "the lease is its own")
			})
		})
	}
}

// fleetModel is a fleet and the writers of the store, with random rollbacks.
type fleetModel struct {
	*cluster
	random  *rand.Rand
	copies  []*depsrv.Copy
	version int
	// starts is the number of processes of backend servers so far.
	starts int64
	// servers holds the latest registration of each backend server, left those that ended,
	// and out the zones that are out of service.
	servers map[string]roster.Server
	left    coll.Set[ident.ServerID]
	out     coll.Set[ident.Zone]
	// newest is the latest version that each VM used.
	newest map[ident.VMID]ident.Version
}

// step lets one writer act, or the store roll back. What was written since the copy is
// written again after a delay.
func (m *fleetModel) step(t *testing.T) {
	t.Helper()
	id := fmt.Sprint("server:s", m.random.IntN(4))
	server, exists := m.servers[id]
	switch m.random.IntN(7) {
	case 0:
		m.version++
		m.store.Set("config:", encode(m.version))
	case 1:
		if !exists {
			server = serverWith(0, false)
			m.starts++
			server.Born = m.starts
			m.left.Remove(ident.ServerID(id[len("server:"):]))
		}
		server.Sequence++
		m.servers[id] = server
		m.store.Set(id, encode(server))
	case 2:
		if exists {
			server.Draining = true
			server.Sequence++
			m.servers[id] = server
			m.store.Set(id, encode(server))
		}
	case 3:
		if exists {
			delete(m.servers, id)
			m.left.Add(ident.ServerID(id[len("server:"):]))
			m.store.DeleteKey(id)
		}
	case 4:
		if zone := ident.Zone("espoo"); m.out.Has(zone) {
			m.out.Remove(zone)
			m.store.DeleteKey("out:espoo")
		} else {
			m.out.Add(zone)
			m.store.Set("out:espoo", encode(""))
		}
	case 5:
		m.copies = append(m.copies, m.store.Copy())
	default:
		if len(m.copies) > 0 {
			m.rollBack()
		}
	}
}

func (m *fleetModel) rollBack() {
	m.store.SetFaults(depsrv.Faults{Down: true})
	time.Sleep(time.Duration(m.random.IntN(800)) * time.Millisecond)
	m.store.Restore(m.copies[m.random.IntN(len(m.copies))])
	m.store.SetFaults(depsrv.Faults{})
	time.Sleep(time.Duration(m.random.IntN(1500)) * time.Millisecond)
	m.store.Set("config:", encode(m.version))
	if m.out.Has("espoo") {
		m.store.Set("out:espoo", encode(""))
	} else {
		m.store.DeleteKey("out:espoo")
	}
	for i := range 4 {
		id := fmt.Sprint("server:s", i)
		server, exists := m.servers[id]
		if !exists {
			m.store.DeleteKey(id)
			continue
		}
		server.Sequence++
		m.servers[id] = server
		m.store.Set(id, encode(server))
	}
	m.copies = nil
}

// check checks what must hold at any time.
func (m *fleetModel) check(t *testing.T) {
	t.Helper()
	for vm, f := range m.followers {
		view := f.View()
		if view.Table == nil {
			continue
		}
		version := view.Table.Config().Version
		require.GreaterOrEqual(t, version, m.newest[vm], "the configuration of %s went back", vm)
		m.newest[vm] = version
	}
}

// checkSettled checks that all VMs know what is in the store, and registered themselves.
func (m *fleetModel) checkSettled(t *testing.T) {
	t.Helper()
	batch, err := m.store.Range(t.Context(), roster.PrefixMembers, false)
	require.NoError(t, err)
	registrations := coll.NewSet[ident.VMID]()
	for _, item := range batch.Items {
		var member roster.Member
		require.NoError(t, json.Unmarshal(item.Value, &member))
		registrations.Add(member.VM)
	}
	for vm, f := range m.followers {
		require.True(t, registrations.Has(vm), "%s is not registered", vm)
		view := f.View()
		require.EqualValues(t, m.version, view.Table.Config().Version, vm)
		require.Equal(t, m.out, view.ZonesOut, vm)
		for id, server := range m.servers {
			usable := view.Replica(ident.ServerID(id[len("server:"):])) != nil
			require.Equal(t, !server.Draining, usable, "%s at %s", id, vm)
		}
		for id := range m.left {
			require.Nil(t, view.Replica(id), "%s left, and is used by %s", id, vm)
		}
	}
}

// Checks random writes and rollbacks on a fleet of VMs against a simulated store.
func TestFleetAndRollbacks(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withModel(t, seed, func(m *fleetModel) {
					for range 12 {
						for range 6 {
							m.step(t)
							time.Sleep(time.Duration(m.random.IntN(700)) * time.Millisecond)
							m.check(t)
						}
						time.Sleep(6 * time.Second)
						m.check(t)
						m.checkSettled(t)
					}
				})
			})
		})
	}
}

func withModel(t *testing.T, seed uint64, test func(m *fleetModel)) {
	t.Helper()
	runCluster(t, func(t *testing.T, c *cluster) {
		m := &fleetModel{
			cluster: c, random: rand.New(rand.NewPCG(seed, 0)), version: 1, servers: map[string]roster.Server{},
			left: coll.NewSet[ident.ServerID](), out: coll.NewSet[ident.Zone](), newest: map[ident.VMID]ident.Version{},
		}
		c.startVMs(t, 4)
		time.Sleep(5 * time.Second)
		test(m)
	})
}

// A VM starts when the store has come back from an older copy, and before the operator has
// written the newer configuration again.
func TestVMThatStartsAfterARollbackLearnsTheNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := depsrv.New(), &fixedPeer{}
		store.Set("config:", encode(3))
		followStore(t, store, roster.FollowerOptions{Peers: peers}, func(f *roster.Follower, _ *roster.Registrar) {
			time.Sleep(300 * time.Millisecond)
			require.EqualValues(t, 3, f.View().Table.Config().Version)
			time.Sleep(2 * time.Second)
			require.EqualValues(t, 6, f.View().Table.Config().Version)
			store.Set("config:", encode(5))
			time.Sleep(5 * time.Second)
			require.EqualValues(t, 6, f.View().Table.Config().Version)
			require.Equal(t, 2, peers.checks)
		})
	})
}

// registeredSince returns the number of VMs that wrote their registrations after a position.
func (c *cluster) registeredSince(t *testing.T, position depot.Position) int {
	t.Helper()
	batch, err := c.store.Range(t.Context(), roster.PrefixMembers, false)
	require.NoError(t, err)
	count := 0
	for _, item := range batch.Items {
		if item.Revision > position {
			count++
		}
	}
	return count
}

// All VMs register again after a rollback without more calls than the store takes.
func TestCallsAfterARollback(t *testing.T) {
	for _, fleet := range []struct{ vms, callsPerSecond int }{{8, 400}, {83, 1200}, {295, 3200}} {
		t.Run(fmt.Sprint(fleet.vms), func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				c.startVMs(t, fleet.vms)
				time.Sleep(20 * time.Second)
				older := c.store.Copy()
				time.Sleep(5 * time.Second)
				c.store.Set("config:", encode(2))
				time.Sleep(2 * time.Second)
				c.store.Restore(older)
				restored, err := c.store.Range(t.Context(), roster.PrefixMembers, false)
				require.NoError(t, err)
				began := time.Now()
				most, total, half, registered := 0, 0, time.Duration(0), time.Duration(0)
				for range 20 {
					before := c.store.Calls()
					for range 10 {
						time.Sleep(100 * time.Millisecond)
						count, elapsed := c.registeredSince(t, restored.Revision), time.Since(began).Round(100*time.Millisecond)
						if half == 0 && 2*count >= fleet.vms {
							half = elapsed
						}
						if registered == 0 && count == fleet.vms {
							registered = elapsed
						}
					}
					const ownCalls = 10
					calls := c.store.Calls() - before - ownCalls
					most, total = max(most, calls), total+calls
				}
				t.Logf("%d VMs: %d calls in 20 s, %d in the busiest second, half registered after %v, all after %v", fleet.vms, total, most, half, registered)
				require.Less(t, most, fleet.callsPerSecond)
				require.NotZero(t, registered)
				require.LessOrEqual(t, registered, 6*time.Second)
			})
		})
	}
}
