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
	replicas := replicaBuffer[:0]
	warm := 0
	for _, r := range q.env.Replicas().Replicas(s.service) {
		if !q.accepts(now, r) || s.tried(now, r.ID) {
			continue
		}
		if !now.Before(r.ColdUntil) {
			replicas = append(replicas, r)
			replicas[warm], replicas[len(replicas)-1] = replicas[len(replicas)-1], replicas[warm]
			warm++
			continue
		}
		replicas = append(replicas, r)
	}
	if warm > 0 {
		replicas = replicas[:warm]
	}
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
