package relay

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// gatherPart is the part of the time by which servers of other zones have to be faster
// than those of the VM's own that binds among other zones.
const gatherPart = 0.5

// crosses reports whether requests to a server leave this VM's zone.
func (e *Env) crosses(r *roster.Replica) bool {
	return e.Zone != "" && r.Zone != e.Zone
}

// carries reports whether a VM in the zone of a server may send an attempt of a search.
func (q *Query) carries(r *roster.Replica) bool {
	return q.plan.Route.IsSearch() && q.env.crosses(r) && q.env.Carries != nil && q.env.Carries(r.Zone)
}

// prefer delays the candidates that are not in the zone which the next attempt of a
// shard is to go to. The servers in list are those of the candidates.
func (q *Query) prefer(s *shard, list []*roster.Replica, candidates []choose.Candidate) {
	zone, detour := q.preferred(s, list)
	if detour == 0 {
		return
	}
	for i, r := range list {
		if r.Zone != zone {
			candidates[i].Detour = detour
		}
	}
}

// preferred returns the zone that the next attempt of a shard is to go to, and the time
// by which servers of other zones have to be faster. It is 0 if no zone is preferred.
func (q *Query) preferred(s *shard, list []*roster.Replica) (ident.Zone, time.Duration) {
	stay := time.Duration(q.env.Options.Stay * float64(q.plan.Route.Goal))
	if stay == 0 {
		return "", 0
	}
	if slices.ContainsFunc(list, func(r *roster.Replica) bool { return !q.env.crosses(r) }) {
		if share := q.env.Replicas().StayShare(s.service, q.env.Zone); share < 1 && rand.Float64() >= share {
			// The zone has more callers than its servers bear.
			return "", 0
		}
		return q.env.Zone, stay
	}
	if zone, ok := q.foremost(list); ok && len(s.attempts) == 0 {
		return zone, time.Duration(gatherPart * float64(stay))
	}
	return "", 0
}

// foremost returns the zone that comes first in the order of zones of this query, of
// those with one of the servers and a VM that can send. VMs of few zones then send for
// many shards each, while all servers of a shard get the same number of requests over
// many queries.
func (q *Query) foremost(list []*roster.Replica) (zone ident.Zone, ok bool) {
	least := uint64(0)
	for _, r := range list {
		rank := maphash.String(q.seed, string(r.Zone))
		if q.carries(r) && (!ok || rank < least) {
			zone, least, ok = r.Zone, rank, true
		}
	}
	return zone, ok
}
