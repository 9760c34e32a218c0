package ctrl_test

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/guard"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
)

// message returns a message with its length in front.
func message(text string) string {
	return string(binary.AppendUvarint(nil, uint64(len(text)))) + text
}

// Guards against messages that are read beyond the limit or the memory, and against memory that
// is not given back once their connection is closed.
func TestMessagesAreReadWithinTheMemory(t *testing.T) {
	const begin = `{"method":"echo","id":1,"params":{"text":"`
	// little is what other connections hold, without which one message may exceed the limit.
	const little = budget.SmallSize + 1
	for name, test := range map[string]struct {
		sent   string
		cause  guard.Cause
		closes bool
		others int
	}{
		"answered":       {message(begin + strings.Repeat("x", 100<<10) + `"}}`), "", false, little},
		"announced":      {string(binary.AppendUvarint(nil, 16<<20+1)), guard.TooLarge, true, little},
		"overflow":       {strings.Repeat("\xff", 11), "", true, little},
		"many values":    {message(`{"method":"echo","id":1,"params":[` + strings.Repeat("{},", 100_000) + "0]}"), guard.TooLarge, true, little},
		"few values":     {message(`{"method":"echo","id":1,"params":[` + strings.Repeat("{},", 200) + "0]}"), "", false, 1 << 20},
		"no memory":      {message(begin + strings.Repeat("x", 2<<20) + `"}}`), guard.NoMemory, true, little},
		"several":        {message(`[{"method":"echo","id":1}]`), guard.Malformed, true, little},
		"after the end":  {message(`{"method":"echo","id":1} {}`), guard.Malformed, true, little},
		"invalid method": {message(`{"method":["echo"],"id":1}`), guard.Malformed, true, little},
	} {
		t.Run(name, func(t *testing.T) {
			memory, set := budget.New(1<<20), metrics.NewSet()
			require.True(t, memory.NewHolder(func() {}).Reserve(budget.Answer, test.others, time.Time{}))
			l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			require.NoError(t, err)
			listener := accept.NewListener(l, accept.Options{Limit: func() int { return 10 }, Pinned: true, Budget: memory})
			server := ctrl.NewServer(ctrl.ServerOptions{Reporter: guard.NewReporter("test", nil, set)})
			ctrl.Handle(server, "echo", func(_ context.Context, p echo) (echo, error) { return p, nil })
			ctx, cancel := context.WithCancel(t.Context())
			var wg conc.WaitGroup
			wg.Go(func() { _ = server.Serve(ctx, listener) })
			t.Cleanup(func() { cancel(); wg.Wait() })
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			wg.Go(func() { _, _ = conn.Write([]byte(test.sent)) })
			if test.closes {
				for err == nil {
					_, err = conn.Read(make([]byte, 1))
				}
			} else {
				_, err = conn.Read(make([]byte, 1))
				require.NoError(t, err)
			}
			if test.cause != "" {
				closed := set.GetOrCreateCounter(`samphirestair_connections_closed_total{listener="test",cause="` + string(test.cause) + `"}`)
				require.Eventually(t, func() bool { return closed.Get() == 1 }, 5*time.Second, time.Millisecond)
			}
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return memory.Held(budget.Request)+memory.Held(budget.Response) == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against replies that are read beyond the limit or the memory, and against memory that
// stays reserved for them.
func TestRepliesAreReadWithinTheMemory(t *testing.T) {
	memory := budget.New(1 << 20)
	require.True(t, memory.NewHolder(func() {}).Reserve(budget.Answer, budget.SmallSize+1, time.Time{}))
	c := client(t, ctrl.ClientOptions{Budget: memory})
	for size, fits := range map[int]bool{100 << 10: true, 2 << 20: false, 17 << 20: false} {
		s := ctrl.NewServer(ctrl.ServerOptions{})
		ctrl.Handle(s, "long", func(context.Context, echo) (echo, error) { return echo{strings.Repeat("x", size)}, nil })
		l, err := ctrl.Listen("127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = s.Serve(ctx, l) })
		var got echo
		err = c.Call(t.Context(), l.Addr().String(), "long", echo{}, &got)
		if fits {
			require.NoError(t, err)
			require.Len(t, got.Text, size)
		} else {
			require.ErrorIs(t, err, ctrl.ErrUnreachable)
		}
		cancel()
		wg.Wait()
		require.Eventually(t, func() bool { return memory.Held(budget.Request) == 0 }, 5*time.Second, time.Millisecond)
	}
}
