package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// accepts reports whether a server is expected to accept a request from this VM: it is
// not down, leaving or backing off, and its rate limit allows one.
func (q *Query) accepts(now time.Time, r *roster.Replica) bool {
	if q.env.Health.IsDown(r.ID) || q.env.Notices.Get(now, r.Process()).BlocksRequests() {
		return false
	}
	wait, ok := q.env.Pace.Wait(now, r)
	return ok && wait == 0
}

// choose returns the server for the next attempt of a shard: one that was not tried
// yet, accepts requests and, if possible, is not in cold start. It returns nil if there
// is none. The caller has to return the request to the pacer if it doesn't send it.
func (q *Query) choose(now time.Time, s *shard) *roster.Replica {
	for {
		// Another request of this VM may have taken the server's rate meanwhile.
		if r := q.preferred(now, s); r == nil || q.env.Pace.Take(now, r) {
			return r
		}
	}
}

// preferred returns the server that choose would return if no other request was sent.
func (q *Query) preferred(now time.Time, s *shard) *roster.Replica {
	var candidateBuffer [4]choose.Candidate
	candidates := candidateBuffer[:0]
	var replicaBuffer [4]*roster.Replica
	replicas := q.warmest(now, s, replicaBuffer[:0])
	if len(replicas) == 0 {
		return nil
	}
	for _, r := range replicas {
		candidates = append(candidates, choose.Candidate{Server: r.ID})
	}
	q.penalizeOtherZones(s, replicas, candidates)
	q.penalizeBusy(candidates)
	return replicas[q.costs.choose(now, s, candidates)]
}

// sides returns which versions may get the next attempt of a shard: all if there is no roll-out.
func (q *Query) sides(s *shard) sides {
	x := q.env.Exposures.account(s.service)
	if x == nil {
		return sides{target: true, others: true}
	}
	return x.sides(len(s.attempts) == 0)
}

// replicas returns the servers of a shard's service that may get its next attempt. During a
// roll-out these are the ones of some versions only.
func (q *Query) replicas(s *shard) []*roster.Replica {
	all, sides := q.env.Replicas().Replicas(s.service), q.sides(s)
	if sides.target && sides.others {
		return all
	}
	allowed := make([]*roster.Replica, 0, len(all))
	for _, r := range all {
		if sides.allows(r) {
			allowed = append(allowed, r)
		}
	}
	return allowed
}

// warmest appends to replicas the servers that accept the next attempt of a shard: if possible
// warm ones of the version that a roll-out prefers.
func (q *Query) warmest(now time.Time, s *shard, replicas []*roster.Replica) []*roster.Replica {
	sides := q.sides(s)
	if sides.preferTarget {
		if preferred := q.accepting(now, s, replicas, sides.isTarget); len(preferred) > 0 && !now.Before(preferred[0].ColdUntil) {
			return preferred
		}
	}
	return q.accepting(now, s, replicas, sides.allows)
}

// accepting appends to replicas the servers that are allowed and accept the next attempt of a
// shard, without those in cold start if there are others.
func (q *Query) accepting(now time.Time, s *shard, replicas []*roster.Replica, allowed func(*roster.Replica) bool) []*roster.Replica {
	warm := 0
	for _, r := range q.env.Replicas().Replicas(s.service) {
		if !allowed(r) || !q.accepts(now, r) || s.tried(now, r.ID) {
			continue
		}
		replicas = append(replicas, r)
		if !now.Before(r.ColdUntil) {
			last := len(replicas) - 1
			replicas[warm], replicas[last] = replicas[last], replicas[warm]
			warm++
		}
	}
	if warm > 0 {
		return replicas[:warm]
	}
	return replicas
}

// mayUse reports whether a server may get the next attempt of a shard during a roll-out.
func (q *Query) mayUse(s *shard, r *roster.Replica) bool {
	sides := q.sides(s)
	return sides.allows(r)
}
