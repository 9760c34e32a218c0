package beats_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// testVM is a Heartbeater on an address of its own.
type testVM struct {
	*beats.Heartbeater
	member roster.Member
	woken  chan struct{}

	mu   sync.Mutex
	view *roster.View

	reach atomic.Pointer[beats.Reach]
	depot *countingDepot
	// hasCallers is set if callers use the VM though it doesn't serve.
	hasCallers atomic.Bool
	// messages gets what other VMs broadcast.
	messages chan string
	// missed gets the times of views in which the VM's registration has lapsed.
	missed chan time.Time
}

// viewAge is the age of the views of all VMs.
const viewAge = 700 * time.Millisecond

// countingDepot counts the registrations that are deleted.
type countingDepot struct {
	depot.Depot
	deleted atomic.Int32
}

func (d *countingDepot) Delete(context.Context, string) error {
	d.deleted.Add(1)
	return nil
}

func newTestVM(t *testing.T, id ident.VMID, serving bool) *testVM {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.LocalAddr().String()
	require.NoError(t, probe.Close())
	s := &testVM{member: roster.Member{VM: id, PeerAddress: address, Serving: true}, woken: make(chan struct{}, 1000), depot: &countingDepot{}, messages: make(chan string, 20), missed: make(chan time.Time, 1000)}
	s.setMembers()
	s.reach.Store(&beats.Reach{})
	s.Heartbeater, err = beats.New(beats.Deps{
		Self: id, View: s.currentView, Serving: func() bool { return serving },
		Wake:  func() { s.woken <- struct{}{} },
		Reach: func() beats.Reach { return *s.reach.Load() }, Depot: s.depot,
		HasCallers: s.hasCallers.Load,
		ViewAge:    func(time.Time) (time.Duration, bool) { return viewAge, true },
		Missed:     func(at time.Time) { s.missed <- at },
		Receive:    func(message []byte) { s.messages <- string(message) },
	}, address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s
}

func (s *testVM) currentView() *roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// setMembers sets the registered VMs.
func (s *testVM) setMembers(members ...roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = roster.NewView(nil, nil, members, nil)
}

func TestRecentSendersAreServingVMs(t *testing.T) {
	sender, starting := newTestVM(t, "vm-1", true), newTestVM(t, "vm-2", false)
	require.Empty(t, starting.RecentSenders())
	sender.setMembers(sender.member, starting.member)
	require.Eventually(t, func() bool { return len(starting.RecentSenders()) == 1 }, 2*time.Second, 20*time.Millisecond)
	require.Equal(t, []string{sender.member.PeerAddress}, starting.RecentSenders())
	require.Empty(t, sender.RecentSenders(), "a VM that does not serve sends nothing")
	require.NotEmpty(t, starting.woken)
}

// The registration of a VM that stopped is gone. It still gets hellos, since it may start
// again while the store is down, but they don't wake it.
func TestDepartedVMGetsHellos(t *testing.T) {
	sender := newTestVM(t, "vm-1", true)
	stopped := newTestVM(t, "vm-2", false)
	sender.setMembers(sender.member, stopped.member)
	require.Eventually(t, func() bool { return len(stopped.RecentSenders()) == 1 }, 2*time.Second, 20*time.Millisecond)
	sender.setMembers(sender.member)
	time.Sleep(500 * time.Millisecond)
	for len(stopped.woken) > 0 {
		<-stopped.woken
	}
	time.Sleep(3 * time.Second)
	require.Len(t, stopped.RecentSenders(), 1)
	require.Empty(t, stopped.woken)
}

func TestServingVMsReportWhichServersTheyDoNotReach(t *testing.T) {
	sender, receiver := newTestVM(t, "vm-1", true), newTestVM(t, "vm-2", true)
	for _, vm := range []*testVM{sender, receiver} {
		vm.setMembers(sender.member, receiver.member)
	}
	got := func() beats.Reach { return receiver.Detector().Reach(time.Now(), "vm-1") }
	for _, want := range []beats.Reach{{Unreached: 7}, {Unreached: 50, Partitioned: true}, {}} {
		sender.reach.Store(&want)
		require.Eventually(t, func() bool { return got() == want }, 2*time.Second, 20*time.Millisecond)
	}
}

// Guards against a VM that takes a broken link of its own for the death of another VM: it
// would take one that the others hear out of all address lists.
func TestVMThatOthersHearIsNotEvicted(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("alive ", alive), func(t *testing.T) {
			vms := []*testVM{newTestVM(t, "vm-1", true), newTestVM(t, "vm-2", true), newTestVM(t, "vm-3", alive)}
			all := []roster.Member{vms[0].member, vms[1].member, vms[2].member}
			vms[0].setMembers(all...)
			vms[1].setMembers(all...)
			vms[2].setMembers(all[1], all[2])
			time.Sleep(3 * time.Second)
			require.True(t, vms[0].Detector().Silent("vm-3"))
			require.Equal(t, alive, vms[0].depot.deleted.Load() == 0)
		})
	}
}

// Guards against a VM that the store turns away and that never learns that others take its place.
func TestLapsedVMIsToldSo(t *testing.T) {
	sender, lapsed := newTestVM(t, "vm-1", true), newTestVM(t, "vm-2", true)
	lapsed.setMembers(sender.member, lapsed.member)
	time.Sleep(300 * time.Millisecond)
	require.Empty(t, lapsed.missed)
	sender.mu.Lock()
	sender.view = roster.NewView(nil, nil, []roster.Member{sender.member}, nil)
	sender.view.Lapsed = []roster.Member{lapsed.member}
	sender.mu.Unlock()
	start := time.Now()
	at := <-lapsed.missed
	require.WithinRange(t, at, start.Add(-viewAge-time.Millisecond), time.Now().Add(-viewAge))
	require.Less(t, time.Since(start), time.Second)
	require.True(t, lapsed.Detector().Hears(time.Now(), "vm-1"), "it is still heard")
	require.Empty(t, sender.missed)
}
