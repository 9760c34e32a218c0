package gate_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/front/gate"
	"github.com/samphirestair/samphirestair/internal/link/detour"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/header"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// fakeTier replaces everything that a gate depends on.
type fakeTier struct {
	view        *roster.View
	confirmedAt time.Time
	requests    chan runner.Request
	answer      func(runner.Request) runner.Answer
	silent      coll.Set[ident.VMID]
	cutOff      bool
	stale       bool
	// deaf is set while no connection can be accepted.
	deaf bool
	// partitioned holds the VMs that report to be partitioned from the backend servers.
	partitioned coll.Set[ident.VMID]
	missing     int
}

func (t *fakeTier) Silent(vm ident.VMID) bool { return t.silent.Has(vm) }
func (t *fakeTier) CutOff() bool              { return t.cutOff }

func (t *fakeTier) Reach(_ time.Time, vm ident.VMID) beats.Reach {
	return beats.Reach{Partitioned: t.partitioned.Has(vm)}
}

func (t *fakeTier) MayBePartitioned() bool { return t.partitioned.Has("vm-1") }

func (t *fakeTier) Missing(*routes.Route, ident.ServiceID) int { return t.missing }

func (t *fakeTier) View() *roster.View { return t.view }

func (t *fakeTier) Age(now time.Time) (time.Duration, bool) { return now.Sub(t.confirmedAt), true }

func (t *fakeTier) Run(request runner.Request) runner.Answer {
	t.requests <- request
	return t.answer(request)
}

func newFakeTier(t *testing.T) *fakeTier {
	t.Helper()
	table, err := routes.NewTable(&routes.Config{
		Version: 3,
		Limits:  routes.Limits{BodyBytes: 1000},
		Routes: []routes.Route{
			{Name: "lookup", Host: "desk.example", Prefix: "/one/", Attempts: 2, Timeout: time.Second, Split: []routes.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "search", Host: "desk.example", Prefix: "/all/", Attempts: 2, Timeout: time.Second, Shards: []ident.ServiceID{"s1", "s2"}},
		},
	})
	require.NoError(t, err)
	return &fakeTier{
		view:        roster.NewView(table, nil, []roster.Member{{VM: "vm-1", CallerAddress: "10.0.0.1:80"}, {VM: "vm-2", CallerAddress: "10.0.0.2:80"}}, nil),
		confirmedAt: time.Now(),
		requests:    make(chan runner.Request, 10),
		answer: func(runner.Request) runner.Answer {
			response := fasthttp.AcquireResponse()
			response.SetStatusCode(fasthttp.StatusCreated)
			response.Header.DisableNormalizing()
			response.Header.Set("x-odd-case", "kept")
			response.Header.Set("Keep-Alive", "timeout=5")
			response.SetBodyString("the server's bytes")
			return runner.Answer{Result: pool.Result{Response: response}}
		},
	}
}

func newGate(fake *fakeTier, change ...func(*gate.Deps)) *gate.Gate {
	deps := gate.Deps{
		Runner: fake, Local: fake, Coverage: fake, Views: fake, Names: header.Default(),
		Self:    roster.Member{VM: "vm-1", CallerAddress: "10.0.0.1:80"},
		Serving: func() bool { return true },
		Usable:  func(time.Time) bool { return !fake.stale },
		Peers:   fake,

		Accepting: func() bool { return !fake.deaf },
	}
	for _, one := range change {
		one(&deps)
	}
	return gate.New(deps)
}

// send sends raw bytes to a gate and returns its answer.
func send(t *testing.T, g *gate.Gate, raw string) *fasthttp.Response {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = g.Serve(listener) }()
	conn, err := listener.Dial()
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	_, err = conn.Write([]byte(raw))
	require.NoError(t, err)
	response := &fasthttp.Response{}
	response.Header.DisableNormalizing()
	require.NoError(t, response.Read(bufio.NewReaderSize(conn, 64<<10)))
	return response
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	fake := newFakeTier(t)
	response := send(t, newGate(fake), "POST /one/a%20b?q=%2F HTTP/1.1\r\nHost: desk.example\r\nx-My-header: 1\r\n"+
		"X-Request-Id: r1\r\nX-Deadline-Ms: 700\r\nConnection: close, X-Hop\r\nX-Hop: 2\r\nX-Expect-Server: forged\r\nContent-Length: 4\r\n\r\nbody")
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode())
	require.Equal(t, "the server's bytes", string(response.Body()))
	require.Equal(t, "kept", string(response.Header.Peek("x-odd-case")))
	require.Empty(t, response.Header.Peek("Keep-Alive"))
	request := <-fake.requests
	require.Equal(t, "POST /one/a%20b?q=%2F HTTP/1.1\r\nHost: desk.example\r\nx-My-header: 1\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n", string(request.Message.Head))
	require.Equal(t, "body", string(request.Message.Body))
	require.Equal(t, "r1", request.Message.ID)
	require.Equal(t, 700*time.Millisecond, request.Wait)
	require.EqualValues(t, "a", request.Service)
}

