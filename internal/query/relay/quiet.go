package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// waitPart is the part of the time to the goal for which a request waits for servers that
// asked for quiet. What has to wait longer is refused, so that the caller can decide.
const waitPart = 0.25

// quietFor returns the time until a server of the shard that wants no requests now may
// get one, or 0 if there is no such server.
func (q *Query) quietFor(now time.Time, s *shard) time.Duration {
	least := time.Duration(0)
	for _, r := range q.env.Replicas().Replicas(s.service) {
		said := q.env.Notices.Get(now, r.Process())
		if q.env.Health.IsDown(r.ID) || said.Leaving {
			continue
		}
		if said.Backoff > 0 && (least == 0 || said.Backoff < least) {
			least = said.Backoff
		}
	}
	return least
}

// postpone plans the next attempt of a shard for the time when a server wants requests
// again, and reports whether that is soon enough.
func (q *Query) postpone(now time.Time, s *shard, reason hedge.Reason) bool {
	wait := q.quietFor(now, s)
	if wait == 0 {
		return false
	}
	aim := q.plan.Deadline
	if goal := q.plan.Arrived.Add(q.plan.Route.Goal); q.plan.Route.Goal > 0 && goal.Before(aim) {
		aim = goal
	}
	if float64(wait) > waitPart*float64(aim.Sub(now)) {
		q.quiet = max(q.quiet, wait)
		return false
	}
	s.retryAt, s.retryReason = now.Add(wait), reason
	if s.canResend() {
		s.forgetRefusals()
	}
	return true
}
