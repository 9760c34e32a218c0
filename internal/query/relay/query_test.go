package relay_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// world holds the backend servers of a test, two for each shard.
type world struct {
	replicas map[ident.ServiceID][]*roster.Replica
	env      *relay.Env
	// coldRate is what a cold server gets a second.
	coldRate float64
	// stay is the share of requests that stay in their zone.
	stay float64
}

func (w *world) Replicas(service ident.ServiceID) []*roster.Replica {
	return w.replicas[service]
}

func (w *world) StayShare(ident.ServiceID, ident.Zone) float64 { return w.stay }

// newWorld returns a world in which at most saved attempts are extra.
func newWorld(t *testing.T, services int, saved float64) *world {
	t.Helper()
	w := &world{coldRate: math.Inf(1), stay: 1, replicas: map[ident.ServiceID][]*roster.Replica{}}
	for i := range services {
		service := shardName(i)
		for _, copyName := range []string{"a", "b"} {
			w.replicas[service] = append(w.replicas[service], &roster.Replica{Server: roster.Server{
				ID: ident.ServerID(string(service) + copyName), Service: service, Slots: 2,
			}})
		}
	}
	newChoice, err := choose.Policies.Lookup("expect")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	now := start
	budget := newBudget(hedge.Options{Share: 1e-9, Slack: 2 * saved, Now: func() time.Time { return now }})
	now = start.Add(time.Hour)
	w.env = &relay.Env{
		Replicas: func() relay.Replicas { return w },
		Choose:   newChoice(choose.Options{}),
		Budget:   budget,
		Latency:  newBudget(hedge.Options{InitialDelay: 30 * time.Millisecond}),
		Health:   relay.NewHealth(),
		Notices:  notice.NewTracker(notice.Options{}),
		Cold:     relay.NewColdGate(func(*roster.Replica) float64 { return w.coldRate }, start.Add(-time.Hour)),
		Options:  relay.Options{Partial: true}.WithDefaults(),
	}
	return w
}

func shardName(i int) ident.ServiceID {
	return ident.ServiceID("shard" + string(rune('0'+i)))
}

func searchRoute(shards int, coverage float64) *routes.Route {
	r := &routes.Route{
		Name: "search", Idempotent: true, Attempts: 2, Timeout: time.Second,
		Goal: 100 * time.Millisecond, Coverage: coverage, Limit: 10,
	}
	for i := range shards {
		r.Shards = append(r.Shards, shardName(i))
	}
	return r
}

func lookupRoute(idempotent bool) *routes.Route {
	return &routes.Route{
		Name: "lookup", Idempotent: idempotent, Attempts: 2, Timeout: 2 * time.Second, Goal: 400 * time.Millisecond,
		Split: []routes.Share{{Service: shardName(0), Weight: 1}},
	}
}

func planOf(route *routes.Route) relay.Plan {
	plan := relay.Plan{Route: route, Arrived: start, Overhead: 12 * time.Millisecond, Deadline: start.Add(route.Timeout)}
	if !route.IsSearch() {
		plan.Service = route.Split[0].Service
	}
	return plan
}

func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

var served = relay.Reply{Kind: relay.Served, Sample: choose.Sample{Completed: true, Service: 10 * time.Millisecond}}

func outcome(t *testing.T, q *relay.Query) relay.Outcome {
	t.Helper()
	o, ok := q.Outcome()
	require.True(t, ok)
	return o
}

func TestSearchIsAnsweredOnceAllShardsAre(t *testing.T) {
	w := newWorld(t, 4, 0)
	q, sends := relay.New(w.env, planOf(searchRoute(4, 0.5)), start)
	require.Len(t, sends, 4)
	for i, s := range sends {
		_, open := q.Outcome()
		require.False(t, open)
		more, counts := q.Answer(after(10+i), s.Shard, s.Attempt, served)
		require.Empty(t, more)
		require.True(t, counts)
	}
	require.Equal(t, relay.Outcome{Verdict: relay.Success, Reason: "all shards decided"}, outcome(t, q))
}