// The names of header fields are case-insensitive, and a field may be repeated.
func TestHeadersListedByConnectionAreNotPassedOn(t *testing.T) {
	fake := newFakeTier(t)
	fake.answer = func(runner.Request) runner.Answer {
		response := fasthttp.AcquireResponse()
		response.Header.DisableNormalizing()
		for _, field := range [][2]string{{"connection", "X-One"}, {"Connection", "x-two, x-three"}, {"X-One", "1"}, {"x-Two", "2"}, {"X-Three", "3"}, {"X-Four", "4"}} {
			response.Header.Add(field[0], field[1])
		}
		return runner.Answer{Result: pool.Result{Response: response}}
	}
	response := send(t, newGate(fake), "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n"+
		"connection: X-One\r\nConnection: x-two, x-three\r\nX-One: 1\r\nx-Two: 2\r\nX-Three: 3\r\nX-Four: 4\r\n\r\n")
	require.Empty(t, string(response.Header.Peek("X-One")))
	require.Empty(t, string(response.Header.Peek("x-Two")))
	require.Empty(t, string(response.Header.Peek("X-Three")))
	require.Equal(t, "4", string(response.Header.Peek("X-Four")))
	require.Equal(t, "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\nX-Four: 4\r\n", string((<-fake.requests).Message.Head))
}

