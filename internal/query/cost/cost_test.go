package cost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// Guards against costs that are not told apart by tenant, kind and shard, and against an
// unknown request that doesn't get its route's.
func TestModelLearnsByRouteTenantKindAndShard(t *testing.T) {
	m, random, now := NewModel(), rand.New(rand.NewPCG(1, 2)), start
	actual := func(tenant ident.TenantID, kind uint64, shard ident.ServiceID) (Request, time.Duration) {
		work := 10 * ms
		if tenant == "heavy" {
			work *= 3
		}
		if kind == 7 {
			work *= 2
		}
		if shard == "s2" {
			work = work * 3 / 2
		}
		return NewRequest("find", tenant, kind).WithShard(shard), work
	}
	tenants, shards := []ident.TenantID{"light", "light2", "light3", "heavy"}, []ident.ServiceID{"s0", "s1", "s2"}
	for range 4000 {
		now = now.Add(5 * ms)
		r, work := actual(tenants[random.IntN(4)], uint64(random.IntN(2)*7), shards[random.IntN(3)])
		m.Observe(now, r, time.Duration(float64(work)*(0.7+0.6*random.Float64())), 1)
	}
	for _, tenant := range tenants {
		for _, kind := range []uint64{0, 7} {
			for _, shard := range shards {
				r, work := actual(tenant, kind, shard)
				require.InEpsilon(t, work, m.Estimate(now, r).Work, 0.35, "%s %d %s", tenant, kind, shard)
			}
		}
	}
	unknown := m.Estimate(now, NewRequest("find", "new", 9).WithShard("new"))
	require.InDelta(t, 1, unknown.Factor, 1e-9)
	require.InEpsilon(t, 26*ms, unknown.Work, 0.35, "the mean of the route")
	require.Equal(t, unknown.Work.Round(ms), m.Estimate(now, NewRequest("other", "", 0)).Work.Round(ms), "unknown routes get the mean of all")

	heavy, _ := actual("heavy", 0, "s0")
	require.Greater(t, m.Estimate(now, heavy).Factor, 1.2)
	require.Less(t, m.Estimate(now.Add(time.Hour), heavy).Factor, m.Estimate(now, heavy).Factor, "old factors return to the route's")
}

// Guards against estimates that follow one extreme sample or become infinite.
func TestModelBoundsSamples(t *testing.T) {
	m, r := NewModel(), NewRequest("find", "a", 1).WithShard("s")
	for range 100 {
		m.Observe(start, r, 10*ms, 1)
	}
	m.Observe(start, r, time.Hour, 1)
	require.Less(t, m.Estimate(start, r).Work, 30*ms)
	m.Observe(start, r, 0, 1)
	m.Observe(start, r, -time.Second, 1)
	m.Observe(start, r, time.Second, 0)
	require.Positive(t, m.Estimate(start, r).Work)
}

// Guards against memory that grows with the number of tenants and routes, and against a
// frequent tenant that loses its data to rare ones.
func TestModelIsBounded(t *testing.T) {
	m, now := NewModel(), start
	frequent := NewRequest("find", "frequent", 0)
	for i := range 5000 {
		now = now.Add(ms)
		m.Observe(now, NewRequest(fmt.Sprint("route-", i%4500), "", 0), 10*ms, 1)
		m.Observe(now, NewRequest("find", ident.TenantID(fmt.Sprint("tenant-", i)), 0), 10*ms, 1)
		m.Observe(now, frequent, 40*ms, 1)
	}
	require.LessOrEqual(t, len(m.routes), maxRoutes)
	require.Len(t, m.factors, factorCells)
	require.Greater(t, m.Estimate(now, frequent).Factor, 1.3)
}

// Guards against a remaining time that ignores how long a request has run: with a heavy tail,
// one that has run for longer than most has most of its work left.
func TestRemainingWorkGrowsWithAgeIfTheTailIsHeavy(t *testing.T) {
	m, r, random := NewModel(), NewRequest("find", "", 0), rand.New(rand.NewPCG(3, 4))
	for range 5000 {
		work := float64(10*ms) * (0.7 + 0.6*random.Float64())
		if random.Float64() < 0.01 {
			work *= 5
		}
		m.Observe(start, r, time.Duration(work), 1)
	}
	e := m.Estimate(start, r)
	require.InEpsilon(t, 10*ms, e.remaining(0), 0.2)
	require.Less(t, e.remaining(8*ms), 6*ms)
	require.Greater(t, e.remaining(20*ms), 15*ms)
	require.Greater(t, e.remaining(time.Second), 500*ms, "a request that nothing explains never seems to be done")
}

// Guards against figures that are trusted for longer, or shorter, than they stay true: the
// slowdown of a server is redrawn every hold.
func TestFiguresFadeAsFastAsTheyChange(t *testing.T) {
	for _, hold := range []time.Duration{20 * ms, 1000 * ms} {
		random := rand.New(rand.NewPCG(5, 6))
		f, now, values := newFade(0.1, 0), start, map[int]float64{}
		servers := make([]figure, 8)
		changed := map[int]time.Time{}
		for range 20_000 {
			now = now.Add(5 * ms)
			i := random.IntN(len(servers))
			if now.Sub(changed[i]) >= hold {
				values[i], changed[i] = 0.5+2.5*random.Float64(), now
			}
			servers[i].report(&f, now, values[i])
		}
		var g figure
		g.report(&f, now, 3)
		soon, _ := g.expect(&f, now.Add(ms))
		later, variance := g.expect(&f, now.Add(100*ms))
		require.Greater(t, soon, 2.3, hold)
		require.InDelta(t, 1.75, f.mean, 0.4, hold)
		if hold == 20*ms {
			require.InDelta(t, f.mean, later, 0.35, hold)
			require.InEpsilon(t, f.variance, variance, 0.3, hold)
		} else {
			require.Greater(t, later, 2.2, hold)
		}
	}
}