func TestPartsOfOneShardCountOnce(t *testing.T) {
	w := newWorld(t, 2, 10)
	q, sends := relay.New(w.env, planOf(searchRoute(2, 1)), start)
	hedges := q.Tick(after(40))
	require.Len(t, hedges, 2)
	_, counts := q.Answer(after(41), sends[0].Shard, sends[0].Attempt, served)
	require.True(t, counts)
	_, counts = q.Answer(after(41), hedges[0].Shard, hedges[0].Attempt, served)
	require.False(t, counts, "the hedge of the same shard")
}

func TestHedgeGoesToTheOtherServerWithinTheBudget(t *testing.T) {
	w := newWorld(t, 3, 2)
	q, sends := relay.New(w.env, planOf(searchRoute(3, 1)), start)
	hedges := q.Tick(after(40))
	require.Len(t, hedges, 3, "one for each service, whose budgets are their own")
	for _, h := range hedges {
		require.NotEqual(t, sends[h.Shard].Replica.ID, h.Replica.ID)
	}
	require.Empty(t, q.Tick(after(90)), "no third server")
	for range 3 {
		q, _ = relay.New(w.env, planOf(searchRoute(3, 1)), start)
		require.Empty(t, q.Tick(after(40)), "the budget is spent")
	}
}

// What the budget denied is told with what decided, so that logs can explain it.
func TestDeniedAttemptsAreTold(t *testing.T) {
	w := newWorld(t, 1, 2)
	q, _ := relay.New(w.env, planOf(searchRoute(1, 1)), start)
	require.Len(t, q.Tick(after(40)), 1)
	require.Empty(t, q.Denied())
	q, sends := relay.New(w.env, planOf(searchRoute(1, 1)), start)
	require.Empty(t, q.Tick(after(40)), "hedges leave a part of the budget to retries")
	more, _ := q.Answer(after(50), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.Broken})
	require.Len(t, more, 1, "a retry may use it")
	denied := q.Denied()
	require.Len(t, denied, 1)
	require.Equal(t, hedge.Hedge, denied[0].Reason)
	require.Equal(t, shardName(0), denied[0].Service)
	require.InDelta(t, 1, denied[0].Spending.Balance, 0.01)
	require.Empty(t, q.Denied(), "once")
}

// A pause of one server in a search over many shards: the answer leaves at the
// goal with the parts that are in.
func TestPausedServerAtTheGoalLeavesItsShardOut(t *testing.T) {
	w := newWorld(t, 10, 0)
	q, sends := relay.New(w.env, planOf(searchRoute(10, 0.9)), start)
	for _, s := range sends[:9] {
		q.Answer(after(20), s.Shard, s.Attempt, served)
	}
	require.Empty(t, q.Tick(q.Next()), "no budget for a hedge")
	require.Equal(t, after(82), q.Next(), "the goal less the margin")
	q.Tick(after(82))
	require.Equal(t, 1, outcome(t, q).Missing)
}

func TestLateSearchIsAnsweredOnceItSuffices(t *testing.T) {
	w := newWorld(t, 10, 0)
	q, sends := relay.New(w.env, planOf(searchRoute(10, 0.9)), start)
	for _, s := range sends[:8] {
		q.Answer(after(20), s.Shard, s.Attempt, served)
	}
	q.Tick(after(90))
	_, ok := q.Outcome()
	require.False(t, ok, "eight of ten are too few")
	q.Answer(after(150), sends[8].Shard, sends[8].Attempt, served)
	require.Equal(t, relay.Success, outcome(t, q).Verdict)
}

func TestHopelessSearchEndsAtOnce(t *testing.T) {
	w := newWorld(t, 4, 0)
	w.replicas[shardName(1)], w.replicas[shardName(2)] = nil, nil
	q, sends := relay.New(w.env, planOf(searchRoute(4, 0.75)), start)
	require.Empty(t, sends, "nothing is sent for an answer that can't be given")
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.Positive(t, o.RetryAfter)
}

