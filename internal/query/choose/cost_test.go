package choose_test

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/cost"
)

// newChoice returns a choice by a policy among three replicas of one of 135 shards, with one
// request in flight at each server.
func newChoice(tb testing.TB, name string, slowdown int) (choice func()) {
	tb.Helper()
	construct, err := choose.Policies.Lookup(name)
	require.NoError(tb, err)
	policy := construct(choose.Options{})
	byCost, _ := policy.(choose.CostPolicy)
	request := cost.NewRequest("search", "tenant", 1).WithShard("shard-1")
	candidates := []choose.Candidate{{Server: "shard-1-a"}, {Server: "shard-1-b"}, {Server: "shard-1-c"}}
	now := time.Unix(1000, 0)
	for _, c := range candidates {
		sample := choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 1, Slots: 2, Slowdown: slowdown}
		if byCost == nil {
			policy.Sent(now, c.Server)
			policy.Answered(now, c.Server, sample)
			policy.Sent(now, c.Server)
			continue
		}
		byCost.SentFor(now, request, c.Server)
		byCost.AnsweredFor(now, request, c.Server, now, sample)
		byCost.SentFor(now, request, c.Server)
	}
	now = now.Add(7 * time.Millisecond)
	if byCost == nil {
		return func() { policy.Choose(now, candidates) }
	}
	return func() { byCost.ChooseFor(now, request, candidates) }
}

func benchmarkChoice(b *testing.B, name string, slowdown int) {
	choice := newChoice(b, name, slowdown)
	b.ReportAllocs()
	for b.Loop() {
		choice()
	}
}

func BenchmarkChoiceByExpect(b *testing.B)            { benchmarkChoice(b, "expect", 0) }
func BenchmarkChoiceByCost(b *testing.B)              { benchmarkChoice(b, "cost", 140) }
func BenchmarkChoiceByCostWithoutFigure(b *testing.B) { benchmarkChoice(b, "cost", 0) }

// benchmarkRequest measures all that a policy does for one request: choice, record and answer.
func benchmarkRequest(b *testing.B, name string) {
	construct, err := choose.Policies.Lookup(name)
	require.NoError(b, err)
	policy, now := construct(choose.Options{}), time.Unix(1000, 0)
	byCost, _ := policy.(choose.CostPolicy)
	sample := choose.Sample{Completed: true, ServiceTime: 5 * time.Millisecond, Queued: 1, Slots: 2, Slowdown: 140}
	b.ReportAllocs()
	for b.Loop() {
		end := now.Add(5 * time.Millisecond)
		if byCost == nil {
			id := replicas[policy.Choose(now, replicas)].Server
			policy.Sent(now, id)
			policy.Answered(end, id, sample)
		} else {
			id := replicas[byCost.ChooseFor(now, request, replicas)].Server
			byCost.SentFor(now, request, id)
			byCost.AnsweredFor(end, request, id, now, sample)
		}
		now = end
	}
}

func BenchmarkRequestByExpect(b *testing.B) { benchmarkRequest(b, "expect") }
func BenchmarkRequestByCost(b *testing.B)   { benchmarkRequest(b, "cost") }

// Guards against garbage for each of the 135 choices of a search.
func TestChoiceByCostAllocatesNothing(t *testing.T) {
	require.Zero(t, testing.AllocsPerRun(100, newChoice(t, "cost", 140)))
}

// newCostPolicy returns the policy with a seeded random source, for which replicas have told slowdowns.
func newCostPolicy(t *testing.T, first, second int) (choose.CostPolicy, time.Time) {
	t.Helper()
	return withSlowdowns(newPolicy(t, "cost").(choose.CostPolicy), first, second)
}

// withSlowdowns lets each replica tell a slowdown, unless it is 0.
func withSlowdowns(policy choose.CostPolicy, first, second int) (choose.CostPolicy, time.Time) {
	now := time.Unix(1000, 0)
	for i, slowdown := range []int{first, second} {
		if slowdown > 0 {
			answer(policy, now, replicas[i].Server, choose.Sample{Completed: true, ServiceTime: 10 * time.Millisecond, Slots: 2, Slowdown: slowdown})
		}
	}
	return policy, now.Add(time.Millisecond)
}

