package sender_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
	"github.com/samphirestair/samphirestair/internal/owner/warmth"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const testWait = 10 * time.Second

var (
	self = ident.Process{VM: "vm-1", Incarnation: 1}
	// entry is the process that sends the queries.
	entry = ident.Process{VM: "vm-2", Incarnation: 5}
)

// replies is a mesh that collects the answers.
type replies struct {
	answers chan msgs.Answer
	// hold delays replies until it is closed, unless it is nil.
	hold chan struct{}
}

func (r *replies) SendQuery(view.Member, msgs.Query)   {}
func (r *replies) SendCancel(view.Member, msgs.Cancel) {}

func (r *replies) SendReply(_ view.Member, reply msgs.Reply) {
	if r.hold != nil {
		<-r.hold
	}
	for _, a := range reply.Answers {
		r.answers <- a
	}
}

// fixture is a running sender that owns one server.
type fixture struct {
	t       testing.TB
	sender  *sender.Sender
	views   *view.Publisher
	replies *replies
	holding *view.Holding
	server  svcdoc.Server
	nextID  uint64
}

func newFixture(t testing.TB, address string, opts sender.Options) *fixture {
	return newFixtureWithServer(t, svcdoc.Server{
		ID: "desk/a", Address: address, Zone: "espoo",
		Limits: svcdoc.Limits{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 3},
	}, opts)
}

func newFixtureWithServer(t testing.TB, server svcdoc.Server, opts sender.Options) *fixture {
	f := &fixture{
		t: t, views: &view.Publisher{}, server: server,
		replies: &replies{answers: make(chan msgs.Answer, 1000)},
		holding: &view.Holding{Term: 1, Group: view.Group{ID: "g", Servers: []svcdoc.Server{server}}},
	}
	f.holding.Renew(time.Now().Add(time.Hour))
	f.publish(func(*view.View) {})
	f.sender = sender.New(sender.Deps{
		Self: self, Views: f.views, Mesh: f.replies,
		Events: events.New(slog.New(slog.DiscardHandler), metrics.NewSet()),
	}, opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sender.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// publish publishes the fixture's view after applying a change to it.
func (f *fixture) publish(change func(v *view.View)) {
	v := &view.View{
		Config:   &view.Config{},
		Members:  map[ident.VMID]view.Member{"vm-2": {Process: entry}, "vm-3": {Process: ident.Process{VM: "vm-3"}}},
		GroupOf:  map[ident.ServerID]ident.GroupID{"desk/a": "g"},
		Owners:   map[ident.GroupID]ident.VMID{"g": "vm-1"},
		Holdings: map[ident.GroupID]*view.Holding{"g": f.holding},
	}
	change(v)
	f.views.Publish(v)
}

// query hands a query with one item to the sender and returns its id.
func (f *fixture) query(kind msgs.Kind, budget time.Duration) uint64 {
	f.nextID++
	f.sender.HandleQuery(entry, msgs.Query{
		ID: f.nextID, Kind: kind, Version: 7, BudgetMicros: budget.Microseconds(),
		Items: []msgs.Item{{Seq: uint32(f.nextID), Server: "desk/a"}},
	})
	return f.nextID
}

func (f *fixture) answer() msgs.Answer {
	f.t.Helper()
	select {
	case a := <-f.replies.answers:
		return a
	case <-time.After(testWait):
		require.FailNow(f.t, "no answer")
		return msgs.Answer{}
	}
}

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, testWait, time.Millisecond)
}

func (f *fixture) state() sender.ServerState {
	states := f.sender.State()
	require.Len(f.t, states, 1)
	return states[0]
}

func (f *fixture) warmUp() {
	for range 3 {
		f.query(msgs.KindSearch, testWait)
		require.Equal(f.t, msgs.StatusOK, f.answer().Status)
	}
	require.Equal(f.t, warmth.Warm, f.state().Warmth.Phase)
}

func TestSearchIsAnswered(t *testing.T) {
	f := newFixture(t, startBackend(t).address, sender.Options{})
	f.query(msgs.KindSearch, testWait)
	a := f.answer()
	require.Equal(t, msgs.StatusOK, a.Status)
	require.Equal(t, uint64(7), a.Version)
	require.Equal(t, []msgs.Hit{{ID: "a", Score: 1.5, Doc: []byte(`{"n":1}`)}}, a.Hits)
	require.Equal(t, []msgs.Holding{{Version: 7, Shard: 0, Shards: 1}}, a.Maps)
	f.query(msgs.KindSearch, testWait)
	require.Nil(t, f.answer().Maps)
}