func TestShardWithoutServersIsNotWaitedFor(t *testing.T) {
	w := newWorld(t, 4, 0)
	w.replicas[shardName(1)] = nil
	q, sends := relay.New(w.env, planOf(searchRoute(4, 0.75)), start)
	for _, s := range sends {
		q.Answer(after(12), s.Shard, s.Attempt, served)
	}
	require.Equal(t, 1, outcome(t, q).Missing)
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	w := newWorld(t, 1, 100)
	q, sends := relay.New(w.env, planOf(lookupRoute(false)), start)
	require.Empty(t, q.Tick(after(500)), "no hedge")
	more, _ := q.Answer(after(510), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.Broken})
	require.Empty(t, more)
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

func TestRequestThatDidNotRunGoesToAnotherServer(t *testing.T) {
	for _, kind := range []relay.ReplyKind{relay.NotRun, relay.Unsent, relay.Unreachable} {
		w := newWorld(t, 1, 100)
		q, sends := relay.New(w.env, planOf(lookupRoute(false)), start)
		more, _ := q.Answer(after(5), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: kind})
		require.Len(t, more, 1)
		require.NotEqual(t, sends[0].Replica.ID, more[0].Replica.ID)
		q.Answer(after(90), more[0].Shard, more[0].Attempt, served)
		require.Equal(t, relay.Success, outcome(t, q).Verdict)
	}
}

func TestRefusalIsSaidOnlyIfNothingRan(t *testing.T) {
	w := newWorld(t, 1, 100)
	w.replicas[shardName(0)] = w.replicas[shardName(0)][:1]
	q, _ := relay.New(w.env, planOf(lookupRoute(false)), start)
	q.Tick(after(2000))
	require.Equal(t, relay.TimedOut, outcome(t, q).Verdict, "the server may run it")
	q, sends := relay.New(w.env, planOf(lookupRoute(false)), start)
	q.Answer(after(1990), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.NotRun})
	q.Tick(after(2000))
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
}

func TestRefusingServerIsAskedAgainAfterAPause(t *testing.T) {
	w := newWorld(t, 1, 100)
	w.replicas[shardName(0)] = w.replicas[shardName(0)][:1]
	q, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
	more, _ := q.Answer(after(5), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.NotRun})
	require.Empty(t, more)
	more = q.Tick(q.Next())
	require.Len(t, more, 1)
	require.Equal(t, sends[0].Replica.ID, more[0].Replica.ID)
}

func TestFailureOfAServerIsPassedOnIfNoOtherHelps(t *testing.T) {
	w := newWorld(t, 1, 100)
	q, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
	more, _ := q.Answer(after(5), 0, sends[0].Attempt, relay.Reply{Kind: relay.Faulty})
	require.Len(t, more, 1)
	q.Answer(after(9), 0, more[0].Attempt, relay.Reply{Kind: relay.Broken})
	require.Equal(t, relay.Outcome{Verdict: relay.Success, Attempt: 0, Reason: "backend server reports a failure"}, outcome(t, q))
}

func TestAttemptsThatMayRunStayWithinTheBoundOfTheRoute(t *testing.T) {
	w := newWorld(t, 1, 100)
	route := lookupRoute(true)
	route.Attempts = 1
	q, sends := relay.New(w.env, planOf(route), start)
	require.Empty(t, q.Tick(after(399)), "no hedge")
	more, _ := q.Answer(after(399), 0, sends[0].Attempt, relay.Reply{Kind: relay.Broken})
	require.Empty(t, more)
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

func TestColdServersAreTheLastChoice(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.replicas[shardName(0)][0].ColdUntil = after(1000)
	for range 20 {
		_, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
		require.Equal(t, w.replicas[shardName(0)][1].ID, sends[0].Replica.ID)
	}
}

func TestServersThatAreDownAreRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 100)
	for range 2 {
		q, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
		more, _ := q.Answer(after(1), 0, sends[0].Attempt, relay.Reply{Kind: relay.Unreachable})
		q.Answer(after(2), 0, more[0].Attempt, relay.Reply{Kind: relay.Unreachable})
	}
	q, sends := relay.New(w.env, planOf(lookupRoute(true)), after(10))
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	for _, id := range w.env.Health.Down() {
		w.env.Health.Heard(id)
	}
	_, sends = relay.New(w.env, planOf(lookupRoute(true)), after(20))
	require.Len(t, sends, 1)
}

