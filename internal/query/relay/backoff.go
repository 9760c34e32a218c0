package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// maxWaitShare is the share of the time left until the goal, or the deadline if there is
// no goal, for which a request may wait for servers that asked for a backoff. A request
// that would have to wait longer is refused, so that the caller can decide.
const maxWaitShare = 0.25

// firstAvailable returns the server of a shard that takes a request soonest, of those that
// don't take one now because they asked for a backoff or take only a limited rate, and the
// time until then. It returns nil if there is none, apart from servers that are down or
// leaving or whose answer is pending.
func (q *Query) firstAvailable(now time.Time, s *shard) (first *roster.Replica, shortest time.Duration) {
	for _, r := range q.replicas(s) {
		announced := q.env.Notices.Get(now, r.Process())
		wait, ok := q.env.Pace.Wait(now, r)
		if !ok || q.env.Health.IsDown(r.ID) || announced.Leaving || s.tried(now, r.ID) && !s.allRefused() {
			continue
		}
		if wait = max(wait, announced.Backoff); wait > 0 && (first == nil || wait < shortest) {
			first, shortest = r, wait
		}
	}
	return first, shortest
}

// mayResend reports whether a shard whose attempts did not run may soon be sent again. It
// may not if all its servers want no requests for a time that is known.
func (q *Query) mayResend(now time.Time, s *shard) bool {
	for _, r := range q.replicas(s) {
		if q.accepts(now, r) {
			return true
		}
	}
	first, _ := q.firstAvailable(now, s)
	return first == nil
}

// maxWait returns how long an attempt may wait for a server.
func (q *Query) maxWait(now time.Time) time.Duration {
	limit := q.request.Deadline
	if goal := q.request.Arrived.Add(q.request.Route.Goal); q.request.Route.Goal > 0 && goal.Before(limit) {
		limit = goal
	}
	return time.Duration(maxWaitShare * float64(limit.Sub(now)))
}

// nextInTime returns the server of a shard that takes a request soonest, or nil if that is
// too late for the request.
func (q *Query) nextInTime(now time.Time, s *shard) *roster.Replica {
	replica, wait := q.firstAvailable(now, s)
	if wait > q.maxWait(now) {
		q.backoff = max(q.backoff, wait)
		return nil
	}
	return replica
}

// postpone schedules the next attempt of a shard for the time at which the first of its
// servers takes a request again, and reserves the request there if its rate is limited. It
// returns false if there is none or it is too late.
func (q *Query) postpone(now time.Time, s *shard, reason hedge.Reason) bool {
	replica := q.nextInTime(now, s)
	if replica == nil {
		return false
	}
	wait, reserved := q.env.Pace.Reserve(now, replica, q.maxWait(now))
	if !reserved {
		// Another request of this VM was reserved meanwhile.
		q.backoff = max(q.backoff, wait)
		return false
	}
	if q.env.Pace.Limits(now, replica) {
		s.reserved = replica
	}
	wait = max(wait, q.env.Notices.Get(now, replica.Process()).Backoff)
	s.retryAt, s.retryReason = now.Add(wait), reason
	if s.allRefused() {
		s.forgetRefusals()
	}
	return true
}

// takeReserved returns the server that was reserved for a shard, unless it does not accept
// requests any more.
func (q *Query) takeReserved(now time.Time, s *shard) *roster.Replica {
	r := s.reserved
	s.reserved = nil
	if r == nil || !q.mayUse(s, r) || q.env.Health.IsDown(r.ID) || q.env.Notices.Get(now, r.Process()).BlocksRequests() {
		return nil
	}
	return r
}
