package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// silentDelayFactor is the multiple of the hedge delay, and minSilentDelay the
	// minimum time, after which a server that has not answered counts as silent. A
	// server that is slower than usual by an order of magnitude still answers within it.
	silentDelayFactor = 6
	minSilentDelay    = 200 * time.Millisecond
	// minQuorumShards is the number of shards from which the time of a quorum predicts
	// that of the others.
	minQuorumShards = 4
	// delegationSlack is added to the hedge delay of an attempt that another VM sends,
	// for the round trip to that VM and the time for which it collects answers.
	delegationSlack = 6 * time.Millisecond
	// maxProlongedShare is the share of the goal up to which the hedge of a request that is
	// long by nature is put off. A hedge sent later could hardly be answered by the goal, and
	// a server that has failed must still be noticed.
	maxProlongedShare = 0.7
)

// hedgeAt returns the time at which an attempt sent at now is hedged, or zero if it is
// not hedged. costFactor is the ratio of its likely cost to that of the route: a request that
// is long by nature is hedged later.
func (q *Query) hedgeAt(now time.Time, costFactor float64) time.Time {
	delay, ok := q.hedgeDelay()
	if !ok {
		return time.Time{}
	}
	if longest := q.maxHedgeDelay(); longest > 0 {
		delay = min(delay, longest)
	}
	return now.Add(q.prolong(delay, costFactor))
}

// prolong returns the delay before the hedge of an attempt that is long by nature. It stays
// below maxProlongedShare of the goal, unless the delay is already longer. The delay of a short
// request stays as it is: answers that are late by the route's measure are few enough for the
// budget of hedges.
func (q *Query) prolong(delay time.Duration, costFactor float64) time.Duration {
	longer := time.Duration(float64(delay) * max(costFactor, 1))
	if goal := q.request.Route.Goal; goal > 0 {
		longer = min(longer, time.Duration(maxProlongedShare*float64(goal)))
	}
	return max(longer, delay)
}

// hedgeDelay returns the time within which most attempts of the route are answered.
// Until there are enough answers to estimate it, it is derived from the goal. ok is
// false if the route is not hedged.
func (q *Query) hedgeDelay() (delay time.Duration, ok bool) {
	return q.env.Latency.Delay(ident.ServiceID(q.request.Route.Name), q.maxHedgeDelay())
}

// maxHedgeDelay returns the upper bound of the delay before a hedge, or 0 if the route
// has no goal.
func (q *Query) maxHedgeDelay() time.Duration {
	return time.Duration(q.env.Options.MaxHedgeShare * float64(q.request.Route.Goal))
}

// advanceHedges brings the hedges of a search forward once a quorum of its shards has
// answered: shards that take much longer than the quorum probably wait for a server
// that is paused, slow or full.
func (q *Query) advanceHedges(now time.Time) {
	if q.hedgesAdvanced || q.answered < hedge.Quorum(len(q.shards)) || len(q.shards) < minQuorumShards {
		return
	}
	q.hedgesAdvanced = true
	overdueAfter := hedge.OverdueAfter(now.Sub(q.start))
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			a := &q.shards[i].attempts[j]
			newHedgeAt := q.start.Add(q.prolong(overdueAfter, a.shardFactor))
			if a.delegated {
				newHedgeAt = newHedgeAt.Add(delegationSlack)
			}
			if a.pending && a.hedgeAt.After(newHedgeAt) {
				a.hedgeAt = newHedgeAt
			}
		}
	}
}

// silentAfter returns the time without an answer after which a server counts as silent
// rather than slow.
func (q *Query) silentAfter() time.Duration {
	delay, _ := q.hedgeDelay()
	return max(silentDelayFactor*delay, minSilentDelay)
}
