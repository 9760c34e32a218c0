package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// crosses reports whether requests to a server leave this VM's zone.
func (e *Env) crosses(r *roster.Replica) bool {
	return e.Zone != "" && r.Zone != e.Zone
}

// carries reports whether a VM in the zone of a server may send an attempt of a search.
func (q *Query) carries(r *roster.Replica) bool {
	return q.plan.Route.IsSearch() && q.env.crosses(r) && q.env.Carries != nil && q.env.Carries(r.Zone)
}

// detour is the time by which servers of other zones have to be faster than those of
// this VM's zone. It is 0 if there are none, or if their zone has more callers than
// they bear and this request goes to any.
func (q *Query) detour(service ident.ServiceID, list []*roster.Replica) time.Duration {
	stay := time.Duration(q.env.Options.Stay * float64(q.plan.Route.Goal))
	if stay == 0 || !slices.ContainsFunc(list, func(r *roster.Replica) bool { return !q.env.crosses(r) }) {
		return 0
	}
	if share := q.env.Replicas().StayShare(service, q.env.Zone); share < 1 && rand.Float64() >= share {
		return 0
	}
	return stay
}
