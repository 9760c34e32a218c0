package detour_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/beats"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/detour"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/owner/reach"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

var (
	lookup = &routes.Route{Name: "look", Timeout: 500 * time.Millisecond, Idempotent: true}
	action = &routes.Route{Name: "act", Timeout: 500 * time.Millisecond}
)

// peer is another VM, which answers orders as handle says.
type peer struct {
	member roster.Member
	orders atomic.Int32
	last   atomic.Pointer[detour.Order]
}

func newPeer(t *testing.T, vm ident.VMID, handle func(ctx *fasthttp.RequestCtx, order *detour.Order)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{member: roster.Member{VM: vm, PeerAddress: l.Addr().String(), Serving: true}}
	server := &fasthttp.Server{DisableHeaderNamesNormalizing: true, Logger: events.DiscardLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
		order, err := detour.ReadOrder(ctx)
		if err != nil {
			detour.Decline(ctx, err.Error())
			return
		}
		p.orders.Add(1)
		p.last.Store(order)
		handle(ctx, order)
	}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return p
}

// answers writes an answer that was made with a version of the configuration.
func answers(version ident.Version) func(ctx *fasthttp.RequestCtx, order *detour.Order) {
	return func(ctx *fasthttp.RequestCtx, order *detour.Order) {
		ctx.SetStatusCode(fasthttp.StatusCreated)
		ctx.SetBodyString("for " + order.Request)
		detour.Wrap(ctx, version, false)
	}
}

func declines(ctx *fasthttp.RequestCtx, _ *detour.Order) {
	detour.Decline(ctx, detour.NotReady)
}

// breaks closes the connection without an answer.
func breaks(ctx *fasthttp.RequestCtx, _ *detour.Order) {
	_ = ctx.Conn().Close()
}

// site is a VM with peers.
type site struct {
	*detour.Runner
	view    *roster.View
	reach   *reach.Tracker
	silent  coll.Set[ident.VMID]
	cutOff  bool
	reports map[ident.VMID]beats.Reach
	// refusal is the outcome of requests that run on the VM itself.
	refusal relay.Outcome
	// findsPartition is set if these requests show that the VM reaches no server.
	findsPartition bool
	// local counts them.
	local int
}

func (s *site) View() *roster.View                           { return s.view }
func (s *site) CutOff() bool                                 { return s.cutOff }
func (s *site) Silent(vm ident.VMID) bool                    { return s.silent.Has(vm) }
func (s *site) Reach(_ time.Time, vm ident.VMID) beats.Reach { return s.reports[vm] }
func (s *site) IsDown(ident.ServerID) bool                   { return true }

// local runs requests on the VM itself. They find no backend server.
type local struct{ site *site }

func (l local) Run(runner.Request) runner.Answer {
	l.site.local++
	if l.site.findsPartition {
		l.site.partition(0)
	}
	return runner.Answer{Outcome: l.site.refusal}
}

func newSite(t *testing.T, version ident.Version, peers ...*peer) *site {
	t.Helper()
	s := &site{
		reach: reach.NewTracker(), silent: coll.NewSet[ident.VMID](), reports: map[ident.VMID]beats.Reach{},
		refusal: relay.Outcome{Verdict: relay.Refused, Reason: "refused", NothingSent: true},
	}
	table, err := routes.NewTable(&routes.Config{Version: version})
	require.NoError(t, err)
	members := []roster.Member{{VM: "self", Serving: true}}
	for _, p := range peers {
		members = append(members, p.member)
	}
	replicas := []*roster.Replica{{Server: roster.Server{ID: serverID(0), Service: "desk"}}}
	s.view = roster.NewView(table, replicas, members, nil)
	s.Runner = detour.New(detour.Deps{
		Self: "self", Inner: local{s}, Coverage: detour.NewCoverage(s, s.reach, s), Views: s, Peers: s, Metrics: metrics.NewSet(),
	})
	return s
}

// partition makes the VM unable to reach three backend servers, among them that of the
// route, while it reaches some others.
func (s *site) partition(reached int) {
	now := time.Now()
	for i := range 3 {
		s.reach.Unreached(now, now, serverID(i))
	}
	for i := range reached {
		s.reach.Reached(now, serverID(3+i))
	}
	s.reach.Update(now)
}

func serverID(i int) ident.ServerID {
	return ident.ServerID(fmt.Sprint("i-", i))
}

func request(route *routes.Route, id string) runner.Request {
	return runner.Request{
		Message: &pool.Message{ID: id, Head: []byte("GET /look/x HTTP/1.1\r\n")}, Route: route, Service: "desk", Arrived: time.Now(), Host: "desk.example", Path: "/look/x",
	}
}

