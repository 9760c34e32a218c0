package roster

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// prefixRolls begins the keys of the records of roll-outs, which end with the service.
const prefixRolls = PrefixMembers + "roll/"

// RollKey returns the key of the record of a service's roll-out.
func RollKey(service ident.ServiceID) string {
	return prefixRolls + string(service)
}

// rollout is what the store holds about the roll-out of a service. order is nil if there is only
// a record. If removeAt is not zero, a copy of the store lacks the key of the order, and the order is
// withdrawn at that time unless the key reappears or servers of a losing version are left.
type rollout struct {
	order    *roll.Order
	orderKey string
	removeAt time.Time
	// record is the latest one that is known, and revision the position of the one in the store.
	// behind is set if that is an older one, of an older copy of the store.
	record   *roll.Record
	revision depot.Position
	behind   bool
}

// loses reports whether the store came back from an older copy with an earlier record of the roll-out
// under way, or without any (nil).
func (r *rollout) loses(copied *roll.Record, position depot.Position) bool {
	return r.order != nil && r.record != nil && r.record.IsOf(r.order) && (r.behind || position.Era() > r.revision.Era()) &&
		(copied == nil || copied.Seq < r.record.Seq)
}

// rolloutOf returns the state of a service's roll-out, which it creates.
func (s *State) rolloutOf(service ident.ServiceID) *rollout {
	r := s.rollouts[service]
	if r == nil {
		r = &rollout{}
		s.rollouts[service] = r
	}
	return r
}

// applyOrder applies an operator's order. One that can't be read changes nothing.
func (s *State) applyOrder(service ident.ServiceID, item depot.Item) {
	order, err := s.decoder.Rollout(string(service), item.Value)
	if err != nil {
		s.events.Record("rollout_unusable", string(service), err.Error(), slog.Uint64("revision", item.Revision.Revision()))
		return
	}
	r := s.rolloutOf(service)
	if r.order != nil && item.Revision < r.order.Position {
		return
	}
	order.Position = item.Revision
	r.removeAt, r.orderKey = time.Time{}, item.Key
	if r.order != nil && *r.order == order {
		return
	}
	r.order, s.changed = &order, true
	s.events.Record("rollout_ordered", string(service), "operator", slog.String("version", order.Version),
		slog.Duration("duration", order.Duration), slog.Uint64("revision", item.Revision.Revision()))
}

// applyRecord applies the record of a roll-out.
func (s *State) applyRecord(item depot.Item) {
	service := ident.ServiceID(strings.TrimPrefix(item.Key, prefixRolls))
	var record roll.Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		s.events.Record("rollout_unusable", string(service), err.Error(), slog.Uint64("revision", item.Revision.Revision()))
		return
	}
	r := s.rolloutOf(service)
	if item.Revision <= r.revision {
		return
	}
	if r.loses(&record, item.Revision) {
		r.revision, r.behind, s.changed = item.Revision, true, true
		return
	}
	if r.record == nil || *r.record != record {
		s.events.Record("rollout_stage", string(service), record.Reason, slog.String("version", record.Version),
			slog.String("stage", string(record.Phase)), slog.Uint64("seq", record.Seq))
	}
	r.record, r.revision, r.behind, s.changed = &record, item.Revision, false, true
}

// withdrawOrder ends the roll-out of a service: all its versions are used alike again.
func (s *State) withdrawOrder(service ident.ServiceID) {
	r := s.rollouts[service]
	if r == nil || r.order == nil {
		return
	}
	r.order, r.removeAt, s.changed = nil, time.Time{}, true
	s.events.Record("rollout_withdrawn", string(service), "operator")
}

// removeRecord forgets a record whose key is missing.
func (s *State) removeRecord(service ident.ServiceID) {
	if r := s.rollouts[service]; r != nil && r.revision != 0 {
		r.record, r.revision, r.behind, s.changed = nil, 0, false, true
	}
}

// handleMissingRollouts handles the keys of roll-outs that a read did not return. In the grace
// period of an era, orders are kept until the period ends, since the copy may be from before
// them.
func (s *State) handleMissingRollouts(now time.Time, missing func(key string) bool, read depot.Position) {
	for service, r := range s.rollouts {
		if r.record != nil && r.revision <= read && missing(RollKey(service)) {
			if r.loses(nil, read) {
				r.revision, r.behind, s.changed = 0, true, true
			} else {
				s.removeRecord(service)
			}
		}
		switch {
		case r.order == nil || !missing(r.orderKey) || !r.removeAt.IsZero():
		case !now.Before(s.eraGraceUntil):
			s.withdrawOrder(service)
		default:
			r.removeAt = s.eraGraceUntil
		}
	}
}

// removeExpiredOrders withdraws the orders whose grace period is over. The result of a roll-out that
// was decided meanwhile holds until operators have stopped the servers of the losing version.
func (s *State) removeExpiredOrders(now time.Time) {
	for service, r := range s.rollouts {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) && !s.hasLosingServers(service, r) {
			s.withdrawOrder(service)
		}
	}
}

// hasLosingServers reports whether a roll-out is decided and servers of a losing version are left.
func (s *State) hasLosingServers(service ident.ServiceID, r *rollout) bool {
	if r.record == nil || !r.record.IsOf(r.order) {
		return false
	}
	for _, server := range s.servers {
		if server.value.Service == service && r.record.Phase.Loses(server.value.Version, r.order.Version) {
			return true
		}
	}
	return false
}

// viewRollouts returns the roll-outs that are ordered, or nil if there are none.
func (s *State) viewRollouts() map[ident.ServiceID]roll.Rollout {
	var all map[ident.ServiceID]roll.Rollout
	for service, r := range s.rollouts {
		if r.order == nil {
			continue
		}
		if all == nil {
			all = map[ident.ServiceID]roll.Rollout{}
		}
		all[service] = roll.Rollout{Order: *r.order, Record: r.record, Revision: r.revision, Behind: r.behind}
	}
	return all
}