func TestColdServerStaysWithinItsColdSlots(t *testing.T) {
	b := startBackend(t)
	hold := make(chan struct{})
	b.set(func(b *backend) { b.hold = hold })
	f := newFixture(t, b.address, sender.Options{})
	for range 4 {
		f.query(msgs.KindSearch, testWait)
	}
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == 1 })
	require.Equal(t, 3, f.state().Queued)
	b.release()
	for range 4 {
		require.Equal(t, msgs.StatusOK, f.answer().Status)
	}
	require.Equal(t, 2, f.state().ConcurrencyLimit)
	_, peak, _ := b.counts()
	require.LessOrEqual(t, peak, 2)
	require.NoError(t, f.sender.Drain(context.Background()))
}

func TestNewBootReturnsServerToCold(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	f.warmUp()
	b.set(func(b *backend) { b.boot = "boot-2" })
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, uint32(1), f.answer().Slots)
}

func TestAnswerToAnotherRequestFailsOneRequestOnly(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	b.set(func(b *backend) {
		b.work = func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(bknd.HeaderRequest, "other") }
	})
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, msgs.StatusFailed, f.answer().Status)
	b.set(func(b *backend) { b.work = nil })
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, msgs.StatusOK, f.answer().Status)
	_, _, hellos := b.counts()
	require.GreaterOrEqual(t, hellos, 2)
}

func TestNothingIsSentWithoutALease(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	f.holding.Renew(time.Now().Add(-time.Second))
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, msgs.StatusWrongOwner, f.answer().Status)
	f.publish(func(v *view.View) {
		v.Holdings = nil
		v.Owners["g"] = "vm-3"
	})
	f.query(msgs.KindSearch, testWait)
	a := f.answer()
	require.Equal(t, msgs.StatusWrongOwner, a.Status)
	require.Equal(t, "vm-3", a.Owner)
	requests, _, _ := b.counts()
	require.Zero(t, requests)
}

func TestServerTakenOutReceivesNoQueuedWork(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f := newFixture(t, b.address, sender.Options{})
	f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == 1 })
	f.query(msgs.KindSearch, testWait)
	f.publish(func(v *view.View) { v.Config.ZonesOut = map[ident.Zone]ident.ChangeID{"espoo": "c"} })
	require.Equal(t, msgs.StatusNotRun, f.answer().Status)
	b.release()
	require.Equal(t, msgs.StatusOK, f.answer().Status)
	requests, _, _ := b.counts()
	require.Equal(t, 1, requests)
}

func TestSilentConnectionIsReplacedAndKeepsTheSlot(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.work = func(*fasthttp.RequestCtx) { time.Sleep(200 * time.Millisecond) } })
	f := newFixture(t, b.address, sender.Options{MinSilenceTimeout: 20 * time.Millisecond})
	f.query(msgs.KindAction, testWait)
	require.Equal(t, msgs.StatusLate, f.answer().Status)
	require.Equal(t, 1, f.state().InUse)
	b.set(func(b *backend) { b.work = nil })
	f.query(msgs.KindSearch, 50*time.Millisecond)
	require.Equal(t, msgs.StatusNotRun, f.answer().Status)
}

func TestCancelFreesTheSlot(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f := newFixture(t, b.address, sender.Options{})
	first := f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == 1 })
	second := f.query(msgs.KindSearch, testWait)
	f.sender.HandleCancel(entry, msgs.Cancel{ID: second})
	require.Equal(t, uint32(second), f.answer().Seq)
	f.sender.HandleCancel(entry, msgs.Cancel{ID: first})
	require.Equal(t, msgs.StatusCancelled, f.answer().Status)
	f.eventually(func() bool { return f.state().InUse == 0 })
	requests, _, _ := b.counts()
	require.Equal(t, 1, requests)
}

func TestQueriesToAnUnreachableServerAreNotRun(t *testing.T) {
	f := newFixture(t, "127.0.0.1:1", sender.Options{})
	f.query(msgs.KindAction, testWait)
	a := f.answer()
	require.Equal(t, msgs.StatusNotRun, a.Status)
	require.NotZero(t, a.RetryMicros)
	f.query(msgs.KindLookup, testWait)
	require.Equal(t, msgs.StatusNotRun, f.answer().Status)
}

func TestSuccessorStartsWarmAndCountsOutstandingWork(t *testing.T) {
	b := startBackend(t)
	first := newFixture(t, b.address, sender.Options{})
	first.warmUp()
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	first.query(msgs.KindSearch, testWait)
	first.eventually(func() bool { requests, _, _ := b.counts(); return requests == 4 })
	handover := first.sender.Export("g")

	second := newFixture(t, b.address, sender.Options{})
	second.holding.Renew(time.Time{})
	second.sender.Import("g", handover, time.Time{})
	second.holding.Renew(time.Now().Add(time.Hour))
	second.sender.Refresh()
	require.Equal(t, 1, second.state().InUse)
	second.eventually(func() bool { return second.state().ConcurrencyLimit == 2 })
	second.query(msgs.KindSearch, testWait)
	second.eventually(func() bool { requests, _, _ := b.counts(); return requests == 5 })
	second.query(msgs.KindSearch, 100*time.Millisecond)
	require.Equal(t, msgs.StatusNotRun, second.answer().Status)
	b.release()
	require.Equal(t, msgs.StatusOK, second.answer().Status)
}

