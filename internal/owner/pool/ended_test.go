package pool_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

// livesAfter is the time after which a connection shows that the process lives.
const livesAfter = 20 * time.Millisecond

// Guards against a closed connection that passes for the end of a server's process, and the
// other way round.
func TestEndOfAServerIsToldFromAClosedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		// first handles the first request, and then each later connection.
		first, then func(b *backend, conn net.Conn)
		gone        bool
	}{
		"process_ends": {
			first: func(b *backend, conn net.Conn) { _, _ = b.listener.Close(), conn.Close() },
			gone:  true,
		},
		"process_ends_amid_its_answer": {
			first: func(b *backend, conn net.Conn) {
				say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
				_, _ = b.listener.Close(), conn.Close()
			},
			gone: true,
		},
		"process_ends_behind_a_proxy": {
			first: func(_ *backend, conn net.Conn) { _ = conn.Close() },
			then:  func(_ *backend, conn net.Conn) { _ = conn.Close() },
			gone:  true,
		},
		"connection_is_closed": {
			first: func(_ *backend, conn net.Conn) { _ = conn.Close() },
		},
		"answer_is_truncated": {
			first: func(_ *backend, conn net.Conn) {
				say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
				_ = conn.Close()
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newScripted(t)
			results := make(chan pool.Result, 2)
			p := newPool(t)
			for range 2 {
				p.Send(b.target(), messageOf("r1", nil), time.Now().Add(time.Second), false, func(r pool.Result) { results <- r })
			}
			conns := []net.Conn{b.accept(t), b.accept(t)}
			time.Sleep(livesAfter)
			for _, conn := range conns {
				c.first(b.backend, conn)
			}
			if c.then != nil {
				c.then(b.backend, b.accept(t))
			}
			for range 2 {
				r := await(t, results)
				require.Equal(t, pool.Broken, r.Outcome)
				require.Equal(t, c.gone, r.Gone, r.Reason)
				require.Equal(t, c.gone, r.Ended, r.Reason)
				require.Positive(t, r.Shared)
			}
		})
	}
}

// Guards against a request that is blamed for the end of a process that had ended before: a
// proxy in front of it accepted the connection.
func TestProcessThatHadEndedBeforeIsNotEndedByTheRequest(t *testing.T) {
	b := newScripted(t)
	results := make(chan pool.Result, 1)
	newPool(t).Send(b.target(), messageOf("r1", nil), time.Now().Add(time.Second), false, func(r pool.Result) { results <- r })
	require.NoError(t, b.accept(t).Close())
	require.NoError(t, b.accept(t).Close())
	r := await(t, results)
	require.True(t, r.Gone)
	require.False(t, r.Ended)
}

// An attempt that this VM cancels says nothing about the server.
func TestCancelledAttemptIsNoEndOfAServer(t *testing.T) {
	b := newScripted(t)
	results := make(chan pool.Result, 1)
	call := newPool(t).Send(b.target(), messageOf("r1", nil), time.Now().Add(time.Second), false, func(r pool.Result) { results <- r })
	conn := b.accept(t)
	require.NoError(t, b.listener.Close())
	call.Cancel()
	require.False(t, await(t, results).Gone)
	require.NoError(t, conn.Close())
}

// scripted is a backend server whose connections the test accepts itself, once a request
// may have arrived.
type scripted struct {
	*backend
}

func newScripted(t *testing.T) scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return scripted{&backend{listener: listener}}
}

// accept returns the next connection after its first bytes have arrived or a moment has
// passed.
func (s scripted) accept(t *testing.T) net.Conn {
	t.Helper()
	conn, err := s.listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Millisecond)))
	_, _ = conn.Read(make([]byte, 4096))
	return conn
}