// The fault is the request's, so that it has a status of its own.
func TestQuarantinedRequestIsToldFromOtherRefusals(t *testing.T) {
	fake := newFakeTier(t)
	fake.answer = func(runner.Request) runner.Answer {
		return runner.Answer{Outcome: relay.Outcome{Verdict: relay.Refused, Quarantined: true, Reason: "quarantined", RetryAfter: time.Minute}}
	}
	response := send(t, newGate(fake), "GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.Equal(t, fasthttp.StatusTooManyRequests, response.StatusCode())
	require.Equal(t, "60.000", string(response.Header.Peek("Retry-After")))
	require.Equal(t, "quarantined", string(response.Body()))
}

func TestChunkedBodyIsForwardedWithItsLength(t *testing.T) {
	fake := newFakeTier(t)
	send(t, newGate(fake), "POST /one/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	request := <-fake.requests
	require.Contains(t, string(request.Message.Head), "Content-Length: 4\r\n")
	require.NotContains(t, string(request.Message.Head), "chunked")
}

// The number of header lines must not grow with the number of shards, because callers
// limit it.
func TestSearchAnswerOfManyShardsHasFewHeaders(t *testing.T) {
	const shards = 2 * 270
	signatures := make([]string, shards)
	for i := range signatures {
		signatures[i] = fmt.Sprintf("%04x.07.5a2.600.0.c9f2a4d1.%08x", i, i)
	}
	fake := newFakeTier(t)
	fake.answer = func(runner.Request) runner.Answer {
		return runner.Answer{Records: []byte("sixteen bytes..."), Signatures: signatures}
	}
	response := send(t, newGate(fake), "GET /all/ HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n")
	var named []string
	lines := response.Header.PeekAll("X-Part-Signatures")
	for _, line := range lines {
		require.LessOrEqual(t, len(line), 4<<10)
		named = append(named, strings.Split(string(line), ", ")...)
	}
	require.Equal(t, signatures, named)
	require.LessOrEqual(t, len(lines), 6)
}

func TestSearchAnswerListsItsParts(t *testing.T) {
	fake := newFakeTier(t)
	fake.answer = func(runner.Request) runner.Answer {
		return runner.Answer{Outcome: relay.Outcome{Missing: 1}, Records: []byte("sixteen bytes..."), Signatures: []string{"s1"}}
	}
	response := send(t, newGate(fake), "GET /all/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.Equal(t, fasthttp.StatusOK, response.StatusCode())
	require.Equal(t, "s1", string(response.Header.Peek("X-Part-Signatures")))
	require.Equal(t, "1", string(response.Header.Peek("X-Missing-Parts")))
	require.Equal(t, "sixteen bytes...", string(response.Body()))
}

func TestStatusOfEachOutcome(t *testing.T) {
	for verdict, status := range map[relay.Verdict]int{
		relay.Refused: 503, relay.Failed: 502, relay.TimedOut: 504,
	} {
		fake := newFakeTier(t)
		fake.answer = func(runner.Request) runner.Answer {
			return runner.Answer{Outcome: relay.Outcome{Verdict: verdict, RetryAfter: 300 * time.Millisecond}}
		}
		response := send(t, newGate(fake), "GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		require.Equal(t, status, response.StatusCode())
		if verdict == relay.Refused {
			require.Equal(t, "0.300", string(response.Header.Peek("Retry-After")))
		}
	}
}

func TestUnknownRouteIsRejectedOnlyWhileViewIsFresh(t *testing.T) {
	fake := newFakeTier(t)
	const raw = "GET /none/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	require.Equal(t, fasthttp.StatusNotFound, send(t, newGate(fake), raw).StatusCode())
	fake.confirmedAt = time.Now().Add(-time.Minute)
	require.Equal(t, fasthttp.StatusServiceUnavailable, send(t, newGate(fake), raw).StatusCode())
	fake.view = roster.NewView(nil, nil, nil, nil)
	require.Equal(t, fasthttp.StatusServiceUnavailable, send(t, newGate(fake), raw).StatusCode())
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for name, raw := range map[string]string{
		"length and chunks": "POST /one/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":       "POST /one/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody5",
		"two hosts":         "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nHost: other.example\r\n\r\n",
		"no host":           "GET /one/x HTTP/1.1\r\n\r\n",
		"folded header":     "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX-A: 1\r\n 2\r\n\r\n",
		"space after name":  "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX-A : 1\r\n\r\n",
		"space in name":     "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX A: 1\r\n\r\n",
		"space in length":   "GET /one/x HTTP/1.1\r\nContent Length: 4\r\nHost: desk.example\r\n\r\nbody",
		"tab in name":       "GET /one/x HTTP/1.1\r\nHost: desk.example\r\nX\tA: 1\r\n\r\n",
		"too long":          "POST /one/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001),
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeTier(t)
			response := send(t, newGate(fake), raw)
			require.GreaterOrEqual(t, response.StatusCode(), 400)
			require.Less(t, response.StatusCode(), 500)
			require.Empty(t, fake.requests)
		})
	}
}

func TestDrainingGateStillServes(t *testing.T) {
	fake := newFakeTier(t)
	g := newGate(fake)
	require.True(t, g.Ready())
	require.Equal(t, []string{"10.0.0.2:80", "10.0.0.1:80"}, g.Addresses())
	g.Drain(time.Now().Add(time.Minute))
	require.False(t, g.Ready())
	require.Equal(t, []string{"10.0.0.2:80"}, g.Addresses())
	response := send(t, g, "GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode())
	require.True(t, response.ConnectionClose())
}

func TestStandbyVMWithStaleViewRefuses(t *testing.T) {
	fake := newFakeTier(t)
	fake.stale = true
	response := send(t, newGate(fake), "GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.Equal(t, fasthttp.StatusServiceUnavailable, response.StatusCode())
	require.NotEmpty(t, response.Header.Peek("Retry-After"))
	require.True(t, response.ConnectionClose())
	require.Empty(t, fake.requests)
}

func TestSilentVMsAreNotListed(t *testing.T) {
	fake := newFakeTier(t)
	fake.silent = coll.NewSet[ident.VMID]("vm-2")
	require.Equal(t, []string{"10.0.0.1:80"}, newGate(fake).Addresses())
}

// Guards against a VM that callers are sent to although it accepts no connections.
func TestVMThatAcceptsNothingIsNeitherReadyNorListed(t *testing.T) {
	fake := newFakeTier(t)
	fake.deaf = true
	g := newGate(fake)
	require.False(t, g.Ready())
	require.Equal(t, []string{"10.0.0.2:80"}, g.Addresses())
}

func TestIsolatedVMListsOnlyTheOthers(t *testing.T) {
	fake := newFakeTier(t)
	fake.cutOff = true
	g := newGate(fake)
	require.False(t, g.Ready())
	require.Equal(t, []string{"10.0.0.2:80"}, g.Addresses())
}

// Guards against callers that are sent to VMs that are partitioned from the backend servers
// while others are not.
func TestPartitionedVMsAreNotListed(t *testing.T) {
	const own, other = "10.0.0.1:80", "10.0.0.2:80"
	for _, test := range []struct {
		name        string
		partitioned []ident.VMID
		registered  bool
		want        []string
	}{
		{"none", nil, false, []string{other, own}},
		{"another by its report", []ident.VMID{"vm-2"}, false, []string{own}},
		{"another by its registration", nil, true, []string{own}},
		{"this one", []ident.VMID{"vm-1"}, false, []string{other}},
		{"all", []ident.VMID{"vm-1", "vm-2"}, true, []string{other, own}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake := newFakeTier(t)
			fake.partitioned = coll.NewSet(test.partitioned...)
			fake.view = roster.NewView(fake.view.Table, nil, []roster.Member{
				{VM: "vm-1", CallerAddress: own}, {VM: "vm-2", CallerAddress: other, Partitioned: test.registered},
			}, nil)
			require.Equal(t, test.want, newGate(fake).Addresses())
		})
	}
}

func TestRequestOfAnotherVMRunsOnlyIfThisOneIsBetter(t *testing.T) {
	valid := detour.Order{Request: "r1", Host: "desk.example", Path: "/one/x", Head: []byte("GET /one/x HTTP/1.1\r\n"), Version: 3, Missing: 1}
	for _, test := range []struct {
		name   string
		change func(fake *fakeTier, order *detour.Order)
		runs   bool
	}{
		{"all reached", func(*fakeTier, *detour.Order) {}, true},
		{"as many missing", func(fake *fakeTier, _ *detour.Order) { fake.missing = 1 }, false},
		{"more missing at the other VM", func(fake *fakeTier, order *detour.Order) { fake.missing, order.Missing = 1, 2 }, true},
		{"older configuration", func(_ *fakeTier, order *detour.Order) { order.Version = 4 }, false},
		{"stale view", func(fake *fakeTier, _ *detour.Order) { fake.stale = true }, false},
		{"unknown route", func(_ *fakeTier, order *detour.Order) { order.Path = "/two/x" }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake, order := newFakeTier(t), valid
			test.change(fake, &order)
			body, err := order.MarshalMsg(nil)
			require.NoError(t, err)
			var response fasthttp.Response
			ask(t, newGate(fake).RunDetour, body, &response)
			if !test.runs {
				require.Equal(t, fasthttp.StatusConflict, response.StatusCode())
				require.Empty(t, fake.requests)
				return
			}
			require.Equal(t, fasthttp.StatusOK, response.StatusCode())
			require.Equal(t, "r1", (<-fake.requests).Message.ID)
			var answer detour.Answer
			_, err = answer.UnmarshalMsg(response.Body())
			require.NoError(t, err)
			require.EqualValues(t, fasthttp.StatusCreated, answer.Status)
			require.EqualValues(t, 3, answer.Version)
			require.Equal(t, "the server's bytes", string(answer.Body))
		})
	}
}

// ask sends body to a handler over a connection.
func ask(t *testing.T, handler fasthttp.RequestHandler, body []byte, response *fasthttp.Response) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { require.NoError(t, server.Shutdown()) }()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + listener.Addr().String())
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	require.NoError(t, fasthttp.Do(request, response))
}

