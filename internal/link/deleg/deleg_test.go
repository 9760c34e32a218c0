package deleg_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

const testTimeout = 10 * time.Second

// backend is a Sender that answers each attempt after the delay of its backend server.
// It never answers if the delay is negative.
type backend struct {
	// partitioned is set if the delegate reaches no backend server.
	partitioned bool

	delays map[string]time.Duration
	limits map[string]notice.Limit
	// slowdowns holds the slowdowns that servers tell.
	slowdowns map[string]int
	// ended holds how many requests the servers had that ended, and maybe the same for those that
	// may have ended before.
	ended, maybe map[string]int
	mu           sync.Mutex
	sent         []pool.Target
}

func (b *backend) Send(target pool.Target, _ *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
	b.mu.Lock()
	b.sent = append(b.sent, target)
	b.mu.Unlock()
	if delay := b.delays[string(target.ID)]; delay >= 0 {
		time.AfterFunc(delay, func() { done(b.part(string(target.ID))) })
	}
	return &pool.Call{}
}

// part returns the result of a server whose answer is one record with the server's name.
func (b *backend) part(server string) pool.Result {
	if shared, ended := b.ended[server]; ended {
		return pool.Result{Outcome: pool.Broken, Ended: true, Shared: shared}
	}
	if shared, maybe := b.maybe[server]; maybe {
		return pool.Result{Outcome: pool.Broken, MayHaveEnded: true, Shared: shared}
	}
	response := fasthttp.AcquireResponse()
	response.SetBody(record(server))
	limit := notice.Unlimited
	if named, ok := b.limits[server]; ok {
		limit = named
	}
	return pool.Result{Status: 200, Signature: "of " + server, Response: response, Running: 1, Slots: 2, Limit: coll.Some(limit), Slowdown: b.slowdowns[server]}
}

func record(text string) []byte {
	return append([]byte(text), make([]byte, 16-len(text))...)
}

// callbackRecorder records the callbacks of Client.Send.
type callbackRecorder struct {
	mu      sync.Mutex
	reports []*deleg.Report
	ended   chan error
	fate    pool.Outcome
}

func (c *callbackRecorder) onReport(r *deleg.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r)
}

func (c *callbackRecorder) onEnd(fate pool.Outcome, err error) {
	c.fate = fate
	c.ended <- err
}

func notFound(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) }

func serve(t *testing.T, b *backend) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := deleg.NewServer(deleg.ServerDeps{Sender: b, Refuse: func(*deleg.Order) bool { return b.partitioned }, Fallback: notFound})
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		running.Wait()
	})
	return listener.Addr().String()
}

func newOrder(servers ...string) *deleg.Order {
	order := &deleg.Order{Request: "r1", Head: []byte("GET / HTTP/1.1\r\n"), Limit: 2, LeftMicros: 1e6, PatienceMicros: 30e3}
	for i, server := range servers {
		order.Sends = append(order.Sends, deleg.Send{Seq: uint32(i), Server: server, Address: "127.0.0.1:1", Connections: 3})
	}
	return order
}

func send(t *testing.T, client *deleg.Client, address string, order *deleg.Order) *callbackRecorder {
	t.Helper()
	c := &callbackRecorder{ended: make(chan error, 1)}
	client.Send(address, order, c.onReport, c.onEnd)
	select {
	case err := <-c.ended:
		if err != nil {
			t.Log(err)
			c.ended <- err
		}
	case <-time.After(testTimeout):
		require.Fail(t, "the order did not end in time")
	}
	return c
}

func TestFirstReportMergesTheTopRecords(t *testing.T) {
	b := &backend{}
	client, address := deleg.NewClient(), serve(t, b)
	for range 3 {
		order := newOrder("a", "d", "c", "b")
		// The report must not become due before all have answered, however busy the machine is.
		order.PatienceMicros = order.LeftMicros
		c := send(t, client, address, order)
		require.Empty(t, c.ended)
		require.Len(t, c.reports, 1)
		require.Equal(t, bytes.Join([][]byte{record("d"), record("c")}, nil), c.reports[0].Records)
		require.Len(t, c.reports[0].Outcomes, 4)
		for _, o := range c.reports[0].Outcomes {
			require.Equal(t, "of "+string("adcb"[o.Seq]), o.Signature)
			require.EqualValues(t, 200, o.Status)
			require.EqualValues(t, 2, o.Slots)
			require.False(t, o.Alone)
		}
	}
}

func TestEndsOfServersAreReported(t *testing.T) {
	b := &backend{ended: map[string]int{"c": 2}, maybe: map[string]int{"d": 3}}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b", "c", "d", "e"))
	require.Empty(t, c.ended)
	var ends, maybe []deleg.Ended
	for _, report := range c.reports {
		ends, maybe = append(ends, report.Ended...), append(maybe, report.MayHaveEnded...)
	}
	require.Equal(t, []deleg.Ended{{Seq: 2, Shared: 2}}, ends)
	require.Equal(t, []deleg.Ended{{Seq: 3, Shared: 3}}, maybe)
}

func TestLimitsAreReported(t *testing.T) {
	b := &backend{limits: map[string]notice.Limit{"c": 2.5}, delays: map[string]time.Duration{"e": 150 * time.Millisecond}}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b", "c", "d", "e"))
	require.Empty(t, c.ended)
	for _, report := range c.reports {
		require.True(t, report.HasLimits)
	}
	require.Equal(t, []deleg.Limit{{Seq: 2, PerSecond: 2.5}}, c.reports[0].Limits)
	require.Empty(t, c.reports[len(c.reports)-1].Limits)
}

