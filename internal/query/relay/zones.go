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

// delegatePenaltyShare is the share of the cross-zone penalty that is applied, among
// servers in other zones, to those outside the zone whose VM sends for this one.
const delegatePenaltyShare = 0.5

// isOtherZone reports whether a zone is not that of this VM. It is false for all zones
// if the zone of this VM is not known.
func (e *Env) isOtherZone(zone ident.Zone) bool {
	return e.Zone != "" && zone != e.Zone
}

// zoneInfo holds what a query decides once about a zone.
type zoneInfo struct {
	zone ident.Zone
	// rank is random. This query prefers other zones in ascending order of rank.
	rank uint64
	// canDelegate is set if a VM in the zone can send attempts of this query.
	canDelegate bool
}

// zoneInfo returns the information on a zone. It calls CanDelegate only once per zone,
// since the first attempts of all shards are sent at the same time.
func (q *Query) zoneInfo(zone ident.Zone) zoneInfo {
	for _, info := range q.zones {
		if info.zone == zone {
			return info
		}
	}
	canDelegate := q.env.isOtherZone(zone) && q.request.Route.IsSearch() && q.env.CanDelegate != nil && q.env.CanDelegate(zone)
	info := zoneInfo{zone: zone, rank: rand.Uint64(), canDelegate: canDelegate}
	q.zones = append(q.zones, info)
	return info
}

// crossZoneReason is why an attempt is sent to another zone.
type crossZoneReason uint8

const (
	// noLocalServer: no server of the VM's zone accepts the attempt.
	noLocalServer crossZoneReason = iota
	// localOverload: the VM's zone has more callers than its servers can handle.
	localOverload
	// localSlower: a server in another zone is expected to answer sooner in spite of
	// the cross-zone penalty.
	localSlower
	crossZoneReasonCount
)

// String returns the text that logs use.
func (c crossZoneReason) String() string {
	return [...]string{"no server here", "more callers here", "slower here"}[c]
}

// CrossZoneReasons returns the number of attempts sent to other zones by reason, such as
// "no server here 2, slower here 1", or an empty string if there were none.
func (q *Query) CrossZoneReasons() string {
	var counts []string
	for reason, count := range q.crossZone {
		if count > 0 {
			counts = append(counts, fmt.Sprintf("%s %d", crossZoneReason(reason), count))
		}
	}
	return strings.Join(counts, ", ")
}

// penalizeOtherZones adds a penalty to the candidates outside the zone that is
// preferred for the next attempt of a shard. replicas[i] is the server of candidates[i].
func (q *Query) penalizeOtherZones(s *shard, replicas []*roster.Replica, candidates []choose.Candidate) {
	zone, penalty := q.preferredZone(s, replicas)
	if penalty == 0 {
		return
	}
	for i, r := range replicas {
		if r.Zone != zone {
			candidates[i].Penalty = penalty
		}
	}
}

// preferredZone returns the zone that is preferred for the next attempt of a shard, and
// the penalty of servers in other zones. The penalty is 0 if no zone is preferred.
func (q *Query) preferredZone(s *shard, replicas []*roster.Replica) (ident.Zone, time.Duration) {
	penalty := time.Duration(q.env.Options.CrossZonePenalty * float64(q.request.Route.Goal))
	if slices.ContainsFunc(replicas, func(r *roster.Replica) bool { return !q.env.isOtherZone(r.Zone) }) {
		if share := q.env.Replicas().LocalRequestShare(s.service, q.env.Zone); share < 1 && rand.Float64() >= share {
			s.crossZoneReason = localOverload
			return "", 0
		}
		s.crossZoneReason = localSlower
		return q.env.Zone, penalty
	}
	s.crossZoneReason = noLocalServer
	if penalty == 0 {
		return "", 0
	}
	if zone, ok := q.firstDelegateZone(replicas); ok && len(s.attempts) == 0 {
		return zone, time.Duration(delegatePenaltyShare * float64(penalty))
	}
	return "", 0
}

// firstDelegateZone returns, of the zones that have one of the servers and a VM that can
// send attempts for this one, the zone with the lowest rank. Few VMs then send for many
// shards each. As ranks are random, all servers of a shard get the same number of
// requests over many queries.
func (q *Query) firstDelegateZone(replicas []*roster.Replica) (zone ident.Zone, ok bool) {
	lowest := uint64(0)
	for _, r := range replicas {
		if info := q.zoneInfo(r.Zone); info.canDelegate && (!ok || info.rank < lowest) {
			zone, lowest, ok = r.Zone, info.rank, true
		}
	}
	return zone, ok
}
