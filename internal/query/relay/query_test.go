package relay_test

import (
	"fmt"
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

// cluster holds the backend servers of a test, two for each shard.
type cluster struct {
	replicas map[ident.ServiceID][]*roster.Replica
	env      *relay.Env
	// coldRate limits the requests per second to a cold server.
	coldRate float64
	// serving is the view of the fleet, whose first VM this one is.
	serving *roster.View
	// localShare is returned by LocalRequestShare.
	localShare float64
}

func (c *cluster) Replicas(service ident.ServiceID) []*roster.Replica {
	return c.replicas[service]
}

func (c *cluster) LocalRequestShare(ident.ServiceID, ident.Zone) float64 { return c.localShare }

// newCluster returns a cluster whose budget allows extraAttempts hedges and retries for
// each service.
func newCluster(t *testing.T, services int, extraAttempts float64) *cluster {
	t.Helper()
	c := &cluster{coldRate: math.Inf(1), serving: servingView(1), localShare: 1, replicas: map[ident.ServiceID][]*roster.Replica{}}
	for i := range services {
		service := shardName(i)
		for _, copyName := range []string{"a", "b"} {
			c.replicas[service] = append(c.replicas[service], &roster.Replica{Server: roster.Server{
				ID: ident.ServerID(string(service) + copyName), Service: service, Slots: 2,
			}})
		}
	}
	newChoice, err := choose.Policies.Lookup("cost")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	now := start
	budget := newBudget(hedge.Options{Share: 1e-9, Slack: 2 * extraAttempts, Now: func() time.Time { return now }})
	now = start.Add(time.Hour)
	c.env = &relay.Env{
		Replicas: func() relay.Replicas { return c },
		Choose:   newChoice(choose.Options{}),
		Budget:   budget,
		Latency:  newBudget(hedge.Options{InitialDelay: 30 * time.Millisecond}),
		Health:   relay.NewHealth(),
		Notices:  notice.NewTracker(notice.Options{}),
		Pace:     relay.NewPacer(c.pace, start.Add(-time.Hour)),
		Options:  relay.Options{Partial: true}.WithDefaults(),
	}
	return c
}

// pace divides the limit that a server names among the VMs of the view.
func (c *cluster) pace(now time.Time, r *roster.Replica) relay.Pace {
	if limit, limited := c.env.Notices.Limit(r.Process()); limited {
		rate, spread := roster.LimitedRate(c.serving, c.serving.Members[0].VM, float64(limit.Limit))
		return relay.Pace{Rate: rate, Since: limit.Since, Spread: spread}
	}
	if now.Before(r.ColdUntil) {
		return relay.Pace{Rate: c.coldRate}
	}
	return relay.Pace{Rate: math.Inf(1)}
}

// servingView returns a view with a number of VMs that serve callers.
func servingView(vms int) *roster.View {
	var members []roster.Member
	for i := range vms {
		members = append(members, roster.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Serving: true})
	}
	return roster.NewView(nil, nil, members, nil)
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
		Split: []routes.WeightedService{{Service: shardName(0), Weight: 1}},
	}
}

func requestTo(route *routes.Route) relay.RequestInfo {
	request := relay.RequestInfo{Route: route, Arrived: start, Overhead: 12 * time.Millisecond, Deadline: start.Add(route.Timeout)}
	if !route.IsSearch() {
		request.Service = route.Split[0].Service
	}
	return request
}

func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

var served = relay.Reply{Kind: relay.Served, Sample: choose.Sample{Completed: true, ServiceTime: 10 * time.Millisecond}}

func outcome(t *testing.T, q *relay.Query) relay.Outcome {
	t.Helper()
	o, ok := q.Outcome()
	require.True(t, ok)
	return o
}

func TestSearchIsAnsweredOnceAllShardsHaveAnswered(t *testing.T) {
	c := newCluster(t, 4, 0)
	q, sends := relay.New(c.env, requestTo(searchRoute(4, 0.5)), start)
	require.Len(t, sends, 4)
	for i, s := range sends {
		_, decided := q.Outcome()
		require.False(t, decided)
		more, counts := q.HandleReply(after(10+i), s.Shard, s.Attempt, served)
		require.Empty(t, more)
		require.True(t, counts)
	}
	require.Equal(t, relay.Outcome{Verdict: relay.Success, Reason: "all shards decided"}, outcome(t, q))
}

