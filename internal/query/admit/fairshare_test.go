package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
)

// steady is a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a rate that is multiplied for 6 s, from 4 s on.
func burst(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= burstBegin && at < burstEnd {
			return factor * rate
		}
		return rate
	}
}

const (
	burstBegin = 4 * time.Second
	burstEnd   = 10 * time.Second
)

var duringBurst = [2]time.Duration{burstBegin, burstEnd}

// zipf returns n sources whose rates are in proportion to 1/rank and add up to total.
func zipf(n int, total float64) []*source {
	norm := 0.0
	for i := range n {
		norm += 1 / float64(i+2)
	}
	sources := make([]*source, n)
	for i := range sources {
		rate := total / norm / float64(i+2)
		sources[i] = &source{tenant: ident.TenantID(fmt.Sprint("t", i)), weight: 1.6 * rate, rate: steady(rate), homes: 3}
	}
	return sources
}

// Bounds of the requirements, in shares: how much smaller the share of its requests that a kind
// is served may be than that of a less urgent one, or because of the load of others; how much
// smaller its share of the value; the least share relative to the mean; and the part of the goal
// within which a request has to be refused.
const (
	servedSlack    = 0.05
	valueSlack     = 0.15
	leastOfMean    = 0.25
	maxRefusalPart = 0.25
	// maxTwice is the share of the callers that come back as told who may be refused again by
	// admission.
	maxTwice = 0.05
)

// trial is a load on a fleet, whose sources fall into groups that are counted together.
type trial struct {
	vms    int
	silent bool
	// seed selects the seeds of the runs.
	seed    uint64
	measure [2]time.Duration
	// settle is the time before the load for which it is already sent.
	settle  time.Duration
	sources func() [][]*source
}

// withSeed returns the load with other seeds.
func (l trial) withSeed(seed uint64) trial {
	l.seed = seed
	return l
}

// run offers the load several times, and returns the counts of each group, and of each source by
// number. Callers come back to any of the VMs that they use.
func (l trial) run(t *testing.T, policy string) (groups []sourceStats, single []sourceStats) {
	t.Helper()
	groups, single = l.simulate(t, policy)
	for i, g := range groups {
		t.Logf("%d VMs, %s, seed %d, group %d: of %d served %.3f, at once %.3f, in the goal %.3f, value %.3f; of %d that came back as told %d were refused again, %d by full servers; slowest refusal %v",
			l.vms, policy, l.seed, i, g.sent, g.share(), g.firstShare(), float64(g.inGoal)/float64(g.sent), g.value(), g.returned, g.refusedTwice, g.metFull, g.slowestRefusal)
	}
	return groups, single
}

// simulate is run without a log.
func (l trial) simulate(t *testing.T, policy string) (groups []sourceStats, single []sourceStats) {
	t.Helper()
	const runs = 6
	for i := range uint64(runs) {
		f := newFleet(t, policy, l.vms, runs*l.seed+i, l.measure)
		f.now = -l.settle
		f.leave, f.silent = true, l.silent
		sources := l.sources()
		all := slices.Concat(sources...)
		f.run(l.measure[1]+2*time.Second, all)
		if groups == nil {
			groups, single = make([]sourceStats, len(sources)), make([]sourceStats, len(all))
		}
		for i, group := range sources {
			groups[i].add(sum(group))
		}
		for i, s := range all {
			single[i].add(s.stats)
		}
	}
	return groups, single
}

// requireFair checks what holds for each load: no source is served less than a quarter as often
// as all, and refusals are fast. Sources with few requests are left out, since chance rules them.
func requireFair(t *testing.T, single []sourceStats) {
	t.Helper()
	var all sourceStats
	for _, s := range single {
		all.add(s)
	}
	for i, s := range single {
		if s.sent >= 20 {
			require.GreaterOrEqual(t, s.share(), leastOfMean*all.share(), "source %d", i)
		}
	}
	require.LessOrEqual(t, all.slowestRefusal, time.Duration(maxRefusalPart*float64(fleetGoal)))
}

// tenantBurst is 86 tenants at 0.8 of the capacity, the largest of which sends an eighth of that and
// a multiple of it for 6 s.
func tenantBurst(vms int, factor float64) trial {
	return trial{vms: vms, measure: duringBurst, sources: func() [][]*source {
		sources := zipf(86, 0.8*fleetCapacity)
		sources[0].rate = burst(sources[0].rate(0), factor)
		return [][]*source{sources[:1], sources[1:]}
	}}
}