func TestSuccessorOfADeadOwnerWaitsForItsUnknownWork(t *testing.T) {
	b := startBackend(t)
	first := newFixture(t, b.address, sender.Options{})
	first.warmUp()
	handover := first.sender.Export("g")

	second := newFixture(t, b.address, sender.Options{LeaseGrace: time.Hour})
	second.sender.Import("g", handover, time.Now())
	require.Equal(t, handover, second.sender.Export("g"))
	second.sender.Refresh()
	require.Equal(t, 2, second.state().InUse)

	b.set(func(b *backend) { b.boot = "boot-2" })
	first.publish(func(v *view.View) { v.Holdings = nil })
	third := newFixture(t, b.address, sender.Options{LeaseGrace: time.Hour})
	third.sender.Import("g", first.sender.Export("g"), time.Now())
	third.sender.Refresh()
	require.Zero(t, third.state().InUse)
}

func TestDrainingServerGetsNoNewWorkAndComesBack(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{HealthInterval: time.Millisecond})
	f.warmUp()
	b.set(func(b *backend) { b.health = bknd.StateDraining })
	f.eventually(func() bool { return f.state().Draining })
	before, _, _ := b.counts()
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, msgs.StatusNotRun, f.answer().Status)
	requests, _, _ := b.counts()
	require.Equal(t, before, requests)
	b.set(func(b *backend) { b.health = "ok" })
	f.eventually(func() bool { return !f.state().Draining })
	f.query(msgs.KindSearch, testWait)
	require.Equal(t, msgs.StatusOK, f.answer().Status)
}

func TestVersionProbeIsAnsweredFromKnownMapsWithoutSending(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	f.warmUp()
	before, _, _ := b.counts()
	f.sender.HandleQuery(entry, msgs.Query{
		ID: 900, Kind: msgs.KindSearch, BudgetMicros: testWait.Microseconds(),
		Items: []msgs.Item{{Seq: 900, Server: "desk/a"}},
	})
	answer := f.answer()
	require.Equal(t, msgs.StatusWrongVersion, answer.Status)
	require.Equal(t, []msgs.Holding{{Version: 7, Shards: 1}}, answer.Maps)
	requests, _, _ := b.counts()
	require.Equal(t, before, requests)
}

func TestHealthCheckReadsNewVersionsOfAnIdleServer(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{HealthInterval: time.Millisecond})
	f.warmUp()
	b.set(func(b *backend) { b.maps, b.health = "8=0/1", "ok" })
	f.eventually(func() bool { return f.state().Maps == "8=0/1" })
}

func TestPausedGroupFinishesRunningWorkAndStartsNoNew(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	f.warmUp()
	before, _, _ := b.counts()
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == before+1 })
	require.False(t, f.sender.Pause("g", time.Now().Add(time.Hour)))
	f.query(msgs.KindSearch, testWait)
	b.release()
	require.Equal(t, msgs.StatusOK, f.answer().Status)
	f.eventually(func() bool { return f.sender.Pause("g", time.Now().Add(time.Hour)) })
	requests, _, _ := b.counts()
	require.Equal(t, before+1, requests)
	f.holding.Renew(time.Now().Add(-time.Second))
	require.Equal(t, msgs.StatusWrongOwner, f.answer().Status)
}

func TestWorkThatRunsWhenTheLeaseEndsIsAnswered(t *testing.T) {
	b := startBackend(t)
	b.set(func(b *backend) { b.hold = make(chan struct{}) })
	f := newFixture(t, b.address, sender.Options{})
	f.query(msgs.KindSearch, testWait)
	f.eventually(func() bool { requests, _, _ := b.counts(); return requests == 1 })
	f.query(msgs.KindSearch, testWait)
	f.holding.Renew(time.Now().Add(-time.Second))
	require.Equal(t, msgs.StatusWrongOwner, f.answer().Status)
	b.release()
	require.Equal(t, msgs.StatusOK, f.answer().Status)
}

func BenchmarkSearch(b *testing.B) {
	f := newFixture(b, startBackend(b).address, sender.Options{})
	f.warmUp()
	b.ReportAllocs()
	for b.Loop() {
		f.query(msgs.KindSearch, testWait)
		<-f.replies.answers
	}
}

// Guards against a planned stop that ends the process between the end of a sub-request and
// the sending of its answer.
func TestDrainWaitsUntilAnswersAreSent(t *testing.T) {
	b := startBackend(t)
	f := newFixture(t, b.address, sender.Options{})
	f.replies.hold = make(chan struct{})
	release := sync.OnceFunc(func() { close(f.replies.hold) })
	defer release()
	f.query(msgs.KindSearch, testWait)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.Error(t, f.sender.Drain(ctx))
	release()
	require.Equal(t, msgs.StatusOK, f.answer().Status)
	require.NoError(t, f.sender.Drain(t.Context()))
}
