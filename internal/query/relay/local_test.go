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

// newZonedWorld returns a world with a replica of each shard in each of two zones, for
// a VM of vantaa.
func newZonedWorld(t *testing.T, services int) *world {
	t.Helper()
	w := newWorld(t, services, 100)
	w.env.Zone, w.env.Options.Stay = "vantaa", 0.2
	for i := range services {
		for j, zone := range []ident.Zone{"vantaa", "espoo"} {
			w.replicas[shardName(i)][j].Zone = zone
		}
	}
	return w
}

// farTime is the time in which servers of other zones answer.
const farTime = 8 * time.Millisecond

// crossing returns how many of the first attempts of 50 searches leave the zone, if
// each server takes its time to answer and what is overdue is hedged.
func (w *world) crossing(near time.Duration) int {
	crossing, now := 0, start
	for range 50 {
		plan := planOf(searchRoute(6, 0.5))
		plan.Arrived, plan.Deadline = now, now.Add(time.Second)
		q, sends := relay.New(w.env, plan, now)
		for _, s := range sends {
			if s.Crosses {
				crossing++
			}
		}
		w.answer(q, now, sends, near)
		now = now.Add(time.Second)
	}
	return crossing
}

// answer answers the attempts of a query in the order of time.
func (w *world) answer(q *relay.Query, sentAt time.Time, sends []relay.Send, near time.Duration) {
	type due struct {
		relay.Send
		sentAt, at time.Time
	}
	var open []due
	add := func(now time.Time, sends []relay.Send) {
		for _, s := range sends {
			took := near
			if s.Crosses {
				took = farTime
			}
			open = append(open, due{Send: s, sentAt: now, at: now.Add(took)})
		}
	}
	add(sentAt, sends)
	for len(open) > 0 {
		slices.SortStableFunc(open, func(a, b due) int { return a.at.Compare(b.at) })
		if _, done := q.Outcome(); !done && q.Next().Before(open[0].at) {
			now := q.Next()
			add(now, q.Tick(now))
			continue
		}
		next := open[0]
		open = open[1:]
		sample := choose.Sample{Completed: true, ServiceTime: next.at.Sub(next.sentAt), Slots: 2}
		more, _ := q.Answer(next.at, next.Shard, next.Attempt, relay.Reply{Kind: relay.Served, Sample: sample})
		add(next.at, more)
	}
}

func TestSearchStaysInItsZone(t *testing.T) {
	w := newZonedWorld(t, 6)
	require.Zero(t, w.crossing(12*time.Millisecond))
}

func TestSearchLeavesAZoneWhoseServersAreSlow(t *testing.T) {
	w := newZonedWorld(t, 6)
	require.Greater(t, w.crossing(90*time.Millisecond), 50*6/2)
}

func TestSearchGoesWhereTheReplicasAre(t *testing.T) {
	w := newZonedWorld(t, 6)
	w.env.Zone = "lahti"
	require.Equal(t, 50*6, w.crossing(farTime))
}

// Half of the requests of callers that are more than the servers of their zone bear go
// to any server.
func TestSkewedCallersLeaveTheirZone(t *testing.T) {
	w := newZonedWorld(t, 6)
	w.stay = 0.5
	crossing := w.crossing(farTime)
	require.InDelta(t, 50*6/4, crossing, 50*6/8)
}

func TestRetryLeavesTheZoneOfAServerThatFails(t *testing.T) {
	w := newZonedWorld(t, 1)
	q, sends := relay.New(w.env, planOf(searchRoute(1, 1)), start)
	require.False(t, sends[0].Crosses)
	sends, _ = q.Answer(after(3), 0, 0, relay.Reply{Kind: relay.Broken, Sample: choose.Sample{Refused: true}})
	require.Len(t, sends, 1)
	require.True(t, sends[0].Crosses)
}

// Each shard has servers in two of three other zones, so that two VMs reach all. All
// servers get the same number of requests nevertheless.
func TestSearchPrefersFewOtherZones(t *testing.T) {
	const shards, searches = 12, 600
	w := newZonedWorld(t, shards)
	w.env.Zone = "lahti"
	w.env.Carries = func(ident.Zone) bool { return true }
	zones := []ident.Zone{"vantaa", "espoo", "tampere"}
	for i := range shards {
		for j := range 2 {
			w.replicas[shardName(i)][j].Zone = zones[(i+j)%len(zones)]
		}
	}
	orders, sent, now := 0, map[ident.ServerID]int{}, start
	for range searches {
		plan := planOf(searchRoute(shards, 0.5))
		plan.Arrived, plan.Deadline = now, now.Add(time.Second)
		q, sends := relay.New(w.env, plan, now)
		used := coll.NewSet[ident.Zone]()
		for _, s := range sends {
			used.Add(s.Replica.Zone)
			sent[s.Replica.ID]++
		}
		orders += len(used)
		w.answer(q, now, sends, farTime)
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, float64(orders)/searches, 2.2)
	mean := searches / 2
	for id, count := range sent {
		require.InDelta(t, mean, count, 0.3*float64(mean), id)
	}
}

// A search tells why its attempts left the zone.
func TestCrossingsAreTold(t *testing.T) {
	for name, test := range map[string]struct {
		zone   ident.Zone
		stay   float64
		reason string
	}{
		"in its zone":          {"vantaa", 1, ""},
		"no server":            {"lahti", 1, "no server here 6"},
		"more callers in zone": {"vantaa", 0, "more callers here"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newZonedWorld(t, 6)
			w.env.Zone, w.stay = test.zone, test.stay
			told := ""
			for i := 0; i < 50 && told == ""; i++ {
				q, _ := relay.New(w.env, planOf(searchRoute(6, 0.5)), start)
				told = q.Crossings()
			}
			if test.reason == "" {
				require.Empty(t, told)
			}
			require.Contains(t, told, test.reason)
		})
	}
	w := newZonedWorld(t, 1)
	for _, r := range w.replicas[shardName(0)] {
		took := farTime
		if r.Zone == w.env.Zone {
			took = 300 * time.Millisecond
		}
		w.env.Choose.Answered(start, r.ID, choose.Sample{Completed: true, ServiceTime: took, Slots: 2})
	}
	q, _ := relay.New(w.env, planOf(searchRoute(1, 1)), start)
	require.Equal(t, "slower here 1", q.Crossings())
}

// Looking for a VM that can send takes locks, and a search has hundreds of shards.
func TestCarriersAreLookedForOncePerZone(t *testing.T) {
	w := newZonedWorld(t, 12)
	w.env.Zone = "lahti"
	asked := map[ident.Zone]int{}
	w.env.Carries = func(zone ident.Zone) bool {
		asked[zone]++
		return true
	}
	relay.New(w.env, planOf(searchRoute(12, 0.5)), start)
	require.Equal(t, map[ident.Zone]int{"vantaa": 1, "espoo": 1}, asked)
}
