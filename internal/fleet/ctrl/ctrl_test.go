package ctrl_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type echo struct {
	Text string `json:"text"`
}

func serve(t *testing.T, options ctrl.ServerOptions) string {
	s := ctrl.NewServer(options)
	ctrl.Handle(s, "echo", func(_ context.Context, p echo) (echo, error) { return p, nil })
	ctrl.Handle(s, "fail", func(_ context.Context, _ echo) (echo, error) { return echo{}, errors.New("no") })
	l, err := ctrl.Listen("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return l.Addr().String()
}

func client(t *testing.T, options ctrl.ClientOptions) *ctrl.Client {
	c := ctrl.NewClient(options)
	t.Cleanup(c.Close)
	return c
}

func TestCall(t *testing.T) {
	addr := serve(t, ctrl.ServerOptions{})
	c := client(t, ctrl.ClientOptions{})
	var wg conc.WaitGroup
	for range 20 {
		wg.Go(func() {
			var got echo
			require.NoError(t, c.Call(context.Background(), addr, "echo", echo{"a"}, &got))
			require.Equal(t, "a", got.Text)
		})
	}
	wg.Wait()
	require.ErrorIs(t, c.Call(context.Background(), addr, "fail", echo{}, nil), ctrl.ErrRemote)
	require.ErrorIs(t, c.Call(context.Background(), addr, "absent", echo{}, nil), ctrl.ErrRemote)
	require.NoError(t, c.Probe(context.Background(), addr, "echo", echo{"b"}, &echo{}))
}

// startProxy starts a TCP proxy to an address. silence makes it discard all data of
// the connections that are open at that time; opened counts the connections.
func startProxy(t *testing.T, to string) (addr string, silence func(), opened *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var silent atomic.Int32
	opened = &atomic.Int32{}
	var wg conc.WaitGroup
	pipe := func(dst, src net.Conn, number int32) {
		defer func() { _ = dst.Close() }()
		buffer := make([]byte, 4096)
		for {
			n, err := src.Read(buffer)
			if err != nil {
				return
			}
			if number > silent.Load() {
				_, _ = dst.Write(buffer[:n])
			}
		}
	}
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			number := opened.Add(1)
			wg.Go(func() { pipe(out, in, number) })
			wg.Go(func() { pipe(in, out, number) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	return l.Addr().String(), func() { silent.Store(opened.Load()) }, opened
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	addr, silence, opened := startProxy(t, serve(t, ctrl.ServerOptions{}))
	c := ctrl.NewClient(ctrl.ClientOptions{Timeout: 200 * time.Millisecond})
	defer c.Close()
	require.NoError(t, c.Call(context.Background(), addr, "echo", echo{"a"}, &echo{}))
	silence()
	require.ErrorIs(t, c.Call(context.Background(), addr, "echo", echo{"a"}, &echo{}), ctrl.ErrUnreachable)
	require.NoError(t, c.Call(context.Background(), addr, "echo", echo{"a"}, &echo{}))
	require.EqualValues(t, 2, opened.Load())
}

// blocked is a filter that blocks messages to the addresses in it.
type blocked map[string]bool

func (b blocked) Allowed(to string) bool { return !b[to] }

func TestFilterBlocksCallsAndReplies(t *testing.T) {
	self := "10.0.0.1:1"
	addr := serve(t, ctrl.ServerOptions{Filter: blocked{self: true}})
	to := client(t, ctrl.ClientOptions{Timeout: 50 * time.Millisecond, Self: "10.0.0.2:1", Filter: blocked{addr: true}})
	require.ErrorIs(t, to.Call(context.Background(), addr, "echo", echo{}, &echo{}), ctrl.ErrUnreachable)
	back := client(t, ctrl.ClientOptions{Timeout: 50 * time.Millisecond, Self: self, Filter: blocked{}})
	require.ErrorIs(t, back.Call(context.Background(), addr, "echo", echo{}, &echo{}), ctrl.ErrUnreachable)
	other := client(t, ctrl.ClientOptions{Self: "10.0.0.2:1", Filter: blocked{}})
	require.NoError(t, other.Call(context.Background(), addr, "echo", echo{}, &echo{}))
}

func TestCallTimesOutIfPeerNeverReads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := ctrl.NewClient(ctrl.ClientOptions{Timeout: 50 * time.Millisecond})
	defer c.Close()
	require.ErrorIs(t, c.Call(context.Background(), l.Addr().String(), "echo", echo{}, &echo{}), ctrl.ErrUnreachable)
}
