package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/agent"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startedFleet starts a fleet of 8 processes that own all groups of 10 services.
// It returns the fleet and the number of groups.
func startedFleet(t *testing.T) (*fleet, int) {
	return startProcesses(t, newFleet(t, testConfig(10)))
}

// startProcesses starts 8 processes and waits until they own all of their 20 groups.
func startProcesses(t *testing.T, f *fleet) (*fleet, int) {
	for i := range 8 {
		f.start(i, 1)
	}
	groups := 20
	took := f.eventually(func() bool { return f.converged(groups) }, "the fleet does not form")
	t.Logf("formed in %v with %d writes", took, f.store.writes)
	return f, groups
}

func TestFleetForms(t *testing.T) {
	f, _ := startedFleet(t)
	_, err := json.Marshal(f.nodes["vm0"].agent.State())
	require.NoError(t, err)
}

func TestFleetFormsWhenWriteRepliesAreLost(t *testing.T) {
	f := newFleet(t, testConfig(10))
	f.store.loseReplies = true
	startProcesses(t, f)
}

func TestPausedProcessLosesItsLeasesAndReturns(t *testing.T) {
	f, groups := startedFleet(t)
	n := f.nodes["vm4"]
	held := n.views.Load().Holdings
	require.NotEmpty(t, held)
	n.stateTransfer.mu.Lock()
	f.eventually(func() bool {
		holders := f.holders()
		for group := range held {
			if holders[group] == "vm4" || holders[group] == "" {
				return false
			}
		}
		return true
	}, "the groups of a paused process are not taken over")
	n.stateTransfer.mu.Unlock()
	f.eventually(func() bool {
		back := len(f.nodes["vm0"].views.Load().Members) == 8 && len(n.views.Load().Holdings) == len(held)
		return back && f.converged(groups)
	}, "the paused process does not get its groups back")
}

func TestMovedServerWaitsBeforeItGetsWork(t *testing.T) {
	f := newFleet(t, singleZoneConfig(9))
	n := f.start(0, 1)
	f.eventually(func() bool { return f.converged(3) }, "no owner")
	before := n.views.Load()
	n.agent.SetConfig(singleZoneConfig(8))
	f.eventually(func() bool { return len(n.views.Load().Groups) == 2 }, "no new groups")
	moved := 0
	for server, group := range n.views.Load().GroupOf {
		if before.GroupOf[server] != group {
			moved++
			h, ok := n.views.Load().Holdings[group]
			require.False(t, ok && slices.ContainsFunc(h.Group.Servers, func(s svcdoc.Server) bool { return s.ID == server }))
		}
	}
	require.NotZero(t, moved)
	f.eventually(func() bool {
		count := 0
		for _, h := range n.views.Load().Holdings {
			count += len(h.Group.Servers)
		}
		return count == 8
	}, "moved servers are not admitted")
}

// singleZoneConfig has one service with n servers in one zone.
func singleZoneConfig(n int) *view.Config {
	doc := &svcdoc.Document{Service: "wide"}
	for i := range n {
		doc.Servers = append(doc.Servers, svcdoc.Server{
			ID:    ident.ServerID(fmt.Sprint("wide/", i)),
			Zone:  "zone0",
			Shard: ident.Shard(i),
		})
	}
	return &view.Config{
		Revision: ident.Revision(20 - n),
		Serial:   1,
		Services: map[ident.ServiceID]*svcdoc.Document{"wide": doc},
	}
}

func TestTakeoverWhileStoreIsDown(t *testing.T) {
	f, groups := startedFleet(t)
	held := f.holders()
	victim := ident.VMID("vm3")
	f.eventually(func() bool {
		for _, l := range f.nodes[victim].agent.State().(agent.State).Leases {
			if l.Held && l.StateCopies < 3 {
				return false
			}
		}
		return true
	}, "the handover state does not reach the voters")
	f.store.setDown(true)
	f.kill(victim)
	took := f.eventually(func() bool { return f.converged(groups, victim) }, "the groups of the failed process are not taken over")
	t.Logf("taken over in %v", took)
	for group, vm := range f.holders() {
		if held[group] == victim {
			require.Equal(t, "of vm3", f.nodes[vm].stateTransfer.importedState(group))
		}
	}
}

// Guards against a planned leave that costs a lease, or that others take for a failure. The clock is
// simulated: on a busy machine, processes that don't get to run lose leases on the real clock.
func TestPlannedLeaveHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, groups := startProcesses(t, newFleetInMemory(t, testConfig(10)))
		n := f.nodes["vm5"]
		require.NoError(t, n.agent.Leave(context.Background()))
		require.Empty(t, n.views.Load().Holdings)
		f.kill("vm5")
		f.eventually(func() bool { return f.converged(groups, "vm5") }, "the leaving process's groups are not owned by others")
		for _, other := range f.nodes {
			for _, d := range other.events.History() {
				require.NotEqual(t, "lease_lost", d.Kind)
				require.NotEqual(t, "member_suspected", d.Kind)
			}
		}
	})
}

func TestWholeFleetLeavesAtOnce(t *testing.T) {
	f, _ := startedFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { require.NoError(t, n.agent.Leave(ctx)) })
	}
	wg.Wait()
	require.Empty(t, f.holders())
}