// Guards against a tenant at 7 times its rate that takes the capacity of others, on its own VMs or
// on all of them.
func TestTenantOverItsRateTakesNothingFromOthers(t *testing.T) {
	for _, vms := range []int{1, 9, 63} {
		_, _ = tenantBurst(vms, 7).run(t, "room")
		for seed := range uint64(4) {
			quiet, _ := tenantBurst(vms, 1).withSeed(seed).run(t, "fair")
			groups, single := tenantBurst(vms, 7).withSeed(seed).run(t, "fair")
			requireFair(t, single)
			require.GreaterOrEqual(t, groups[1].share(), quiet[1].share()-servedSlack, "%d VMs, seed %d", vms, seed)
		}
	}
}

// kindBurst is 86 tenants at 0.8 of the capacity, each with three kinds of requests in equal parts,
// one of which is sent a multiple as often for 6 s; refused callers come back once.
func kindBurst(vms int, factor float64) trial {
	return trial{vms: vms, settle: 20 * time.Second, measure: duringBurst, sources: func() [][]*source {
		groups := make([][]*source, 2)
		for _, tenant := range zipf(86, 0.8*fleetCapacity) {
			for i, kind := range []string{"surging", "steady", "other"} {
				s := *tenant
				s.kind, s.rate = kind, steady(tenant.rate(0)/3)
				if i == 0 {
					s.rate = burst(s.rate(0), factor)
				}
				groups[min(i, 1)] = append(groups[min(i, 1)], &s)
			}
		}
		return groups
	}}
}

// Guards against a burst of one kind at 2.4 times its rate that takes the capacity of the others, and
// callers that come back in vain.
func TestBurstOfOneKindTakesNothingFromOthers(t *testing.T) {
	for _, vms := range []int{1, 9, 63} {
		quiet, _ := kindBurst(vms, 1).run(t, "fair")
		baseline, _ := kindBurst(vms, 2.4).run(t, "room")
		groups, _ := kindBurst(vms, 2.4).run(t, "fair")
		requireFair(t, groups)
		if vms < 63 {
			require.GreaterOrEqual(t, groups[1].share(), quiet[1].share()-servedSlack, "%d VMs", vms)
		} else {
			// Each of 63 VMs sees less than one request a second of a kind, too few to tell a
			// burst for sure.
			require.GreaterOrEqual(t, groups[1].share(), baseline[1].share()-servedSlack)
		}
		require.GreaterOrEqual(t, groups[1].share(), groups[0].share()-servedSlack)
		all := groups[0]
		all.add(groups[1])
		require.LessOrEqual(t, float64(all.refusedTwice)/float64(all.returned), maxTwice)
	}
}

// twoRanks is two kinds of requests of different rank, each half of 1.5 times the capacity.
func twoRanks(vms int) trial {
	return trial{vms: vms, measure: [2]time.Duration{2 * time.Second, 10 * time.Second}, sources: func() [][]*source {
		rate := steady(1.5 / 2 * fleetCapacity)
		return [][]*source{{{tenant: "a", weight: 1, class: 1, rate: rate}}, {{tenant: "b", weight: 1, class: 2, rate: rate}}}
	}}
}

// Guards against an order that rank doesn't decide, and one that starves.
func TestRankDecidesUnderOverload(t *testing.T) {
	for _, vms := range []int{1, 9, 63} {
		load := twoRanks(vms)
		baseline, _ := load.run(t, "room")
		groups, single := load.run(t, "fair")
		requireFair(t, single)
		urgent, other := groups[0], groups[1]
		require.GreaterOrEqual(t, urgent.share(), other.share()-servedSlack)
		require.GreaterOrEqual(t, urgent.value(), other.value()-valueSlack)
		require.GreaterOrEqual(t, (urgent.credit+other.credit)/float64(urgent.sent+other.sent),
			(baseline[0].credit+baseline[1].credit)/float64(baseline[0].sent+baseline[1].sent), "the order costs value")
	}
}

// smallBesideLarge is 400 small tenants that together send 0.4 of the capacity beside one that sends
// 1.2, all with the same weight.
func smallBesideLarge(vms int) trial {
	return trial{vms: vms, measure: [2]time.Duration{2 * time.Second, 10 * time.Second}, sources: func() [][]*source {
		large := &source{tenant: "large", weight: 1, rate: steady(1.2 * fleetCapacity)}
		var small []*source
		for i := range 400 {
			small = append(small, &source{tenant: ident.TenantID(fmt.Sprint("t", i)), weight: 1, rate: steady(0.001 * fleetCapacity), homes: 1})
		}
		return [][]*source{{large}, small}
	}}
}

