package gate_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/samphirestair/samphirestair/internal/base/accept"
	"github.com/samphirestair/samphirestair/internal/front/gate"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// lookup is a request of a route with a timeout of one second.
const lookup = "GET /one/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n\r\n"

// recordingRunner answers each request after 15 ms and records its id.
type recordingRunner struct {
	*fakeTier
	mu   sync.Mutex
	read map[string]bool
}

func (c *recordingRunner) Run(request runner.Request) runner.Answer {
	c.mu.Lock()
	c.read[request.Message.ID] = true
	c.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	return c.answer(request)
}

// loadGenerator sends requests from several callers, each of which sends the next one
// as soon as the last is answered. Half of the callers open a new connection for each.
type loadGenerator struct {
	address  string
	stopped  chan struct{}
	mu       sync.Mutex
	answered map[string]bool
}

func (l *loadGenerator) call(caller int) {
	var conn net.Conn
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", l.address); err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", caller, n)
		_, _ = fmt.Fprintf(conn, "GET /one/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\n\r\n", id)
		var response fasthttp.Response
		err := response.Read(bufio.NewReader(conn))
		if err == nil {
			l.mu.Lock()
			l.answered[id] = true
			l.mu.Unlock()
		}
		if err != nil || response.ConnectionClose() || caller%2 == 0 {
			_ = conn.Close()
			conn = nil
		}
	}
}

// answers returns the number of requests that were answered.
func (l *loadGenerator) answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// A planned stop under load must answer each request that was read, on kept-alive and on
// new connections.
func TestPlannedStopUnderLoadCutsOffNoRequest(t *testing.T) {
	for round := range 5 {
		fake := &recordingRunner{fakeTier: newFakeTier(t), read: map[string]bool{}}
		g := newGate(fake.fakeTier, func(d *gate.Deps) { d.Runner = fake })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		var serving, calling sync.WaitGroup
		serving.Go(func() { _ = g.Serve(listener) })
		load := &loadGenerator{address: listener.Addr().String(), stopped: make(chan struct{}), answered: map[string]bool{}}
		for caller := range 40 {
			calling.Go(func() { load.call(caller) })
		}
		require.Eventually(t, func() bool { return load.answers() > 100 }, time.Minute, time.Millisecond)
		time.Sleep(time.Duration(17*round) * time.Millisecond)
		g.Drain(time.Now().Add(time.Minute))
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, g.Shutdown())
		serving.Wait()
		close(load.stopped)
		calling.Wait()
		for id := range fake.read {
			require.True(t, load.answered[id], "request %s was read and has no answer", id)
		}
	}
}

// Guards against requests that a planned stop accepts and has no time to answer: they are
// refused at once, and none gets more time than is left.
func TestPlannedStopRefusesWhatItCantAnswer(t *testing.T) {
	fake := newFakeTier(t)
	g := newGate(fake)
	const untilStop = 600 * time.Millisecond
	g.Drain(time.Now().Add(untilStop))
	response := send(t, g, lookup)
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode())
	require.True(t, response.ConnectionClose())
	passedOn := <-fake.requests
	require.Less(t, passedOn.Wait, untilStop)
	require.True(t, passedOn.Deadline().Before(time.Now().Add(untilStop)))
	time.Sleep(untilStop * 3 / 4)
	response = send(t, g, lookup)
	require.Equal(t, fasthttp.StatusServiceUnavailable, response.StatusCode())
	require.True(t, response.ConnectionClose())
	require.NotEmpty(t, response.Header.Peek(fasthttp.HeaderRetryAfter))
	require.Empty(t, fake.requests)
	require.False(t, g.Allows(time.Minute))
	require.True(t, g.Allows(time.Millisecond))
}

// Guards against requests that are cut off because they outlast a planned stop.
func TestAbandonedRequestsAreAnswered(t *testing.T) {
	fake := newFakeTier(t)
	fake.answer = func(request runner.Request) runner.Answer {
		<-request.Gone
		return runner.Answer{Gone: true}
	}
	g := newGate(fake)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = g.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte(lookup))
	require.NoError(t, err)
	<-fake.requests
	g.Drain(time.Now())
	closed := make(chan error)
	go func() { closed <- g.Shutdown() }()
	require.Eventually(t, func() bool { return g.Abandon() == 1 }, 5*time.Second, time.Millisecond)
	var response fasthttp.Response
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, fasthttp.StatusGatewayTimeout, response.StatusCode())
	require.True(t, response.ConnectionClose())
	require.NoError(t, conn.Close())
	require.NoError(t, <-closed)
}

// Guards against an answer that nobody gave: a request that has crossed the close of its idle
// connection is neither passed on nor answered with a success.
func TestRequestOnAnEvictedConnectionIsNotPassedOn(t *testing.T) {
	fake := newFakeTier(t)
	g := newGate(fake)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	listener := accept.NewListener(tcp, accept.Options{Limit: func() int { return 1 }, Failed: func(error) {}})
	far, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	near, err := listener.Accept()
	require.NoError(t, err)
	listener.CloseIdle(time.Now())
	// The request was read before the connection was closed.
	var ctx fasthttp.RequestCtx
	ctx.Init2(near, nil, false)
	ctx.Request.SetRequestURI("http://desk.example/one/a")
	g.Handle(&ctx)
	require.Equal(t, fasthttp.StatusServiceUnavailable, ctx.Response.StatusCode())
	require.Empty(t, fake.requests)
	require.NoError(t, far.Close())
	require.NoError(t, listener.Close())
}

// FuzzRequest sends arbitrary bytes. The head of a forwarded request must contain neither
// the end of the head nor a bare line feed, which could begin a second request.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /one/a HTTP/1.1\r\nHost: desk.example\r\n\r\n",
		"POST /one/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\n\r\nabc",
		"POST /all/ HTTP/1.1\r\nHost: desk.example:80\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /one/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET http://desk.example/one/ HTTP/1.1\r\nHost: desk.example\r\n folded: x\r\n\r\n", "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fake := newFakeTier(t)
		fake.requests = make(chan runner.Request, 1000)
		g := newGate(fake)
		listener := fasthttputil.NewInmemoryListener()
		go func() { _ = g.Serve(listener) }()
		conn, err := listener.Dial()
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, _ = conn.Write(append(data, "\r\n\r\n"...))
		_, _ = bufio.NewReader(conn).ReadByte()
		_ = conn.Close()
		require.NoError(t, listener.Close())
		for len(fake.requests) > 0 {
			head := string((<-fake.requests).Message.Head)
			require.True(t, strings.HasSuffix(head, "\r\n"))
			require.NotContains(t, head, "\r\n\r\n")
			require.NotContains(t, strings.ReplaceAll(head, "\r\n", ""), "\n")
		}
	})
}