func TestSuspicionBetweenTwoMembersRemovesNoMember(t *testing.T) {
	f, groups := startedFleet(t)
	var members []view.Member
	for _, n := range f.nodes {
		members = append(members, n.self)
	}
	a := f.nodes["vm0"]
	b := f.nodes[place.Monitors(members, "vm0")[0].Process.VM]
	f.links.set(a.self.Control, b.self.Control, true)
	f.links.set(b.self.Control, a.self.Control, true)
	f.eventually(func() bool { return b.recorded("member_suspected", a.self.Process.String()) }, "the silent member is not suspected")
	f.eventually(func() bool { return a.agent.State().(agent.State).Gossip != nil }, "no refutation")
	for _, n := range f.nodes {
		require.Len(t, n.views.Load().Members, 8)
		require.False(t, n.recorded("member_removed", a.self.Process.String()))
	}
	require.Len(t, f.holders(), groups)
}

func TestIsolatedProcessRefusesAndRejoins(t *testing.T) {
	f, groups := startedFleet(t)
	n := f.nodes["vm2"]
	f.isolate("vm2", true)
	f.eventually(func() bool { return n.views.Load().Refusal == "isolated" }, "the process does not detect its isolation")
	f.eventually(func() bool {
		_, listed := f.nodes["vm1"].views.Load().Members["vm2"]
		return !listed && len(f.holders()) == groups
	}, "the isolated process is not replaced")
	require.Empty(t, n.views.Load().Holdings)
	f.isolate("vm2", false)
	f.eventually(func() bool { return f.converged(groups) && len(f.nodes["vm1"].views.Load().Members) == 8 }, "the isolated process does not rejoin")
	require.Equal(t, n.self.Process, n.views.Load().Members["vm2"].Process)
}

func TestRegistrarWithoutStoreForwardsChanges(t *testing.T) {
	f, groups := startedFleet(t)
	registrar := f.nodes["vm0"].agent.State().(agent.State).Registrar
	f.nodes[registrar].store.cut.Store(true)
	victim := ident.VMID("vm1")
	if registrar == victim {
		victim = "vm2"
	}
	f.kill(victim)
	f.eventually(func() bool {
		return f.converged(groups, victim) && f.nodes["vm0"].recorded("member_removed", f.nodes[victim].self.Process.String())
	}, "the dead process stays listed")
}

func TestZoneOutOwnsNoGroupsButStaysReachable(t *testing.T) {
	f, groups := startedFleet(t)
	out := *f.config
	out.Serial++
	out.Revision++
	out.ZonesOut = map[ident.Zone]ident.ChangeID{"zone1": "change"}
	for _, n := range f.nodes {
		n.agent.SetConfig(&out)
	}
	f.eventually(func() bool { return f.converged(groups, "vm1", "vm5") }, "processes in the zone still own groups")
	require.Contains(t, f.nodes["vm0"].views.Load().Members, ident.VMID("vm1"))
}

func TestJoinWhileStoreIsDown(t *testing.T) {
	f, groups := startedFleet(t)
	f.store.setDown(true)
	n := f.start(8, 1)
	f.eventually(func() bool {
		return f.converged(groups) && len(n.views.Load().Members) == 9 && len(f.nodes["vm0"].views.Load().Members) == 9
	}, "the new process does not take part")
	f.store.setDown(false)
	f.eventually(func() bool { return n.recorded("member_joined", n.self.Process.String()) }, "the new process is not listed in the membership value")
}

func TestRestartedVMIsReplacedAsVoter(t *testing.T) {
	f, groups := startedFleet(t)
	f.kill("vm6")
	n := f.start(6, 2)
	f.eventually(func() bool {
		for _, e := range f.nodes["vm0"].agent.State().(agent.State).Voters {
			if len(e.Prev) > 0 || slices.Contains(e.Voters, ident.Process{VM: "vm6", Incarnation: 1}) {
				return false
			}
		}
		return f.converged(groups)
	}, "the old process is still a voter")
	require.Contains(t, f.nodes["vm0"].views.Load().Members, n.self.Process.VM)
}

// The clock is simulated: on a machine with fewer processors than processes, these take each other
// for silent, which is the machine's fault.
func TestManyProcessesStartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInMemory(t, testConfig(20))
		for i := range 24 {
			f.start(i, 1)
		}
		took := f.eventually(func() bool { return f.converged(40) }, "the fleet does not form")
		t.Logf("24 processes formed in %v with %d writes", took, f.store.writes)
		require.LessOrEqual(t, f.store.writes, 24)
	})
}

func TestClaimsSurviveOwnerFailure(t *testing.T) {
	f, groups := startedFleet(t)
	group, owner := ident.GroupID(""), ident.VMID("")
	for g, vm := range f.holders() {
		group, owner = g, vm
		break
	}
	n := f.nodes[owner]
	term := n.views.Load().Holdings[group].Term
	ctx := context.Background()
	require.NoError(t, n.agent.Replicate(ctx, group, term, "key", []byte("record")))
	require.ErrorIs(t, n.agent.Replicate(ctx, group, term+1, "key", nil), agent.ErrNotOwner)
	f.store.setDown(true)
	f.kill(owner)
	f.eventually(func() bool { return f.converged(groups, owner) }, "no takeover")
	successor := f.nodes[f.holders()[group]]
	require.Equal(t, []byte("record"), successor.agent.Claims(group)["key"])
	require.Zero(t, successor.agent.ClaimsCompleteSince(group))
	for vm, other := range f.nodes {
		if other.alive && vm != successor.self.Process.VM {
			m, err := other.agent.Resolve(ctx, group)
			require.NoError(t, err)
			require.Equal(t, successor.self.Process, m.Process)
		}
	}
}