func TestSilentServerCountsAsDownAndASlowOneDoesNot(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.replicas[shardName(0)] = w.replicas[shardName(0)][:1]
	abandonAfter := func(ms int) {
		q, sends := relay.New(w.env, planOf(lookupRoute(true)), start)
		q.Stop()
		q.Abandon(after(ms), 0, sends[0].Attempt, true)
	}
	for range 5 {
		abandonAfter(100)
	}
	require.Empty(t, w.env.Health.Down())
	abandonAfter(1000)
	abandonAfter(1000)
	require.Len(t, w.env.Health.Down(), 1)
}

func TestAttemptThatWasNeverSentMakesARefusal(t *testing.T) {
	for sent, verdict := range map[bool]relay.Verdict{true: relay.TimedOut, false: relay.Refused} {
		w := newWorld(t, 1, 0)
		q, _ := relay.New(w.env, planOf(lookupRoute(false)), start)
		q.Tick(after(2000))
		require.Equal(t, relay.TimedOut, outcome(t, q).Verdict)
		o := q.Withdraw(func(_, _ int) bool { return !sent })
		require.Equal(t, verdict, o.Verdict)
	}
}

// A pause of some servers in a search over many shards: once most shards have
// answered, the others are hedged long before the route's usual delay.
func TestPausedServersAreHedgedOnceMostShardsAnswered(t *testing.T) {
	w := newWorld(t, 8, 10)
	q, sends := relay.New(w.env, planOf(searchRoute(8, 1)), start)
	for _, s := range sends[:6] {
		q.Answer(after(6), s.Shard, s.Attempt, served)
	}
	require.Equal(t, after(12), q.Next(), "one and a half times 6 ms, and 3 ms")
	hedges := q.Tick(after(12))
	require.Len(t, hedges, 2)
	require.Equal(t, 6, hedges[0].Shard)
}

// Both servers of a shard return cold together: the shard gets what they bear,
// and searches go on without it meanwhile.
func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	w := newWorld(t, 2, 0)
	w.coldRate = 5
	for _, r := range w.replicas[shardName(1)] {
		r.ColdUntil = after(10_000)
	}
	sent := 0
	for ms := 0; ms < 900; ms += 10 {
		_, sends := relay.New(w.env, planOf(searchRoute(2, 0.5)), after(ms))
		sent += len(sends) - 1
	}
	require.Equal(t, 10, sent, "two servers, five a second each")
}

// Guards against a bound that a restart renews: the process before may have sent to
// the cold server a moment ago.
func TestColdServerGetsNothingAtOnceFromANewProcess(t *testing.T) {
	share := func(*roster.Replica) float64 { return 5 }
	cold := &roster.Replica{Server: roster.Server{ID: "i-1"}}
	gate := relay.NewColdGate(share, start)
	require.False(t, gate.May(after(199), cold))
	require.True(t, gate.May(after(200), cold))
	gate.Sent(after(200), cold.ID)
	gate.Retain(func(ident.ServerID) bool { return false })
	require.True(t, gate.May(after(201), cold), "another server by that name")
}

// Guards against a process that hedges nearly every request after its start, and so
// spends its retry budget, because it doesn't know yet how long answers take.
func TestNewProcessHedgesByTheGoal(t *testing.T) {
	w := newWorld(t, 1, 10)
	q, _ := relay.New(w.env, planOf(lookupRoute(true)), start)
	require.Equal(t, after(160), q.Next(), "0.4 of the goal of 400 ms")
	for range 100 {
		w.env.Latency.Observe("lookup", 70*time.Millisecond, 0, 0)
	}
	q, _ = relay.New(w.env, planOf(lookupRoute(true)), start)
	require.InDelta(t, 70, q.Next().Sub(start).Milliseconds(), 1)
}
