package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// newTwoZoneCluster returns a cluster with one replica of each shard in vantaa and one in
// espoo, as seen by a VM in vantaa.
func newTwoZoneCluster(t *testing.T, services int) *cluster {
	t.Helper()
	c := newCluster(t, services, 100)
	c.env.Zone, c.env.Options.CrossZonePenalty = "vantaa", 0.2
	for i := range services {
		for j, zone := range []ident.Zone{"vantaa", "espoo"} {
			c.replicas[shardName(i)][j].Zone = zone
		}
	}
	return c
}

// crossZoneLatency is the time in which servers in other zones answer.
const crossZoneLatency = 8 * time.Millisecond

// crossZoneAttempts returns how many of the first attempts of 50 searches over 6 shards go to
// other zones. Servers in the VM's zone answer after localLatency, others after
// crossZoneLatency.
func (c *cluster) crossZoneAttempts(localLatency time.Duration) int {
	crossZoneAttempts, now := 0, start
	for range 50 {
		request := requestTo(searchRoute(6, 0.5))
		request.Arrived, request.Deadline = now, now.Add(time.Second)
		q, sends := relay.New(c.env, request, now)
		for _, s := range sends {
			if s.CrossZone {
				crossZoneAttempts++
			}
		}
		c.answer(q, now, sends, localLatency)
		now = now.Add(time.Second)
	}
	return crossZoneAttempts
}

// answer answers the attempts of a query in the order of time, and those that the query
// adds when a timer fires.
func (c *cluster) answer(q *relay.Query, sentAt time.Time, sends []relay.Send, localLatency time.Duration) {
	type scheduledAnswer struct {
		relay.Send
		sentAt, at time.Time
	}
	var pending []scheduledAnswer
	add := func(now time.Time, sends []relay.Send) {
		for _, s := range sends {
			latency := localLatency
			if s.CrossZone {
				latency = crossZoneLatency
			}
			pending = append(pending, scheduledAnswer{Send: s, sentAt: now, at: now.Add(latency)})
		}
	}
	add(sentAt, sends)
	for len(pending) > 0 {
		slices.SortStableFunc(pending, func(a, b scheduledAnswer) int { return a.at.Compare(b.at) })
		if _, done := q.Outcome(); !done && q.Next().Before(pending[0].at) {
			now := q.Next()
			add(now, q.Tick(now))
			continue
		}
		next := pending[0]
		pending = pending[1:]
		sample := choose.Sample{Completed: true, ServiceTime: next.at.Sub(next.sentAt), Slots: 2}
		more, _ := q.HandleReply(next.at, next.Shard, next.Attempt, relay.Reply{Kind: relay.Served, Sample: sample})
		add(next.at, more)
	}
}

func TestSearchStaysInItsZone(t *testing.T) {
	c := newTwoZoneCluster(t, 6)
	require.Zero(t, c.crossZoneAttempts(12*time.Millisecond))
}

func TestSearchPrefersOtherZoneIfLocalServersAreSlow(t *testing.T) {
	c := newTwoZoneCluster(t, 6)
	require.Greater(t, c.crossZoneAttempts(90*time.Millisecond), 50*6/2)
}

func TestSearchCrossesZonesWithoutLocalReplicas(t *testing.T) {
	c := newTwoZoneCluster(t, 6)
	c.env.Zone = "lahti"
	require.Equal(t, 50*6, c.crossZoneAttempts(crossZoneLatency))
}

// If the servers of a zone can handle only half of the requests of its callers, the other
// half goes to servers of any zone.
func TestSearchCrossesZonesIfLocalServersAreOverloaded(t *testing.T) {
	c := newTwoZoneCluster(t, 6)
	c.localShare = 0.5
	crossZoneAttempts := c.crossZoneAttempts(crossZoneLatency)
	require.InDelta(t, 50*6/4, crossZoneAttempts, 50*6/8)
}

func TestRetryCrossesZonesAfterALocalFailure(t *testing.T) {
	c := newTwoZoneCluster(t, 1)
	q, sends := relay.New(c.env, requestTo(searchRoute(1, 1)), start)
	require.False(t, sends[0].CrossZone)
	sends, _ = q.HandleReply(after(3), 0, 0, relay.Reply{Kind: relay.Ambiguous, Sample: choose.Sample{Refused: true}})
	require.Len(t, sends, 1)
	require.True(t, sends[0].CrossZone)
}

