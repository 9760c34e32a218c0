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
)

// hedgeAt returns the time at which an attempt sent at now is hedged, or zero if it is
// not hedged.
func (q *Query) hedgeAt(now time.Time) time.Time {
	delay, ok := q.hedgeDelay()
	if !ok {
		return time.Time{}
	}
	if longest := q.maxHedgeDelay(); longest > 0 {
		delay = min(delay, longest)
	}
	return now.Add(delay)
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
	overdue := q.start.Add(hedge.OverdueAfter(now.Sub(q.start)))
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			a := &q.shards[i].attempts[j]
			newHedgeAt := overdue
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