func TestDisconnectedCallerIsDetected(t *testing.T) {
	fake := newFakeTier(t)
	noticed := make(chan struct{})
	fake.answer = func(request runner.Request) runner.Answer {
		<-request.Gone
		close(noticed)
		return runner.Answer{Gone: true}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := newGate(fake)
	go func() { _ = g.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"))
	require.NoError(t, err)
	<-fake.requests
	require.NoError(t, conn.Close())
	select {
	case <-noticed:
	case <-time.After(2 * time.Second):
		require.Fail(t, "the disconnected caller was not detected")
	}
	require.NoError(t, g.Shutdown())
}

// A request without end must be rejected before it fills the memory.
func TestEndlessRequestsAreRejected(t *testing.T) {
	const head = "POST /one/a HTTP/1.1\r\nHost: desk.example\r\n"
	filler := strings.Repeat("x", 4096)
	for name, test := range map[string]struct{ start, again string }{
		"request_line":    {"GET /one/", filler},
		"header":          {head + "X-Filler: ", filler},
		"headers":         {head, "X-Filler: y\r\n"},
		"chunk_extension": {head + "Transfer-Encoding: chunked\r\n\r\n5;", filler},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
		"body":            {head + "Content-Length: 999999999999\r\n\r\n", filler},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(newFakeTier(t))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, listener.Close()) }()
			go func() { _ = g.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = conn.Write([]byte(test.start))
			require.NoError(t, err)
			written := 0
			for err == nil {
				var n int
				n, err = conn.Write([]byte(test.again))
				written += n
			}
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Less(t, written, 64<<20)
		})
	}
}