// A slow backend server does not delay the first report. Its answer follows in a later
// report with its records kept separate.
func TestLateAnswersAreReportedSeparately(t *testing.T) {
	b := &backend{delays: map[string]time.Duration{"e": 150 * time.Millisecond}}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b", "c", "d", "e"))
	require.Empty(t, c.ended)
	require.Greater(t, len(c.reports), 1)
	require.Len(t, c.reports[0].Outcomes, 4)
	last := c.reports[len(c.reports)-1]
	require.Len(t, last.Outcomes, 1)
	require.True(t, last.Outcomes[0].Alone)
	require.Equal(t, record("e"), last.Outcomes[0].Records)
	require.GreaterOrEqual(t, last.Outcomes[0].Micros, uint32(140e3))
}

// The delegate sends empty reports while no backend server answers.
func TestHeartbeatsWhileServersStall(t *testing.T) {
	b := &backend{delays: map[string]time.Duration{"a": time.Second, "b": time.Second}}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b"))
	require.Empty(t, c.ended)
	require.Greater(t, len(c.reports), 5)
	require.Empty(t, c.reports[0].Outcomes)
}

func TestUnreachableDelegateMeansUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := send(t, deleg.NewClient(), address, newOrder("a"))
	require.Error(t, <-c.ended)
	require.Equal(t, pool.Unsent, c.fate)
}

// A delegate that accepts the order and falls silent may have sent its attempts.
func TestSilentDelegateMeansBroken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	began := time.Now()
	c := send(t, deleg.NewClient(), listener.Addr().String(), newOrder("a"))
	require.Error(t, <-c.ended)
	require.Equal(t, pool.Broken, c.fate)
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestCancelledOrderEndsSoon(t *testing.T) {
	b := &backend{delays: map[string]time.Duration{"a": 0, "b": 3 * time.Second}}
	client, address := deleg.NewClient(), serve(t, b)
	c := &callbackRecorder{ended: make(chan error, 1)}
	began := time.Now()
	pending := client.Send(address, newOrder("a", "b"), c.onReport, c.onEnd)
	pending.Cancel()
	require.Error(t, <-c.ended)
	require.Equal(t, pool.Broken, c.fate)
	require.Less(t, time.Since(began), time.Second)
}

func TestPartitionedDelegateRefusesOrders(t *testing.T) {
	b := &backend{partitioned: true}
	c := send(t, deleg.NewClient(), serve(t, b), newOrder("a", "b"))
	require.NotEmpty(t, c.ended, "the order fails")
	require.Equal(t, pool.Unsent, c.fate)
	require.Empty(t, b.sent)
}

// A delegate that was paused while an order arrived and was cancelled must not send its
// attempts.
func TestCancelledOrderIsNotSentAfterAPause(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	body, err := newOrder("a", "b").MarshalMsg(nil)
	require.NoError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/order HTTP/1.1\r\nHost: vm\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	b := &backend{}
	server := deleg.NewServer(deleg.ServerDeps{Sender: b, Refuse: func(*deleg.Order) bool { return false }, Fallback: notFound})
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, server.Shutdown())
	running.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Empty(t, b.sent)
}

// endingBackend is a Sender whose servers end, which is told after the results of the attempts.
type endingBackend struct {
	// answers holds the server that answers instead.
	answers string

	mu    sync.Mutex
	tells []func()
}

func (b *endingBackend) Send(target pool.Target, message *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
	if string(target.ID) == b.answers {
		response := fasthttp.AcquireResponse()
		response.SetBody(record(b.answers))
		done(pool.Result{Status: 200, Signature: "s", Response: response})
		return &pool.Call{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if message.OnEnd != nil {
		b.tells = append(b.tells, func() { message.OnEnd(notice.Process{ID: target.ID}, 2, true) })
	}
	done(pool.Result{Outcome: pool.Broken, Shared: 2})
	return &pool.Call{}
}

// Guards against a request that ends servers and isn't known, because other VMs sent its attempts
// and nobody heard of ends that were told late. An answer shows that the request is harmless.
func TestLateEndsOfAttemptsForOtherVMsAreTold(t *testing.T) {
	for answers, want := range map[string][]string{"": {"a 2", "b 2", "c 2"}, "b": nil} {
		t.Run("answers: "+answers, func(t *testing.T) {
			b := &endingBackend{answers: answers}
			var told []string
			server := deleg.NewServer(deleg.ServerDeps{
				Sender: b, Refuse: func(*deleg.Order) bool { return false }, Fallback: notFound,
				LateEnd: func(order *deleg.Order, process notice.Process, shared int) {
					require.Equal(t, "r1", order.Request)
					told = append(told, fmt.Sprint(process.ID, " ", shared))
				},
			})
			listener := fasthttputil.NewInmemoryListener()
			var running sync.WaitGroup
			running.Go(func() { _ = server.Serve(listener) })
			body, err := newOrder("a", "b", "c").MarshalMsg(nil)
			require.NoError(t, err)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://vm/v1/order")
			request.Header.SetMethod(fasthttp.MethodPost)
			request.SetBody(body)
			client := &fasthttp.HostClient{Addr: "vm", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
			require.NoError(t, client.Do(request, response))
			require.Equal(t, fasthttp.StatusOK, response.StatusCode())
			client.CloseIdleConnections()
			require.NoError(t, server.Shutdown())
			running.Wait()
			for _, tell := range b.tells {
				tell()
			}
			require.Equal(t, want, told)
		})
	}
}

func FuzzOrder(f *testing.F) {
	good, err := newOrder("a").MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte("\x81\xa1s\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second deleg.Order
		if _, err := first.UnmarshalMsg(data); err != nil {
			return
		}
		again, err := first.MarshalMsg(nil)
		require.NoError(t, err)
		_, err = second.UnmarshalMsg(again)
		require.NoError(t, err)
		require.Equal(t, len(first.Sends), len(second.Sends))
	})
}
