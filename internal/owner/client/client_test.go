package client_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const testWait = 10 * time.Second

// serve runs a server on loopback that answers hellos itself and passes other requests to
// handle. It returns its address and the number of hellos, one for each connection.
func serve(t *testing.T, handle fasthttp.RequestHandler) (address string, conns *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns = &atomic.Int64{}
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(bknd.HeaderBoot, "boot-1")
			if string(ctx.Path()) == bknd.PathHello {
				conns.Add(1)
				ctx.SetStatusCode(fasthttp.StatusNoContent)
				return
			}
			echo(ctx)
			handle(ctx)
		},
		Logger: discardLogger{},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		// Shutdown does not know the listener if Serve has not begun yet.
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), conns
}

// echo copies the headers that identify a request to the answer.
func echo(ctx *fasthttp.RequestCtx) {
	for _, name := range []string{bknd.HeaderRequest, bknd.HeaderVersion, bknd.HeaderShard} {
		ctx.Response.Header.SetBytesV(name, ctx.Request.Header.Peek(name))
	}
}

// discardLogger drops the log lines of the test server.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func request(kind msgs.Kind) *client.Request {
	return &client.Request{
		ID: "r1", Kind: kind, Version: 3, Shard: 1, Body: []byte("{}"),
		Deadline: time.Now().Add(testWait), TimeLeft: testWait,
	}
}

func allow() bool { return true }

// do connects the client and sends one request.
func do(t *testing.T, serverClient *client.Client, r *client.Request, guard func() bool) client.Result {
	t.Helper()
	_, _, err := serverClient.Connect(time.Now().Add(testWait))
	require.NoError(t, err)
	return serverClient.Do(r, guard)
}

func TestUnusableAnswerFailsOnlyItsRequest(t *testing.T) {
	answers := map[string]func(ctx *fasthttp.RequestCtx){
		"not JSON":      func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{") },
		"no hits":       func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") },
		"hits no list":  func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":1}`) },
		"no id":         func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":[{"score":1}]}`) },
		"hit no object": func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":[1]}`) },
		"score text":    func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":[{"id":"a","score":"1"}]}`) },
		"score range":   func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":[{"id":"a","score":1e999}]}`) },
		"number":        func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hits":[{"id":"a","score":1,"doc":1-2}]}`) },
		"too large":     func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat(" ", 2000)) },
		"version":       func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(bknd.HeaderVersion, "4") },
		"shard":         func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(bknd.HeaderShard, "2") },
		"no shard":      func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Del(bknd.HeaderShard) },
		"request":       func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(bknd.HeaderRequest, "r2") },
		"status":        func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusInternalServerError) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			var bad atomic.Bool
			address, _ := serve(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetBodyString(`{"hits":[]}`)
				if bad.Load() {
					answer(ctx)
				}
			})
			serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{MaxBody: 1000})
			defer serverClient.Close()
			bad.Store(true)
			result := do(t, serverClient, request(msgs.KindSearch), allow)
			require.Equal(t, msgs.StatusFailed, result.Status)
			require.Error(t, result.Err)
			require.Nil(t, result.Hits)
			bad.Store(false)
			require.Equal(t, msgs.StatusOK, do(t, serverClient, request(msgs.KindSearch), allow).Status)
		})
	}
}

// Guards against answers that are read without memory, against memory that is not given back, and
// against an answer that waited for memory and makes its server count as silent.
func TestLongAnswersAreReadWithinTheMemory(t *testing.T) {
	for name, test := range map[string]struct {
		kind    msgs.Kind
		size    int
		chunked bool
		outcome client.Outcome
	}{
		"search":                   {msgs.KindSearch, 100 << 10, false, client.OutcomeAnswered},
		"search without memory":    {msgs.KindSearch, 400 << 10, false, client.OutcomeBroken},
		"lookup":                   {msgs.KindLookup, 400 << 10, false, client.OutcomeAnswered},
		"lookup without memory":    {msgs.KindLookup, 600 << 10, false, client.OutcomeBroken},
		"chunked":                  {msgs.KindLookup, 200 << 10, true, client.OutcomeAnswered},
		"chunked, without memory":  {msgs.KindLookup, 2 << 20, true, client.OutcomeBroken},
		"short, with full memory":  {msgs.KindSearch, 100, false, client.OutcomeAnswered},
		"chunked, over the limit":  {msgs.KindLookup, 5 << 20, true, client.OutcomeBroken},
		"announced over the limit": {msgs.KindLookup, 5 << 20, false, client.OutcomeBroken},
	} {
		t.Run(name, func(t *testing.T) {
			body := fmt.Sprintf(`{"hits":[{"id":"a","score":1,"doc":%q}]}`, strings.Repeat("x", test.size))
			address, _ := serve(t, func(ctx *fasthttp.RequestCtx) {
				if test.chunked {
					ctx.SetBodyStream(strings.NewReader(body), -1)
					return
				}
				ctx.SetBodyString(body)
			})
			memory := budget.New(1 << 20)
			require.True(t, memory.NewHolder(func() {}).Reserve(budget.Response, budget.SmallSize+1, time.Time{}))
			serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{Budget: memory})
			defer serverClient.Close()
			r := request(test.kind)
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			result := do(t, serverClient, r, allow)
			require.Equal(t, test.outcome, result.Outcome, "%v", result.Err)
			require.Equal(t, result.Held != nil, memory.Held(budget.Answer) > 0)
			require.Equal(t, test.outcome == client.OutcomeAnswered && test.size > budget.SmallSize, result.Held != nil)
			require.Equal(t, test.outcome == client.OutcomeAnswered, serverClient.Connected())
			result.Held.Release()
			require.Zero(t, memory.Held(budget.Answer))
		})
	}
}