func TestPartsOfOneShardCountOnce(t *testing.T) {
	c := newCluster(t, 2, 10)
	q, sends := relay.New(c.env, requestTo(searchRoute(2, 1)), start)
	hedges := q.Tick(after(40))
	require.Len(t, hedges, 2)
	_, counts := q.HandleReply(after(41), sends[0].Shard, sends[0].Attempt, served)
	require.True(t, counts)
	_, counts = q.HandleReply(after(41), hedges[0].Shard, hedges[0].Attempt, served)
	require.False(t, counts, "the hedge of the same shard")
}

func TestHedgeGoesToTheOtherServerWithinTheBudget(t *testing.T) {
	c := newCluster(t, 3, 2)
	q, sends := relay.New(c.env, requestTo(searchRoute(3, 1)), start)
	hedges := q.Tick(after(40))
	require.Len(t, hedges, 3, "one for each service, as each has a budget of its own")
	for _, h := range hedges {
		require.NotEqual(t, sends[h.Shard].Replica.ID, h.Replica.ID)
	}
	require.Empty(t, q.Tick(after(90)), "no third server")
	for range 3 {
		q, _ = relay.New(c.env, requestTo(searchRoute(3, 1)), start)
		require.Empty(t, q.Tick(after(40)), "the budget is exhausted")
	}
}

// Denials carry the state of the budget, so that logs can explain them.
func TestDeniedReturnsEachDenialOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	q, _ := relay.New(c.env, requestTo(searchRoute(1, 1)), start)
	require.Len(t, q.Tick(after(40)), 1)
	require.Empty(t, q.Denied())
	q, sends := relay.New(c.env, requestTo(searchRoute(1, 1)), start)
	require.Empty(t, q.Tick(after(40)), "a share of the budget is reserved for retries")
	more, _ := q.HandleReply(after(50), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.Ambiguous})
	require.Len(t, more, 1, "a retry may use the reserved share")
	denied := q.Denied()
	require.Len(t, denied, 1)
	require.Equal(t, hedge.Hedge, denied[0].Reason)
	require.Equal(t, shardName(0), denied[0].Service)
	require.InDelta(t, 1, denied[0].BudgetState.Balance, 0.01)
	require.Empty(t, q.Denied(), "a denial is returned once")
}

// Guards against one paused server delaying a search over many shards: at the goal the
// search is answered without the shard of that server.
func TestSearchIsAnsweredAtTheGoalWithoutPausedServer(t *testing.T) {
	c := newCluster(t, 10, 0)
	q, sends := relay.New(c.env, requestTo(searchRoute(10, 0.9)), start)
	for _, s := range sends[:9] {
		q.HandleReply(after(20), s.Shard, s.Attempt, served)
	}
	require.Empty(t, q.Tick(q.Next()), "no budget for a hedge")
	require.Equal(t, after(82), q.Next(), "the goal less the margin")
	q.Tick(after(82))
	require.Equal(t, 1, outcome(t, q).Missing)
}

func TestSearchPastTheGoalIsAnsweredOnceCoverageSuffices(t *testing.T) {
	c := newCluster(t, 10, 0)
	q, sends := relay.New(c.env, requestTo(searchRoute(10, 0.9)), start)
	for _, s := range sends[:8] {
		q.HandleReply(after(20), s.Shard, s.Attempt, served)
	}
	q.Tick(after(90))
	_, ok := q.Outcome()
	require.False(t, ok, "eight of ten are too few")
	q.HandleReply(after(150), sends[8].Shard, sends[8].Attempt, served)
	require.Equal(t, relay.Success, outcome(t, q).Verdict)
}

func TestSearchIsRefusedAtOnceIfCoverageCannotBeReached(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.replicas[shardName(1)], c.replicas[shardName(2)] = nil, nil
	q, sends := relay.New(c.env, requestTo(searchRoute(4, 0.75)), start)
	require.Empty(t, sends, "no attempts if the search cannot succeed")
	o := outcome(t, q)
	require.Equal(t, relay.Refused, o.Verdict)
	require.Positive(t, o.RetryAfter)
}

