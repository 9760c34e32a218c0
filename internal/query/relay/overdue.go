package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

const (
	// silentFactor is the multiple of the usual hedge delay, and minSilent the
	// least time, after which an unanswered attempt speaks for a silent server.
	// Servers that are an order of magnitude slow still answer within it.
	silentFactor = 6
	minSilent    = 200 * time.Millisecond
	// minQuorum is the number of shards from which a quorum says something.
	minQuorum = 4
	// carriedSlack is added for an attempt that another VM sends: the way there and
	// back, and the time for which it gathers answers.
	carriedSlack = 6 * time.Millisecond
)

// hedgeAt returns the time at which an attempt that is sent at now is overdue.
func (q *Query) hedgeAt(now time.Time) time.Time {
	delay, ok := q.usualDelay()
	if !ok {
		return time.Time{}
	}
	if latest := q.latestHedge(); latest > 0 {
		delay = min(delay, latest)
	}
	return now.Add(delay)
}

// usualDelay is the time by which an attempt is usually answered. Until the route has
// been answered often enough the goal tells what is expected of it.
func (q *Query) usualDelay() (delay time.Duration, ok bool) {
	return q.env.Latency.Delay(ident.ServiceID(q.plan.Route.Name), q.latestHedge())
}

// latestHedge is the time after which a hedge leaves at the latest, or 0 if the route
// has no goal.
func (q *Query) latestHedge() time.Duration {
	return time.Duration(q.env.Options.MaxHedgeShare * float64(q.plan.Route.Goal))
}

// hurry brings the hedges of a search forward once a quorum of its shards has
// answered: those that take much longer than the quorum wait for a server that
// is paused, slow or full.
func (q *Query) hurry(now time.Time) {
	if q.hurried || q.parts < hedge.Quorum(len(q.shards)) || len(q.shards) < minQuorum {
		return
	}
	q.hurried = true
	overdue := q.start.Add(hedge.OverdueAfter(now.Sub(q.start)))
	for i := range q.shards {
		for j := range q.shards[i].attempts {
			a := &q.shards[i].attempts[j]
			due := overdue
			if a.carried {
				due = due.Add(carriedSlack)
			}
			if a.open && a.hedgeAt.After(due) {
				a.hedgeAt = due
			}
		}
	}
}

// silentAfter is the time without an answer after which a server counts as
// silent rather than slow.
func (q *Query) silentAfter() time.Duration {
	delay, _ := q.usualDelay()
	return max(silentFactor*delay, minSilent)
}