func TestServerStatusIsTranslated(t *testing.T) {
	cases := []struct {
		code   int
		notRun string
		status msgs.Status
	}{
		{bknd.StatusWrongVersion, "1", msgs.StatusWrongVersion},
		{bknd.StatusShed, "", msgs.StatusNotRun},
		{bknd.StatusDeadline, "", msgs.StatusLate},
		{bknd.StatusDeadline, "1", msgs.StatusNotRun},
		{bknd.StatusCancelled, "", msgs.StatusCancelled},
		{fasthttp.StatusBadGateway, "", msgs.StatusFailed},
	}
	for _, c := range cases {
		address, _ := serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(c.code)
			ctx.Response.Header.Set(bknd.HeaderNotRun, c.notRun)
		})
		serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{})
		require.Equal(t, c.status, do(t, serverClient, request(msgs.KindAction), allow).Status, fmt.Sprint(c.code))
		serverClient.Close()
	}
}

func TestTimedOutConnectionIsNotReused(t *testing.T) {
	block := make(chan struct{})
	address, conns := serve(t, func(*fasthttp.RequestCtx) { <-block })
	serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{})
	r := request(msgs.KindLookup)
	r.AnswerTimeout = 20 * time.Millisecond
	result := do(t, serverClient, r, allow)
	require.Equal(t, client.OutcomeTimedOut, result.Outcome)
	require.Equal(t, msgs.StatusLate, result.Status)
	require.False(t, serverClient.Connected())
	close(block)
	require.Equal(t, msgs.StatusOK, do(t, serverClient, request(msgs.KindLookup), allow).Status)
	require.Equal(t, int64(2), conns.Load())
	serverClient.Close()
}

func TestGuardPreventsSending(t *testing.T) {
	var handled atomic.Int64
	address, _ := serve(t, func(*fasthttp.RequestCtx) { handled.Add(1) })
	serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{})
	defer serverClient.Close()
	result := do(t, serverClient, request(msgs.KindAction), func() bool { return false })
	require.Equal(t, client.OutcomeUnsent, result.Outcome)
	require.Equal(t, msgs.StatusNotRun, result.Status)
	require.Zero(t, handled.Load())
}

func TestClosedConnectionIsReplacedBeforeNextRequest(t *testing.T) {
	address, conns := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() })
	serverClient := client.New(client.NewDialer(address, 0, nil), client.Options{})
	defer serverClient.Close()
	for range 3 {
		require.Equal(t, msgs.StatusOK, do(t, serverClient, request(msgs.KindLookup), allow).Status)
	}
	require.Equal(t, int64(3), conns.Load())
}

func TestServerWithoutHelloIsNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	d := client.NewDialer(listener.Addr().String(), 0, nil)
	serverClient := client.New(d, client.Options{})
	_, _, err = serverClient.Connect(time.Now())
	require.Error(t, err)
	require.Zero(t, d.OpenConns())
	require.Equal(t, client.OutcomeUnsent, serverClient.Do(request(msgs.KindAction), allow).Outcome)
}

// closeCounter counts the accepted connections that are not closed yet.
type closeCounter struct {
	net.Listener
	open atomic.Int32
}

func (c *closeCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.open.Add(1)
	return &countedConn{Conn: conn, ended: sync.OnceFunc(func() { c.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	ended func()
}

// Close returns once the client can see that the connection is closed.
func (c *countedConn) Close() error {
	defer c.ended()
	return c.Conn.Close()
}

func TestIdleConnectionClosedByServerIsReplaced(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &closeCounter{Listener: tcp}
	server := &fasthttp.Server{
		IdleTimeout: 300 * time.Millisecond, Logger: discardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(bknd.HeaderBoot, "boot-1")
			if string(ctx.Path()) == bknd.PathHello {
				ctx.SetStatusCode(fasthttp.StatusNoContent)
			}
			echo(ctx)
		},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	d := client.NewDialer(listener.Addr().String(), 0, nil)
	serverClient := client.New(d, client.Options{})
	for range 3 {
		require.Equal(t, msgs.StatusOK, do(t, serverClient, request(msgs.KindAction), allow).Status)
		require.Equal(t, 1, d.OpenConns())
		require.Eventually(t, func() bool { return listener.open.Load() == 0 }, testWait, time.Millisecond)
	}
	serverClient.Close()
	require.Zero(t, d.OpenConns())
	require.NoError(t, server.Shutdown())
	_ = listener.Close()
	<-done
}