func TestShardWithoutServersIsNotWaitedFor(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.replicas[shardName(1)] = nil
	q, sends := relay.New(c.env, requestTo(searchRoute(4, 0.75)), start)
	for _, s := range sends {
		q.HandleReply(after(12), s.Shard, s.Attempt, served)
	}
	require.Equal(t, 1, outcome(t, q).Missing)
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	c := newCluster(t, 1, 100)
	q, sends := relay.New(c.env, requestTo(lookupRoute(false)), start)
	require.Empty(t, q.Tick(after(500)), "no hedge")
	more, _ := q.HandleReply(after(510), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.Ambiguous})
	require.Empty(t, more)
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

func TestRequestThatDidNotRunGoesToAnotherServer(t *testing.T) {
	for _, kind := range []relay.ReplyKind{relay.NotRun, relay.Unsent, relay.Unreachable} {
		c := newCluster(t, 1, 100)
		q, sends := relay.New(c.env, requestTo(lookupRoute(false)), start)
		more, _ := q.HandleReply(after(5), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: kind})
		require.Len(t, more, 1)
		require.NotEqual(t, sends[0].Replica.ID, more[0].Replica.ID)
		q.HandleReply(after(90), more[0].Shard, more[0].Attempt, served)
		require.Equal(t, relay.Success, outcome(t, q).Verdict)
	}
}

func TestRefusalIsSaidOnlyIfNothingRan(t *testing.T) {
	c := newCluster(t, 1, 100)
	c.replicas[shardName(0)] = c.replicas[shardName(0)][:1]
	q, _ := relay.New(c.env, requestTo(lookupRoute(false)), start)
	q.Tick(after(2000))
	require.Equal(t, relay.TimedOut, outcome(t, q).Verdict, "the server may run it")
	q, sends := relay.New(c.env, requestTo(lookupRoute(false)), start)
	q.HandleReply(after(1990), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.NotRun})
	q.Tick(after(2000))
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
}

func TestRefusingServerIsTriedAgainAfterADelay(t *testing.T) {
	c := newCluster(t, 1, 100)
	c.replicas[shardName(0)] = c.replicas[shardName(0)][:1]
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
	more, _ := q.HandleReply(after(5), sends[0].Shard, sends[0].Attempt, relay.Reply{Kind: relay.NotRun})
	require.Empty(t, more)
	more = q.Tick(q.Next())
	require.Len(t, more, 1)
	require.Equal(t, sends[0].Replica.ID, more[0].Replica.ID)
}

func TestServerErrorIsPassedOnIfTheRetryFailsToo(t *testing.T) {
	c := newCluster(t, 1, 100)
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
	more, _ := q.HandleReply(after(5), 0, sends[0].Attempt, relay.Reply{Kind: relay.ServerError})
	require.Len(t, more, 1)
	q.HandleReply(after(9), 0, more[0].Attempt, relay.Reply{Kind: relay.Ambiguous})
	require.Equal(t, relay.Outcome{Verdict: relay.Success, Attempt: 0, Reason: "backend server reports a failure"}, outcome(t, q))
}

func TestAttemptsStayWithinTheLimitOfTheRoute(t *testing.T) {
	c := newCluster(t, 1, 100)
	route := lookupRoute(true)
	route.Attempts = 1
	q, sends := relay.New(c.env, requestTo(route), start)
	require.Empty(t, q.Tick(after(399)), "no hedge")
	more, _ := q.HandleReply(after(399), 0, sends[0].Attempt, relay.Reply{Kind: relay.Ambiguous})
	require.Empty(t, more)
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

func TestColdServersAreChosenLast(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.replicas[shardName(0)][0].ColdUntil = after(1000)
	for range 20 {
		_, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
		require.Equal(t, c.replicas[shardName(0)][1].ID, sends[0].Replica.ID)
	}
}

func TestRequestIsRefusedAtOnceIfAllServersAreDown(t *testing.T) {
	c := newCluster(t, 1, 100)
	for range 2 {
		q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
		more, _ := q.HandleReply(after(1), 0, sends[0].Attempt, relay.Reply{Kind: relay.Unreachable})
		q.HandleReply(after(2), 0, more[0].Attempt, relay.Reply{Kind: relay.Unreachable})
	}
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), after(10))
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	for _, id := range c.env.Health.Down() {
		c.env.Health.Responded(id)
	}
	_, sends = relay.New(c.env, requestTo(lookupRoute(true)), after(20))
	require.Len(t, sends, 1)
}

