package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// maxWaitShare is the share of the time left until the goal, or the deadline if there is
// no goal, for which a request may wait for servers that asked for a backoff. A request
// that would have to wait longer is refused, so that the caller can decide.
const maxWaitShare = 0.25

// backoffLeft returns the shortest time after which a server of the shard takes a request
// that it doesn't take now, because it asked for a backoff or takes only a limited rate.
// It is 0 if there is none, apart from servers that are down or leaving.
func (q *Query) backoffLeft(now time.Time, s *shard) time.Duration {
	shortest := time.Duration(0)
	for _, r := range q.env.Replicas().Replicas(s.service) {
		announced := q.env.Notices.Get(now, r.Process())
		wait, ok := q.env.Pace.Wait(now, r)
		if q.env.Health.IsDown(r.ID) || announced.Leaving || !ok {
			continue
		}
		if wait = max(wait, announced.Backoff); wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// postpone schedules the next attempt of a shard for the time at which the first of its
// servers takes a request again. It returns false if there is none or it is too late.
func (q *Query) postpone(now time.Time, s *shard, reason hedge.Reason) bool {
	wait := q.backoffLeft(now, s)
	if wait == 0 {
		return false
	}
	limit := q.request.Deadline
	if goal := q.request.Arrived.Add(q.request.Route.Goal); q.request.Route.Goal > 0 && goal.Before(limit) {
		limit = goal
	}
	if float64(wait) > maxWaitShare*float64(limit.Sub(now)) {
		q.backoff = max(q.backoff, wait)
		return false
	}
	s.retryAt, s.retryReason = now.Add(wait), reason
	if s.allRefused() {
		s.forgetRefusals()
	}
	return true
}