func TestRequestsOfAPartitionedVMRunElsewhere(t *testing.T) {
	other := newPeer(t, "vm-1", answers(1))
	s := newSite(t, 1, other)
	require.Equal(t, relay.Refused, s.Run(request(lookup, "r1")).Verdict)
	require.Zero(t, other.orders.Load(), "nothing says that the VM can't reach the servers")

	s.partition(0)
	answer := s.Run(request(lookup, "r2"))
	require.Equal(t, relay.Success, answer.Verdict)
	require.Equal(t, fasthttp.StatusCreated, answer.Result.Response.StatusCode())
	require.Equal(t, "for r2", string(answer.Result.Response.Body()))
	order := other.last.Load()
	require.Equal(t, "desk.example", order.Host)
	require.EqualValues(t, 1, order.Missing)
	require.False(t, order.Counted)
	require.Equal(t, 1, s.local)
}

// Guards against answers that are lost because their headers exceed a buffer: a search
// names the parts of all its shards there.
func TestAnswerOfManyShardsPasses(t *testing.T) {
	const lines, length = 20, 4000
	other := newPeer(t, "vm-1", func(ctx *fasthttp.RequestCtx, order *detour.Order) {
		for i := range lines {
			ctx.Response.Header.Add("x-parts", fmt.Sprint(i, strings.Repeat("s", length)))
		}
		answers(1)(ctx, order)
	})
	s := newSite(t, 1, other)
	s.partition(0)
	answer := s.Run(request(lookup, "r"))
	require.Equal(t, relay.Success, answer.Verdict)
	require.Len(t, answer.Result.Response.Header.PeekAll("x-parts"), lines)
	require.Equal(t, "for r", string(answer.Result.Response.Body()))
}

func TestDeclinedRequestIsSentToAnotherVM(t *testing.T) {
	bad, good := newPeer(t, "vm-1", declines), newPeer(t, "vm-2", answers(1))
	s := newSite(t, 1, bad, good)
	s.partition(0)
	for range 20 {
		require.Equal(t, relay.Success, s.Run(request(lookup, "r")).Verdict)
	}
	require.LessOrEqual(t, bad.orders.Load(), int32(1), "it is avoided for a while")
}

// Guards against requests that are refused because another VM can't reach what other requests need.
func TestVMThatCantReachOneServiceGetsOtherRequests(t *testing.T) {
	p := newPeer(t, "vm-1", func(ctx *fasthttp.RequestCtx, order *detour.Order) {
		if strings.HasPrefix(order.Request, "other") {
			detour.Decline(ctx, detour.Unreachable)
			return
		}
		answers(3)(ctx, order)
	})
	s := newSite(t, 3, p)
	s.partition(0)
	other := request(lookup, "other-1")
	other.Service = "other"
	require.Equal(t, relay.Refused, s.Run(other).Verdict)
	require.Equal(t, relay.Success, s.Run(request(lookup, "r1")).Verdict)
	other.Message.ID = "other-2"
	require.Equal(t, relay.Refused, s.Run(other).Verdict)
	require.EqualValues(t, 2, p.orders.Load(), "the same need is not asked for again at once")
}

func TestDetoursGoToVMsThatReachMore(t *testing.T) {
	for _, test := range []struct {
		name string
		// reached is the number of servers that the VM reaches besides the three that it does
		// not reach.
		reached int
		report  beats.Reach
		silent  bool
		cutOff  bool
		detours bool
	}{
		{name: "nothing reported", reached: 9, detours: true},
		{name: "half as few", reached: 9, report: beats.Reach{Unreached: 1}, detours: true},
		{name: "as few", reached: 9, report: beats.Reach{Unreached: 3}},
		{name: "partitioned, the other reaches some", report: beats.Reach{Unreached: 9}, detours: true},
		{name: "both partitioned", report: beats.Reach{Unreached: 3, Partitioned: true}},
		{name: "the other is silent", silent: true},
		{name: "cut off from all others", cutOff: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := newPeer(t, "vm-1", answers(1))
			s := newSite(t, 1, other)
			s.partition(test.reached)
			s.reports["vm-1"] = test.report
			s.cutOff = test.cutOff
			if test.silent {
				s.silent.Add("vm-1")
			}
			s.Run(request(lookup, "r"))
			require.Equal(t, test.detours, other.orders.Load() == 1)
			require.Equal(t, test.detours, s.local == 0)
		})
	}
}

// A request that another VM may have run must neither run again nor be refused, which
// would promise that it has not run.
func TestRequestWithoutAnswerOfAnotherVMFails(t *testing.T) {
	for _, route := range []*routes.Route{lookup, action} {
		first, second := newPeer(t, "vm-1", breaks), newPeer(t, "vm-2", breaks)
		s := newSite(t, 1, first, second)
		s.partition(0)
		require.Equal(t, relay.Failed, s.Run(request(route, "r")).Verdict)
		require.EqualValues(t, 1, first.orders.Load()+second.orders.Load())
		require.Zero(t, s.local)
	}
}