var request = cost.NewRequest("find", "tenant", 1).WithShard("s")

func answer(policy choose.CostPolicy, now time.Time, server ident.ServerID, sample choose.Sample) {
	sentAt := now.Add(-sample.ServiceTime)
	policy.SentFor(sentAt, request, server)
	policy.AnsweredFor(now, request, server, sentAt, sample)
}

// count returns how many of 100 choices fall on the second replica.
func count(policy choose.CostPolicy, now time.Time, candidates []choose.Candidate) (second int) {
	for range 100 {
		second += policy.ChooseFor(now, request, candidates)
	}
	return second
}

// Guards against a choice that ignores the slowdown, the penalty of another zone, refusals, or
// a server that says nothing.
func TestCostWeighsWhatIsKnown(t *testing.T) {
	policy, now := newCostPolicy(t, 300, 60)
	require.Greater(t, count(policy, now, replicas), 95)
	penalized := []choose.Candidate{replicas[0], {Server: replicas[1].Server, Penalty: time.Second}}
	require.Zero(t, count(policy, now, penalized))

	policy.AnsweredFor(now, request, replicas[1].Server, now, choose.Sample{Refused: true, RetryAfter: 100 * time.Millisecond, Slots: 2, Slowdown: 60})
	require.Zero(t, count(policy, now, replicas))

	policy, now = newCostPolicy(t, 100, 100)
	policy.SentFor(now, request, replicas[1].Server)
	require.Zero(t, count(policy, now.Add(300*time.Millisecond), replicas), "the server is silent")

	policy, now = newCostPolicy(t, 290, 0)
	require.Greater(t, count(policy, now, replicas), 50, "a server that doesn't report counts as average")
}

// Guards against a server that told a slowdown once and is judged by it for ever: without new
// figures the choice returns to that of expect.
func TestCostReturnsToExpectOnceFiguresEnd(t *testing.T) {
	policy, now := newCostPolicy(t, 300, 60)
	require.True(t, len(policy.CostState(now).Servers) == 2)
	later := now.Add(time.Minute)
	policy.ChooseFor(later, request, replicas)
	state := policy.CostState(later)
	require.Empty(t, state.Servers)
	require.Equal(t, uint64(1), state.ByExpect)
	total, shard := policy.CostFactors(later, request, replicas[0].Server)
	require.Equal(t, []float64{1, 1}, []float64{total, shard})
}

// Guards against data races: requests of a VM use the policy at the same time. The policy has the
// random source of the product, since a seeded one is not safe for concurrent use.
func TestCostIsSafeForConcurrentUse(t *testing.T) {
	construct, err := choose.Policies.Lookup("cost")
	require.NoError(t, err)
	policy, now := withSlowdowns(construct(choose.Options{}).(choose.CostPolicy), 300, 60)
	var users conc.WaitGroup
	for range 4 {
		users.Go(func() {
			for i := range 200 {
				at := now.Add(time.Duration(i) * time.Millisecond)
				server := replicas[policy.ChooseFor(at, request, replicas)].Server
				policy.SentFor(at, request, server)
				policy.CostFactors(at, request, server)
				if i%10 == 0 {
					policy.AbandonedFor(at.Add(time.Millisecond), request, server, at)
					policy.Retain(func(id ident.ServerID) bool { return id != server })
					policy.CostState(at)
					continue
				}
				policy.AnsweredFor(at.Add(time.Millisecond), request, server, at, choose.Sample{Completed: true, ServiceTime: time.Millisecond, Slots: 2, Slowdown: 100})
			}
		})
	}
	users.Wait()
	require.NotEmpty(t, policy.CostState(now).Servers)
}

// Guards against a server under a reused name that is judged by the history of another one.
func TestCostForgetsRemovedServers(t *testing.T) {
	policy, now := newCostPolicy(t, 300, 60)
	policy.Retain(func(ident.ServerID) bool { return false })
	require.Empty(t, policy.CostState(now).Servers)
	policy.SentFor(now, request, replicas[0].Server)
	policy.AbandonedFor(now.Add(time.Millisecond), request, replicas[0].Server, now)
}