func TestSilentServerCountsAsDownAndASlowOneDoesNot(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.replicas[shardName(0)] = c.replicas[shardName(0)][:1]
	abandonAfter := func(ms int) {
		q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
		q.Stop()
		q.Abandon(after(ms), 0, sends[0].Attempt, true)
	}
	for range 5 {
		abandonAfter(100)
	}
	require.Empty(t, c.env.Health.Down())
	abandonAfter(1000)
	abandonAfter(1000)
	require.Len(t, c.env.Health.Down(), 1)
}

func TestTimedOutQueryIsRefusedIfNothingWasSent(t *testing.T) {
	for sent, verdict := range map[bool]relay.Verdict{true: relay.TimedOut, false: relay.Refused} {
		c := newCluster(t, 1, 0)
		q, _ := relay.New(c.env, requestTo(lookupRoute(false)), start)
		q.Tick(after(2000))
		require.Equal(t, relay.TimedOut, outcome(t, q).Verdict)
		o := q.CancelUnsent(func(_, _ int) bool { return !sent })
		require.Equal(t, verdict, o.Verdict)
	}
}

// Guards against some paused servers delaying a search over many shards: once a quorum
// of the shards has answered, the others are hedged before the hedge delay of the route.
func TestPausedServersAreHedgedOnceAQuorumAnswered(t *testing.T) {
	c := newCluster(t, 8, 10)
	q, sends := relay.New(c.env, requestTo(searchRoute(8, 1)), start)
	for _, s := range sends[:6] {
		q.HandleReply(after(6), s.Shard, s.Attempt, served)
	}
	require.Equal(t, after(12), q.Next(), "1.5 times 6 ms, plus 3 ms")
	hedges := q.Tick(after(12))
	require.Len(t, hedges, 2)
	require.Equal(t, 6, hedges[0].Shard)
}

// Both servers of a shard are in cold start at once: the shard gets no more requests than
// their rate limits allow, and other searches are answered without it.
func TestRateLimitOfColdServers(t *testing.T) {
	c := newCluster(t, 2, 0)
	c.coldRate = 5
	for _, r := range c.replicas[shardName(1)] {
		r.ColdUntil = after(10_000)
	}
	sent := 0
	for ms := 0; ms < 900; ms += 10 {
		_, sends := relay.New(c.env, requestTo(searchRoute(2, 0.5)), after(ms))
		sent += len(sends) - 1
	}
	require.Equal(t, 10, sent, "two servers, five requests per second each")
}

// Guards against a rate limit that starts anew with each process: the previous process
// may have sent a request to the cold server right before.
func TestPacerDeniesRequestsRightAfterProcessStart(t *testing.T) {
	pace := func(time.Time, *roster.Replica) relay.Pace { return relay.Pace{Rate: 5} }
	cold := &roster.Replica{Server: roster.Server{ID: "i-1"}}
	pacer := relay.NewPacer(pace, start)
	require.False(t, pacer.Take(after(199), cold))
	require.True(t, pacer.Take(after(200), cold))
	require.False(t, pacer.Take(after(200), cold))
	pacer.Retain(func(ident.ServerID) bool { return false })
	require.True(t, pacer.Take(after(201), cold), "another server with the same id")
}

// Guards against a new process that hedges nearly every request, and so exhausts its retry
// budget, because it has no estimate of the latency yet.
func TestHedgeDelayOfNewProcessIsAShareOfTheGoal(t *testing.T) {
	c := newCluster(t, 1, 10)
	q, _ := relay.New(c.env, requestTo(lookupRoute(true)), start)
	require.Equal(t, after(160), q.Next(), "0.4 of the goal of 400 ms")
	for range 100 {
		c.env.Latency.Observe("lookup", 70*time.Millisecond, 0, 0)
	}
	q, _ = relay.New(c.env, requestTo(lookupRoute(true)), start)
	require.InDelta(t, 70, q.Next().Sub(start).Milliseconds(), 1)
}