// Guards against small tenants that are served by the luck of large ones, and against a large one
// that gets nothing.
func TestSmallTenantsBesideALargeOne(t *testing.T) {
	for _, vms := range []int{1, 9, 63} {
		load := smallBesideLarge(vms)
		_, _ = load.run(t, "room")
		groups, _ := load.run(t, "fair")
		requireFair(t, groups)
		require.GreaterOrEqual(t, groups[1].share(), groups[0].share()-servedSlack, "%d VMs", vms)
		if vms < 63 {
			// The small tenants ask for less than their part. Each of 63 VMs sees too little of
			// the large one to refuse enough of it.
			require.GreaterOrEqual(t, groups[1].share(), 1-servedSlack, "%d VMs", vms)
		}
	}
}

// Guards against a change for deployments without tenants: requests under their configuration
// get the decisions of "room".
func TestWithoutTenantsFairIsRoom(t *testing.T) {
	for _, vms := range []int{1, 9} {
		load := trial{vms: vms, silent: true, measure: duringBurst, sources: func() [][]*source {
			rate := steady(1.5 / 2 * fleetCapacity)
			return [][]*source{{{plain: true, class: 1, rate: rate}}, {{plain: true, class: 2, rate: rate}}}
		}}
		room, _ := load.run(t, "room")
		fair, _ := load.run(t, "fair")
		for i := range room {
			// Both draw at random.
			require.InDelta(t, room[i].share(), fair[i].share(), servedSlack)
			require.InDelta(t, room[i].value(), fair[i].value(), servedSlack)
		}
	}
}

// halfWithoutTenant is 1.5 times the capacity, half of it from 43 tenants and half without a tenant, in
// one class; the largest tenant sends a tenth of all.
func halfWithoutTenant(vms int) trial {
	return trial{vms: vms, measure: [2]time.Duration{2 * time.Second, 10 * time.Second}, sources: func() [][]*source {
		return [][]*source{{{rate: steady(0.75 * fleetCapacity)}}, zipf(43, 0.75*fleetCapacity)}
	}}
}

// Guards against requests without a tenant that count as one small tenant beside others.
func TestRequestsWithoutATenantAreServedAsByRoom(t *testing.T) {
	for _, vms := range []int{1, 9} {
		load := halfWithoutTenant(vms)
		room, _ := load.run(t, "room")
		fair, _ := load.run(t, "fair")
		require.GreaterOrEqual(t, fair[0].share(), room[0].share()-servedSlack)
		require.GreaterOrEqual(t, fair[0].value(), room[0].value()-servedSlack)
	}
}

// Guards against simulated runs that can't be repeated: a policy that draws from another source, or
// whose decisions depend on the order of a map.
func TestSimulatedRunsRepeatExactly(t *testing.T) {
	for _, policy := range []string{"room", "fair"} {
		for _, load := range []trial{tenantBurst(9, 7), kindBurst(9, 2.4)} {
			groups, single := load.run(t, policy)
			again, singleAgain := load.run(t, policy)
			require.Equal(t, groups, again)
			require.Equal(t, single, singleAgain)
		}
	}
}

// newFair returns the policy "fair".
func newFair(t testing.TB) admit.QueuingPolicy {
	t.Helper()
	construct, err := admit.Policies.Lookup("fair")
	require.NoError(t, err)
	return construct(admit.Options{Source: rand.NewPCG(1, 1)}).(admit.QueuingPolicy)
}

func tenantRequest(now time.Time, tenant string) admit.Request {
	return admit.Request{Service: "s", ByTenant: true, Tenant: ident.TenantID(tenant), Weight: 1, Deadline: now.Add(200 * time.Millisecond)}
}

// Guards against memory that grows with the number of tenants ever seen.
func TestTenantsAreBoundedAndForgotten(t *testing.T) {
	queue, now := newFair(t), time.Unix(1000, 0)
	serve := func(tenant string) {
		now = now.Add(10 * time.Microsecond)
		r := tenantRequest(now, tenant)
		require.True(t, queue.Admit(now, r).Admitted)
		queue.Done(now, r, admit.Outcome{Took: time.Millisecond})
	}
	tenants := func() int { return queue.State()["s"].Classes[0].Tenants }
	for i := range 12_000 {
		serve(fmt.Sprint("t", i))
	}
	require.LessOrEqual(t, tenants(), 10_001)
	now = now.Add(time.Minute)
	serve("t1")
	require.Equal(t, 1, tenants())
	// Tenants of a class that gets no requests any more must not use up the bound.
	for i := range 12_000 {
		serve(fmt.Sprint("t", i))
	}
	now = now.Add(time.Minute)
	r := tenantRequest(now, "moved")
	r.Class = 1
	require.True(t, queue.Admit(now, r).Admitted)
	queue.Done(now, r, admit.Outcome{})
	require.Equal(t, 0, tenants())
	require.Equal(t, ident.TenantID("moved"), queue.State()["s"].Classes[1].Heaviest[0].Tenant)
	queue.Retain(func(ident.ServiceID) bool { return false })
	require.Empty(t, queue.State())
}

