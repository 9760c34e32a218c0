package pulse_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/pulse"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// station is a Pulse on an address of its own, whose VM serves.
type station struct {
	*pulse.Heartbeater
	member roster.Member
	woken  chan struct{}

	mu   sync.Mutex
	view *roster.View
}

func newStation(t *testing.T, id ident.VMID, serving bool) *station {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.LocalAddr().String()
	require.NoError(t, probe.Close())
	s := &station{member: roster.Member{VM: id, PeerAddress: address, Serving: true}, woken: make(chan struct{}, 1000)}
	s.know()
	s.Heartbeater, err = pulse.New(pulse.Deps{
		Self: id, View: s.look, Serving: func() bool { return serving },
		Wake: func() { s.woken <- struct{}{} },
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

func (s *station) look() *roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// know sets the VMs that are registered.
func (s *station) know(members ...roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = roster.NewView(nil, nil, members, nil)
}

func TestContactsAreThoseThatWereHeardLately(t *testing.T) {
	server, starting := newStation(t, "vm-1", true), newStation(t, "vm-2", false)
	require.Empty(t, starting.RecentSenders())
	server.know(server.member, starting.member)
	require.Eventually(t, func() bool { return len(starting.RecentSenders()) == 1 }, 2*time.Second, 20*time.Millisecond)
	require.Equal(t, []string{server.member.PeerAddress}, starting.RecentSenders())
	require.Empty(t, server.RecentSenders(), "a VM that does not serve is not heard")
	require.NotEmpty(t, starting.woken)
}

// The registration of a VM that stopped is gone. It is greeted nevertheless, since it may
// start again while the store does not answer, but is not woken by it.
func TestVMThatIsKnownNoMoreIsGreeted(t *testing.T) {
	server := newStation(t, "vm-1", true)
	stopped := newStation(t, "vm-2", false)
	server.know(server.member, stopped.member)
	require.Eventually(t, func() bool { return len(stopped.RecentSenders()) == 1 }, 2*time.Second, 20*time.Millisecond)
	server.know(server.member)
	time.Sleep(500 * time.Millisecond)
	for len(stopped.woken) > 0 {
		<-stopped.woken
	}
	time.Sleep(3 * time.Second)
	require.Len(t, stopped.RecentSenders(), 1)
	require.Empty(t, stopped.woken)
}