// Guards against estimates that become undefined or impossible if a figure never changes, or if
// the mean of all servers moves away from that of one.
func TestFiguresStayFinite(t *testing.T) {
	f, now := newFade(0.1, minSlowdown), start
	var constant, other figure
	for range 400_000 {
		now = now.Add(ms)
		constant.report(&f, now, 1)
	}
	value, variance := constant.expect(&f, now.Add(ms))
	require.InDelta(t, 1, value, 1e-6)
	require.InDelta(t, 0, variance, 1e-6)
	constant.report(&f, now.Add(ms), minSlowdown)
	for i := range 1000 {
		other.report(&f, now.Add(time.Duration(i)*ms), float64(i%2)*maxSlowdown)
	}
	value, variance = constant.expect(&f, now.Add(time.Second))
	require.True(t, value >= minSlowdown && value < maxSlowdown && variance >= 0, "%v %v", value, variance)
}

// newServer returns a server with a report, and the model of a route of 10 ms.
func newServer(report Report) (*Server, *Fleet, *Model, Request) {
	s, f, m, r := &Server{}, NewFleet(), NewModel(), NewRequest("find", "", 0)
	for range 100 {
		m.Observe(start, r, 10*ms, 1)
	}
	s.Report(f, start, report)
	return s, f, m, r
}

// Guards against expected times that miss the slowdown, the queue, own requests in flight,
// how far these are, or the silence of the server.
func TestOutlook(t *testing.T) {
	now := start.Add(ms)
	outlook := func(report Report, prepare func(*Server, Request)) Outlook {
		s, f, m, r := newServer(report)
		prepare(s, r)
		e := m.Estimate(now, r)
		return s.Outlook(f, m, now, &e)
	}
	nothing := func(*Server, Request) {}
	idle := outlook(Report{Slots: 2, Slowdown: 100}, nothing)
	require.InDelta(t, 10*ms, idle.Completion, float64(4*ms))
	require.Greater(t, outlook(Report{Slots: 2, Slowdown: 300}, nothing).Completion, 2*idle.Completion)
	queued := outlook(Report{Queued: 8, Slots: 2, Slowdown: 100}, nothing)
	require.Greater(t, queued.Completion, 3*idle.Completion)
	require.Less(t, outlook(Report{Queued: 8, Slots: 8, Slowdown: 100}, nothing).Completion, queued.Completion)

	sent := func(at time.Time, count int) func(*Server, Request) {
		return func(s *Server, r Request) {
			for range count {
				s.Sent(at, r, Outlook{})
			}
		}
	}
	fresh, old := outlook(Report{Slots: 2, Slowdown: 100}, sent(now, 4)), outlook(Report{Slots: 2, Slowdown: 100}, sent(now.Add(-7*ms), 4))
	require.Greater(t, fresh.Completion, 2*idle.Completion)
	require.Less(t, old.Wait, fresh.Wait)
	silent := outlook(Report{Slots: 2, Slowdown: 100}, sent(now.Add(-500*ms), 1))
	require.Greater(t, silent.Completion, 400*ms)
	aged := outlook(Report{Queued: 8, Slots: 2, Slowdown: 300, Age: 400 * ms}, nothing)
	require.Less(t, aged.Completion, outlook(Report{Queued: 8, Slots: 2, Slowdown: 300}, nothing).Completion)
}

// Guards against requests that stay in flight after their end, and against another one with
// the same start being removed instead.
func TestEndedRequestsAreRemoved(t *testing.T) {
	s, _, _, _ := newServer(Report{Slots: 2, Slowdown: 100})
	a, b := NewRequest("find", "a", 0), NewRequest("find", "b", 0)
	s.Sent(start, a, Outlook{Wait: 3 * ms})
	s.Sent(start, b, Outlook{Wait: 5 * ms})
	require.Zero(t, s.Ended(a, start.Add(ms)), "another time")
	require.Equal(t, 5*ms, s.Ended(b, start).Wait)
	require.Zero(t, s.Ended(b, start))
	require.Equal(t, 3*ms, s.Ended(a, start).Wait)
	require.Empty(t, s.own)
	for range 10 * maxOwn {
		s.Sent(start, a, Outlook{})
	}
	require.Len(t, s.own, maxOwn)
}

// Guards against a cost that contains the slowdown of the machine or the wait for a slot.
func TestWorkIsFreeOfSlowdownAndWait(t *testing.T) {
	s, f, _, _ := newServer(Report{Slots: 2, Slowdown: 250})
	work, weight := s.Work(f, start, 60*ms, 10*ms)
	require.InEpsilon(t, 20*ms, work, 0.35)
	require.InDelta(t, 5.0/6, weight, 1e-9)
}

// Guards against a server that is judged by a figure that it no longer tells.
func TestServerThatStopsToReportCountsAsOneThatDoesNot(t *testing.T) {
	s, f, _, _ := newServer(Report{Slots: 2, Slowdown: 250})
	require.True(t, s.Reports(start.Add(reportLifetime/2)))
	s.Report(f, start.Add(reportLifetime/2), Report{Slots: 2})
	require.False(t, s.Reports(start.Add(reportLifetime)))
}