// Guards against requests that wait, or run, although their goal has passed: all of a service's
// requests take 150 ms, and one has 100 ms left.
func TestRequestThatCertainlyEndsLateIsRefusedAtOnce(t *testing.T) {
	queue, now := newFair(t), time.Unix(1000, 0)
	for range 20 {
		r := tenantRequest(now, "t")
		require.True(t, queue.Admit(now, r).Admitted)
		now = now.Add(150 * time.Millisecond)
		queue.Done(now, r, admit.Outcome{Took: 150 * time.Millisecond})
	}
	// Requests have to wait, so that capacity is short.
	for queue.Admit(now, tenantRequest(now, "t")).Waiter == nil {
		continue
	}
	r := tenantRequest(now, "t")
	r.Deadline = now.Add(100 * time.Millisecond)
	decision := queue.Admit(now, r)
	require.False(t, decision.Admitted)
	require.Nil(t, decision.Waiter)
	require.Equal(t, "the goal can't be met", decision.Reason)
	// Refusals prevent measurements, and must end by themselves.
	now = now.Add(3 * time.Second)
	require.False(t, queue.Admit(now, tenantRequest(now, "t")).Admitted, "capacity is still short")
	r.Deadline = now.Add(100 * time.Millisecond)
	require.NotEqual(t, "the goal can't be met", queue.Admit(now, r).Reason)
}

// Guards against a limit that falls far below what a VM needs because few requests happened to run
// when full servers refused one: the VM runs four requests on average, and one at that time.
func TestLimitIsNotCutFarBelowTheMeanLoad(t *testing.T) {
	queue, now := newFair(t), time.Unix(1000, 0)
	const took = 100 * time.Millisecond
	var running []admit.Request
	end := func(overloaded bool) {
		queue.Done(now, running[0], admit.Outcome{Took: took, Overloaded: overloaded})
		running = running[1:]
	}
	for range 200 {
		now = now.Add(took / 4)
		if len(running) == 4 {
			end(false)
		}
		running = append(running, tenantRequest(now, "t"))
		require.True(t, queue.Admit(now, running[len(running)-1]).Admitted)
	}
	// Capacity is short: a request has to wait.
	for {
		r := tenantRequest(now, "t")
		if waiter := queue.Admit(now, r).Waiter; waiter != nil {
			require.False(t, queue.EndWait(waiter))
			break
		}
		running = append(running, r)
	}
	now = now.Add(took)
	for len(running) > 1 {
		end(false)
	}
	end(true)
	require.GreaterOrEqual(t, queue.State()["s"].Bound, 2.0)
}

// Guards against light tenants whose callers get no time at which they are served, since full
// servers refused several requests at once, and against as many promises as there are callers.
func TestCallersRefusedTogetherArePromisedRoom(t *testing.T) {
	queue, now := newFair(t), time.Unix(1000, 0)
	request := func(i int) admit.Request {
		r := tenantRequest(now, fmt.Sprint("t", i))
		r.Wait, r.Timeout = 600*time.Millisecond, 600*time.Millisecond
		return r
	}
	refuse := func(tenants int) (promised int) {
		for i := range tenants {
			// Callers without a promise are told a time beyond a third of what they wait.
			if queue.RetryAfter(now, request(i)) <= request(i).Wait/3 {
				promised++
			}
		}
		return promised
	}
	for i := range 40 {
		r := request(i)
		require.True(t, queue.Admit(now, r).Admitted)
		now = now.Add(50 * time.Millisecond)
		queue.Done(now, r, admit.Outcome{Took: 50 * time.Millisecond})
	}
	require.Equal(t, 5, refuse(5))
	require.LessOrEqual(t, refuse(40), 5)
}

// Guards against a decision whose cost grows with the number of tenants.
func BenchmarkFairAdmit(b *testing.B) {
	for _, tenants := range []int{1, 86, 10_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			queue, now := newFair(b), time.Unix(1000, 0)
			requests := make([]admit.Request, tenants)
			for i := range requests {
				requests[i] = tenantRequest(now, fmt.Sprint("t", i))
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				r := requests[i%tenants]
				r.Deadline = now.Add(200 * time.Millisecond)
				if queue.Admit(now, r).Admitted {
					queue.Done(now, r, admit.Outcome{Took: time.Millisecond})
				}
			}
		})
	}
}
