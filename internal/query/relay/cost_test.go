package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// costlyCluster returns a cluster whose servers have answered lookups of two tenants, of which
// those of "heavy" take 4 times as long.
func costlyCluster(t *testing.T, slowdown int) *cluster {
	c := newCluster(t, 1, 10)
	for i := range 400 {
		took, tenant := 10*time.Millisecond, ident.TenantID("light")
		if i%4 == 0 {
			took, tenant = 40*time.Millisecond, "heavy"
		}
		request := requestTo(lookupRoute(true))
		request.Tenant = tenant
		q, sends := relay.New(c.env, request, after(100*i-40_000))
		sample := choose.Sample{Completed: true, ServiceTime: took, Slots: 2, Slowdown: slowdown}
		reply := relay.Reply{Kind: relay.Served, Sample: sample}
		q.HandleReply(after(100*i-40_000).Add(took), sends[0].Shard, sends[0].Attempt, reply)
	}
	return c
}

func hedgeDelay(c *cluster, tenant ident.TenantID) time.Duration {
	request := requestTo(lookupRoute(true))
	request.Tenant = tenant
	_, sends := relay.New(c.env, request, start)
	return sends[0].HedgeAfter
}

// Guards against hedges of requests that are long by nature: they spend the budget and load the
// servers, and the second attempt takes as long.
func TestHedgesOfCostlyRequestsAreLater(t *testing.T) {
	c := costlyCluster(t, 100)
	light, heavy := hedgeDelay(c, "light"), hedgeDelay(c, "heavy")
	require.Greater(t, heavy, light*3/2)
	require.LessOrEqual(t, heavy, 280*time.Millisecond, "0.7 of the goal")
	require.Equal(t, light, hedgeDelay(c, "new"), "a request of which nothing is known")
}

// Guards against other hedge delays than before where servers report three figures.
func TestHedgesAreAlikeWithoutTheFourthFigure(t *testing.T) {
	c := costlyCluster(t, 0)
	require.Equal(t, hedgeDelay(c, "light"), hedgeDelay(c, "heavy"))
}

// Guards against a shard that always takes longer than the others being hedged as overdue in
// each search once the others have answered.
func TestCostlyShardIsNotOverdue(t *testing.T) {
	hedgedAt := func(slowdown int) time.Time {
		c := newCluster(t, 4, 0)
		route := searchRoute(4, 0.5)
		var q *relay.Query
		for i := range 200 {
			at := after(200*i - 40_000)
			var sends []relay.Send
			q, sends = relay.New(c.env, requestTo(route), at)
			for _, s := range sends {
				took := 6 * time.Millisecond
				if s.Shard == 3 {
					took *= 3
				}
				sample := choose.Sample{Completed: true, ServiceTime: took, Slots: 2, Slowdown: slowdown}
				q.HandleReply(at.Add(took), s.Shard, s.Attempt, relay.Reply{Kind: relay.Served, Sample: sample})
			}
		}
		q, sends := relay.New(c.env, requestTo(route), start)
		for _, s := range sends[:3] {
			q.HandleReply(after(6), s.Shard, s.Attempt, relay.Reply{Kind: relay.Served, Sample: choose.Sample{Completed: true, ServiceTime: 6 * time.Millisecond, Slots: 2, Slowdown: slowdown}})
		}
		return q.Next()
	}
	require.Equal(t, after(12), hedgedAt(0), "1.5 times 6 ms, plus 3 ms")
	require.True(t, hedgedAt(100).After(after(18)), "the usual time of this shard")
}
