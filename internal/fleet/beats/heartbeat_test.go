package beats_test

import (
	"context"
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
)

// testVM is a Heartbeater on an address of its own.
type testVM struct {
	*beats.Heartbeater
	member roster.Member
	woken  chan struct{}

	mu   sync.Mutex
	view *roster.View

	reach atomic.Pointer[beats.Reach]
}

func newTestVM(t *testing.T, id ident.VMID, serving bool) *testVM {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.LocalAddr().String()
	require.NoError(t, probe.Close())
	s := &testVM{member: roster.Member{VM: id, PeerAddress: address, Serving: true}, woken: make(chan struct{}, 1000)}
	s.setMembers()
	s.reach.Store(&beats.Reach{})
	s.Heartbeater, err = beats.New(beats.Deps{
		Self: id, View: s.currentView, Serving: func() bool { return serving },
		Wake:  func() { s.woken <- struct{}{} },
		Reach: func() beats.Reach { return *s.reach.Load() },
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
