package pool_test

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/header"
)

// livesAfter is how long connections stay open before they are closed.
const livesAfter = 20 * time.Millisecond

// Guards against a closed connection that passes for the end of a server's process, and the
// other way round.
func TestEndOfAServerIsToldFromAClosedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		// first handles the first request.
		first func(b *backend, conn net.Conn)
		gone  bool
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

// Guards against a request that is blamed alone for the end of a process that ran others, because
// the ends of their connections were handled before.
func TestRequestsOfAnEndedProcessShareTheBlame(t *testing.T) {
	b := newScripted(t)
	p := newPool(t)
	const requests = 2
	var conns []net.Conn
	var results []chan pool.Result
	for range requests {
		result := make(chan pool.Result, 1)
		p.Send(b.target(), messageOf("r1", nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { result <- r })
		conns, results = append(conns, b.accept(t)), append(results, result)
	}
	require.NoError(t, b.listener.Close())
	for i := range requests {
		require.NoError(t, conns[i].Close())
		r := await(t, results[i])
		require.True(t, r.Ended)
		require.Equal(t, requests, r.Shared)
	}
}

// Behind a proxy, which accepts connections to a process that has ended, only an answer shows
// that the process lived. How long a connection was open, on a busy machine or behind a slow
// proxy, shows nothing.
func TestEndBehindAProxy(t *testing.T) {
	for name, answers := range map[string]bool{
		// Guards against a request that is blamed for the end of a process that had ended before.
		"process_had_ended_before": false,
		"process_has_answered":     true,
	} {
		t.Run(name, func(t *testing.T) {
			b := newScripted(t)
			p := pool.New(metrics.NewSet(), pool.Options{Names: header.Default(), EndCheckGrace: time.Minute})
			answered, results := make(chan pool.Result, 1), make(chan pool.Result, 1)
			p.Send(b.target(), messageOf("r0", nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { answered <- r })
			first := b.accept(t)
			p.Send(b.target(), messageOf("r1", nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { results <- r })
			second := b.accept(t)
			if answers {
				say(first, reply("r0", "x"))
				require.Equal(t, pool.Answered, await(t, answered).Outcome)
			}
			time.Sleep(livesAfter)
			require.NoError(t, second.Close())
			require.NoError(t, b.accept(t).Close())
			r := await(t, results)
			require.True(t, r.Gone)
			require.Equal(t, answers, r.Ended)
			require.Equal(t, !answers, r.MayHaveEnded)
		})
	}
}

// Guards against requests that are blamed where a server closes connections that it has too many of:
// it lives as long as one is open on which it has answered.
func TestClosedConnectionsBesideAnOpenOneAreNoEnd(t *testing.T) {
	b := newScripted(t)
	target := b.target()
	target.Connections = 4
	p := pool.New(metrics.NewSet(), pool.Options{Names: header.Default(), EndCheckGrace: time.Minute})
	results := make(chan pool.Result, 1)
	send := func(id string) net.Conn {
		p.Send(target, messageOf(id, nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { results <- r })
		return b.accept(t)
	}
	kept := send("r0")
	say(kept, reply("r0", "x"))
	require.Equal(t, pool.Answered, await(t, results).Outcome)
	// The kept connection is in use when the next one is opened.
	p.Send(target, messageOf("r1", nil), time.Now().Add(5*time.Second), false, func(pool.Result) {})
	for _, closeKept := range []bool{false, true} {
		if closeKept {
			require.NoError(t, kept.Close())
			require.NoError(t, b.accept(t).Close(), "the check for r1")
		}
		conn := send("r2")
		require.NoError(t, conn.Close())
		require.NoError(t, b.accept(t).Close())
		r := await(t, results)
		require.False(t, r.Ended)
		require.Equal(t, closeKept, r.MayHaveEnded)
	}
}

// Guards against the end of a process that is never told because a slow proxy, or one on a busy
// machine, closes the connection that checks it later than attempts wait.
func TestEndBehindASlowProxy(t *testing.T) {
	for name, c := range map[string]struct {
		// answersBefore and answersAfter are set if the process answers another request before
		// the connection is closed, and after it.
		answersBefore, answersAfter bool
		ended                       bool
	}{
		"process_has_answered":     {answersBefore: true, ended: true},
		"process_had_ended_before": {},
		"process_answers_again":    {answersBefore: true, answersAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newScripted(t)
			target := b.target()
			target.Connections = 4
			p := newPool(t)
			answered, results, ends, uncertain := make(chan pool.Result, 2), make(chan pool.Result, 1), make(chan int, 1), make(chan int, 1)
			sendOther := func(id string) net.Conn {
				p.Send(target, messageOf(id, nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { answered <- r })
				return b.accept(t)
			}
			before, after := sendOther("before"), sendOther("after")
			message := messageOf("r1", nil)
			message.OnEnd = func(process notice.Process, shared int, certain bool) {
				require.Equal(t, target.ID, process.ID)
				if certain {
					ends <- shared
					return
				}
				uncertain <- shared
			}
			p.Send(target, message, time.Now().Add(5*time.Second), false, func(r pool.Result) { results <- r })
			conn := b.accept(t)
			if c.answersBefore {
				say(before, reply("before", "x"))
				require.Equal(t, pool.Answered, await(t, answered).Outcome)
			}
			require.NoError(t, conn.Close())
			check := b.accept(t)
			r := await(t, results)
			require.Equal(t, pool.Broken, r.Outcome)
			require.False(t, r.Gone)
			if c.answersAfter {
				say(after, reply("after", "x"))
				require.Equal(t, pool.Answered, await(t, answered).Outcome)
			}
			require.NoError(t, check.Close())
			if c.ended {
				require.Equal(t, r.Shared, await(t, ends))
				return
			}
			if !c.answersAfter {
				require.Equal(t, r.Shared, await(t, uncertain))
			}
			select {
			case <-ends:
				require.Fail(t, "the request is blamed")
			case <-uncertain:
				require.Fail(t, "the process answers")
			case <-time.After(livesAfter):
			}
		})
	}
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

// Guards against a request that is sent on a new connection, whose end would not tell whether the
// process had the request, although an older one is idle.
func TestConnectionsWithAnAnswerAreUsedFirst(t *testing.T) {
	b := newScripted(t)
	target := b.target()
	target.Connections = 4
	p := newPool(t)
	results := make(chan pool.Result, 1)
	send := func(id string) {
		p.Send(target, messageOf(id, nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { results <- r })
	}
	requests, certain := p.TrialLoad(target.ID)
	require.Zero(t, requests)
	require.False(t, certain, "the server is not known")
	send("r0")
	first := b.accept(t)
	say(first, reply("r0", "x"))
	require.Equal(t, pool.Answered, await(t, results).Outcome)
	require.True(t, p.Probe(target, time.Second))
	second := b.accept(t)
	requests, certain = p.TrialLoad(target.ID)
	require.Zero(t, requests)
	require.True(t, certain)
	send("r1")
	requests, certain = p.TrialLoad(target.ID)
	require.Equal(t, 1, requests)
	require.False(t, certain, "only a new connection is idle")
	say(first, reply("r1", "x"))
	require.Equal(t, pool.Answered, await(t, results).Outcome)
	require.NoError(t, second.Close())
}

// Guards against ends that are not told because all connections that the server allows are in use:
// waiting requests take the place of the closed ones at once.
func TestEndAtTheConnectionLimitBehindASlowProxy(t *testing.T) {
	const limit = 2
	b := newScripted(t)
	target := b.target()
	target.Connections = limit
	p := pool.New(metrics.NewSet(), pool.Options{Names: header.Default(), EndCheckGrace: time.Nanosecond})
	results, ends := make(chan pool.Result, 2*limit+1), make(chan int, limit)
	send := func(id string, onEnd func(notice.Process, int, bool)) {
		message := messageOf(id, nil)
		message.OnEnd = onEnd
		p.Send(target, message, time.Now().Add(5*time.Second), true, func(r pool.Result) { results <- r })
	}
	var conns []net.Conn
	for _, id := range []string{"a", "b"} {
		send(id, nil)
		conns = append(conns, b.accept(t))
	}
	for i, id := range []string{"a", "b"} {
		say(conns[i], reply(id, "x"))
		require.Equal(t, pool.Answered, await(t, results).Outcome)
	}
	for range limit {
		send("deadly", func(_ notice.Process, shared int, certain bool) {
			if certain {
				ends <- shared
			}
		})
	}
	send("waiting", nil)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
		require.Equal(t, pool.Broken, await(t, results).Outcome)
	}
	// The proxy closes all new connections, since it can't reach the process.
	go func() {
		for {
			conn, err := b.listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	for range limit {
		require.GreaterOrEqual(t, await(t, ends), limit)
	}
}
