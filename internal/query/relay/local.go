package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// gatherPart is the part of the time by which servers of other zones have to be faster
// than those of the VM's own that binds among other zones.
const gatherPart = 0.5

// crosses reports whether requests to a zone leave this VM's.
func (e *Env) crosses(zone ident.Zone) bool {
	return e.Zone != "" && zone != e.Zone
}

// place is what a query decides once about a zone.
type place struct {
	zone ident.Zone
	// rank is its place in the order in which this query prefers other zones.
	rank uint64
	// carries is set if a VM there may send attempts of this query.
	carries bool
}

// place returns that of a zone. Its carrier is looked for once, since the first attempts
// of all shards are sent at the same time.
func (q *Query) place(zone ident.Zone) place {
	for _, p := range q.places {
		if p.zone == zone {
			return p
		}
	}
	carries := q.env.crosses(zone) && q.plan.Route.IsSearch() && q.env.Carries != nil && q.env.Carries(zone)
	p := place{zone: zone, rank: rand.Uint64(), carries: carries}
	q.places = append(q.places, p)
	return p
}

// crossing is why an attempt leaves the zone of its VM.
type crossing uint8

const (
	// noServerHere: none of the zone takes the attempt.
	noServerHere crossing = iota
	// moreCallers: the zone has more callers than its servers bear.
	moreCallers
	// slowerHere: one of another zone is expected to answer sooner by more than the
	// settings allow for.
	slowerHere
	crossings
)

// String returns the reason as logs tell it.
func (c crossing) String() string {
	return [...]string{"no server here", "more callers here", "slower here"}[c]
}

// Crossings tells how many attempts have left the zone of the VM, by reason, or nothing
// if none has.
func (q *Query) Crossings() string {
	var parts []string
	for reason, count := range q.crossed {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", crossing(reason), count))
		}
	}
	return strings.Join(parts, ", ")
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
	if slices.ContainsFunc(list, func(r *roster.Replica) bool { return !q.env.crosses(r.Zone) }) {
		if share := q.env.Replicas().LocalRequestShare(s.service, q.env.Zone); share < 1 && rand.Float64() >= share {
			s.crossing = moreCallers
			return "", 0
		}
		s.crossing = slowerHere
		return q.env.Zone, stay
	}
	s.crossing = noServerHere
	if stay == 0 {
		return "", 0
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
		if p := q.place(r.Zone); p.carries && (!ok || p.rank < least) {
			zone, least, ok = r.Zone, p.rank, true
		}
	}
	return zone, ok
}