// Each shard has servers in two of three other zones, so that VMs of two zones reach all
// shards. A search should involve no more zones than that, and all servers should still
// get the same number of requests over many searches.
func TestSearchPrefersFewOtherZones(t *testing.T) {
	const shards, searches = 12, 600
	c := newTwoZoneCluster(t, shards)
	c.env.Zone = "lahti"
	c.env.CanDelegate = func(ident.Zone) bool { return true }
	zones := []ident.Zone{"vantaa", "espoo", "tampere"}
	for i := range shards {
		for j := range 2 {
			c.replicas[shardName(i)][j].Zone = zones[(i+j)%len(zones)]
		}
	}
	delegations, sent, now := 0, map[ident.ServerID]int{}, start
	for range searches {
		request := requestTo(searchRoute(shards, 0.5))
		request.Arrived, request.Deadline = now, now.Add(time.Second)
		q, sends := relay.New(c.env, request, now)
		used := coll.NewSet[ident.Zone]()
		for _, s := range sends {
			used.Add(s.Replica.Zone)
			sent[s.Replica.ID]++
		}
		delegations += len(used)
		c.answer(q, now, sends, crossZoneLatency)
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, float64(delegations)/searches, 2.2)
	mean := searches / 2
	for id, count := range sent {
		require.InDelta(t, mean, count, 0.3*float64(mean), id)
	}
}

func TestCrossZoneReasonsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		zone      ident.Zone
		stayShare float64
		reason    string
	}{
		"in its zone":          {"vantaa", 1, ""},
		"no server":            {"lahti", 1, "no server here 6"},
		"more callers in zone": {"vantaa", 0, "more callers here"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTwoZoneCluster(t, 6)
			c.env.Zone, c.localShare = test.zone, test.stayShare
			reasons := ""
			for i := 0; i < 50 && reasons == ""; i++ {
				q, _ := relay.New(c.env, requestTo(searchRoute(6, 0.5)), start)
				reasons = q.CrossZoneReasons()
			}
			if test.reason == "" {
				require.Empty(t, reasons)
			}
			require.Contains(t, reasons, test.reason)
		})
	}
	c := newTwoZoneCluster(t, 1)
	for _, r := range c.replicas[shardName(0)] {
		latency := crossZoneLatency
		if r.Zone == c.env.Zone {
			latency = 300 * time.Millisecond
		}
		c.env.Choose.Answered(start, r.ID, choose.Sample{Completed: true, ServiceTime: latency, Slots: 2})
	}
	q, _ := relay.New(c.env, requestTo(searchRoute(1, 1)), start)
	require.Equal(t, "slower here 1", q.CrossZoneReasons())
}

// CanDelegate takes locks, and a search has hundreds of shards.
func TestCanDelegateIsCalledOncePerZone(t *testing.T) {
	c := newTwoZoneCluster(t, 12)
	c.env.Zone = "lahti"
	calls := map[ident.Zone]int{}
	c.env.CanDelegate = func(zone ident.Zone) bool {
		calls[zone]++
		return true
	}
	relay.New(c.env, requestTo(searchRoute(12, 0.5)), start)
	require.Equal(t, map[ident.Zone]int{"vantaa": 1, "espoo": 1}, calls)
}

// Guards against a delegate that reports at once, and merges nothing, because the attempts of a
// search without hedges have a negative time until the hedge.
func TestAttemptWithoutHedgeMayTakeAllItsTime(t *testing.T) {
	for name, idempotent := range map[string]bool{"hedged": true, "not_hedged": false} {
		t.Run(name, func(t *testing.T) {
			c := newTwoZoneCluster(t, 12)
			c.env.Zone = "lahti"
			c.env.CanDelegate = func(ident.Zone) bool { return true }
			request := requestTo(searchRoute(12, 0.5))
			request.Route.Idempotent = idempotent
			_, sends := relay.New(c.env, request, start)
			require.NotEmpty(t, sends)
			for _, s := range sends {
				require.True(t, s.Delegated)
				require.Positive(t, s.HedgeAfter)
				require.Equal(t, !idempotent, s.HedgeAfter == s.Timeout)
			}
		})
	}
}