func TestDetourEndsAtTheDeadlineOrWhenTheVMFallsSilent(t *testing.T) {
	hangs := func(*fasthttp.RequestCtx, *detour.Order) { time.Sleep(2 * time.Second) }
	s := newSite(t, 1, newPeer(t, "vm-1", hangs))
	s.partition(0)
	began := time.Now()
	require.Equal(t, relay.TimedOut, s.Run(request(lookup, "r")).Verdict)
	require.Less(t, time.Since(began), time.Second)

	gone := make(chan struct{})
	s = newSite(t, 1, newPeer(t, "vm-2", hangs))
	s.partition(0)
	left := request(lookup, "r")
	left.Gone = gone
	time.AfterFunc(50*time.Millisecond, func() { close(gone) })
	require.True(t, s.Run(left).Gone)
}

// Guards against a VM that goes back to an older configuration: after a detour it must not
// use one that is older than the one the request ran with.
func TestVMDoesNotGoBackToAnOlderConfiguration(t *testing.T) {
	other := newPeer(t, "vm-1", answers(7))
	s := newSite(t, 3, other)
	s.partition(0)
	require.Equal(t, relay.Success, s.Run(request(lookup, "r1")).Verdict)
	require.EqualValues(t, 3, other.last.Load().Version)
	for i := range 3 {
		s.reach.Reached(time.Now(), serverID(i))
	}
	require.False(t, s.reach.Update(time.Now()).Partitioned)
	require.Equal(t, relay.Success, s.Run(request(lookup, "r2")).Verdict, "the VM itself has an older configuration")
	require.EqualValues(t, 7, other.last.Load().Version)
	s.silent.Add("vm-1")
	require.Equal(t, relay.Refused, s.Run(request(lookup, "r3")).Verdict)
	require.Zero(t, s.local)
}

// The attempts of a request may be the first to show that no backend server can be reached.
func TestRequestThatReachedNoServerRunsElsewhere(t *testing.T) {
	for name, nothingSent := range map[string]bool{"nothing was sent": true, "a server received an attempt": false} {
		t.Run(name, func(t *testing.T) {
			other := newPeer(t, "vm-1", answers(1))
			s := newSite(t, 1, other)
			s.findsPartition, s.refusal.NothingSent = true, nothingSent
			answer := s.Run(request(lookup, "r1"))
			if !nothingSent {
				require.Equal(t, relay.Refused, answer.Verdict)
				return
			}
			require.Equal(t, relay.Success, answer.Verdict)
			require.True(t, other.last.Load().Counted)
		})
	}
}

// requireNotPassedOn requires that a request fails to which another VM gives an answer.
func requireNotPassedOn(t *testing.T, answer *detour.Answer) {
	t.Helper()
	encoded, err := answer.MarshalMsg(nil)
	require.NoError(t, err)
	p := newPeer(t, "b", func(ctx *fasthttp.RequestCtx, _ *detour.Order) { ctx.SetBody(encoded) })
	s := newSite(t, 1, p)
	s.partition(0)
	got := s.Run(request(lookup, "r"))
	require.Equal(t, relay.Failed, got.Verdict, "%+v", answer)
	require.Nil(t, got.Result.Response)
}

// Guards against the answer of another VM that has no valid status and is passed on to the
// caller, as 000 was.
func TestAnswersWithoutValidStatusAreNotPassedOn(t *testing.T) {
	for _, status := range []uint16{0, 1, 99, 100, 101, 600, 1000, 65535} {
		requireNotPassedOn(t, &detour.Answer{Status: status, Version: 1})
	}
}

// Guards against the answer of another VM with a header that is not valid, which a VM of an earlier
// version may have got from a backend server, and which is passed on to the caller.
func TestAnswersWithInvalidHeadersAreNotPassedOn(t *testing.T) {
	for _, header := range []detour.Header{
		{},
		{Name: []byte("X Trace")},
		{Name: []byte("X-Trace ")},
		{Name: []byte("X\x01Trace")},
		{Name: []byte("X-Trace:")},
		{Name: []byte("X\r\nTrace")},
		{Name: []byte("X-Trace"), Value: []byte("a\x01")},
		{Name: []byte("X-Trace"), Value: []byte("a\r\nX-Other: b")},
		{Name: []byte("X-Trace"), Value: []byte("\x7f")},
	} {
		requireNotPassedOn(t, &detour.Answer{Status: 200, Version: 1, Headers: []detour.Header{{Name: []byte("A"), Value: []byte("b")}, header}})
	}
}
