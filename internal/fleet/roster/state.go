package roster

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// PrefixMembers begins the keys under which VMs register.
	PrefixMembers = "fleet/"
	// prefixServing and prefixStandby begin the keys of VMs that serve callers and of VMs
	// that stand by. A VM that stands by watches only the serving ones.
	prefixServing = PrefixMembers + "serving/"
	prefixStandby = PrefixMembers + "standby/"
)

// ServingKey returns the key under which a VM registers while it serves callers.
func ServingKey(vm ident.VMID) string {
	return prefixServing + string(vm)
}

// key returns the key under which the member registers.
func (m *Member) key() string {
	if m.Serving {
		return ServingKey(m.VM)
	}
	return prefixStandby + string(m.VM)
}

const (
	// storeReturnGrace is how long after the store's return a missing registration may
	// reappear. The platform says that registrations which lapsed during the outage are
	// back after about 2 s; the delay of a watch comes on top.
	storeReturnGrace = 2300 * time.Millisecond
	// lapseTime is the length of an outage in which registrations may lapse: they do after three
	// heartbeats of 1.2 s without the store, the first of which may come just before it.
	lapseTime = 2400 * time.Millisecond
	// memberLapseGrace is how long a VM is kept after its registration lapsed, so that a
	// lost lease alone doesn't change the address lists.
	memberLapseGrace = 700 * time.Millisecond
)

// State holds what a VM has read from the store. It has no clock and makes no calls:
// callers pass in the time and what the store returned. It is not safe for concurrent
// use.
type State struct {
	self    ident.VMID
	decoder Decoder
	events  *events.Recorder

	table   *routes.Table
	servers map[ident.ServerID]*registration[Replica]
	members map[ident.VMID]*registration[Member]
	// zonesOut holds the zones that are out of service.
	zonesOut map[ident.Zone]*zoneMark
	rollouts map[ident.ServiceID]*rollout
	// departures holds the backend servers and VMs that left, since an older copy of the
	// store may still hold their registrations.
	departures departures
	// lapsed holds the other VMs that served until their registration lapsed.
	lapsed map[ident.VMID]lapse

	// era is the latest era of the store, and eraGraceUntil the end of the period in which
	// what is missing from its copy may be written again.
	era           depot.Era
	eraGraceUntil time.Time
	// read holds the latest positions of the store that this VM has read.
	read readHistory

	// allKeysRead is set once all keys were read. What the first read returns is logged
	// in one line, since a large fleet has thousands of registrations.
	allKeysRead bool
	storeDown   bool
	// failedSince is when the first failure of a call since the latest answer was noticed, and
	// outage is set once it can't be due to connections that are silent.
	failedSince time.Time
	outage      bool
	// graceUntil is the end of the period in which missing registrations may reappear.
	graceUntil time.Time
	view       *View
	// changed is set if view is out of date.
	changed bool
}

// registration is a registration in the store. If removeAt is not zero, the key is
// missing, and the registration is removed at that time unless the key reappears.
type registration[T any] struct {
	value    T
	key      string
	revision depot.Position
	removeAt time.Time
}

// NewState returns an empty state for the VM self. recorder may be nil.
func NewState(self ident.VMID, decoder Decoder, recorder *events.Recorder) *State {
	s := &State{
		self:       self,
		decoder:    decoder,
		events:     recorder,
		servers:    map[ident.ServerID]*registration[Replica]{},
		members:    map[ident.VMID]*registration[Member]{},
		zonesOut:   map[ident.Zone]*zoneMark{},
		rollouts:   map[ident.ServiceID]*rollout{},
		departures: newDepartures(),
		lapsed:     map[ident.VMID]lapse{},
		changed:    true,
	}
	s.View()
	return s
}

// StoreFailed records that a call to the store, which began at begun, failed. Calls on connections
// that have become silent fail, too, while others are answered, and registrations don't lapse.
func (s *State) StoreFailed(now, begun time.Time, reason string) {
	if !s.storeDown {
		s.events.Record("store_lost", "store", reason)
		s.failedSince = now
	}
	s.storeDown = true
	s.outage = s.outage || begun.After(s.failedSince)
}

// IsStoreDown reports whether the last call to the store failed.
func (s *State) IsStoreDown() bool {
	return s.storeDown
}

// StoreAnswered records that the store answered a call.
func (s *State) StoreAnswered(now time.Time) {
	if s.storeDown {
		s.outage = s.outage || now.Sub(s.failedSince) >= lapseTime
		s.events.Record("store_regained", "store", "a call was answered", slog.Bool("outage", s.outage), slog.Duration("after", now.Sub(s.failedSince)))
	}
	if s.outage {
		s.graceUntil = now.Add(storeReturnGrace)
	}
	s.storeDown, s.outage = false, false
}

// Load replaces everything known about the keys that begin with prefix by batch, a read
// of all these keys.
func (s *State) Load(now time.Time, prefix string, batch depot.Batch) {
	s.StoreAnswered(now)
	if !s.enterPosition(now, batch.Revision) {
		return
	}
	present := make(coll.Set[string], len(batch.Items))
	missing := func(key string) bool { return strings.HasPrefix(key, prefix) && !present.Has(key) }
	for _, item := range batch.Items {
		present.Add(item.Key)
		s.applyItem(now, item)
	}
	for id, r := range s.servers {
		if missing(r.key) {
			s.handleMissingServer(now, id, r)
		}
	}
	for vm, r := range s.members {
		// This VM may have written its own registration after the read.
		if missing(r.key) && r.revision <= batch.Revision {
			s.handleMissingMember(now, vm, r)
		}
	}
	for zone, mark := range s.zonesOut {
		if missing(mark.key) {
			s.handleMissingZoneMark(now, zone, mark)
		}
	}
	s.handleMissingRollouts(now, missing, batch.Revision)
	if !s.allKeysRead && prefix == allKeys {
		s.allKeysRead = true
		s.events.Record("store_read", string(s.self), "first reading",
			slog.Int("servers", len(s.servers)), slog.Int("vms", len(s.members)), slog.Uint64("revision", batch.Revision.Revision()))
	}
	s.RemoveExpired(now)
}

// Apply applies the changes that a watch returned.
func (s *State) Apply(now time.Time, batch depot.Batch) {
	s.StoreAnswered(now)
	if !s.enterPosition(now, batch.Revision) {
		return
	}
	var configs []depot.Item
	for _, item := range batch.Items {
		switch {
		case item.Deleted:
			s.applyDelete(now, item)
		case s.isConfig(item):
			configs = append(configs, item)
		default:
			s.applyItem(now, item)
		}
	}
	// Decoding a configuration is expensive, so only the latest usable one is decoded.
	for _, item := range slices.Backward(configs) {
		if s.applyConfig(item) {
			break
		}
	}
	s.RemoveExpired(now)
}

func (s *State) isConfig(item depot.Item) bool {
	kind, _ := s.decoder.ParseKey(item.Key)
	return kind == KindConfig
}

// RemoveExpired removes the registrations and zone marks whose grace period is over.
func (s *State) RemoveExpired(now time.Time) {
	s.departures.removeOld(now)
	s.removeExpiredOrders(now)
	for zone, mark := range s.zonesOut {
		if !mark.removeAt.IsZero() && !now.Before(mark.removeAt) {
			s.markZoneIn(zone)
		}
	}
	for id, r := range s.servers {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			s.departures.addServer(now, s.era, &r.value.Server)
			delete(s.servers, id)
			s.changed = true
			s.events.Record("server_gone", string(id), "registration lapsed", slog.String("service", string(r.value.Service)))
		}
	}
	for vm, l := range s.lapsed {
		if now.Sub(l.at) >= lapseRetention {
			delete(s.lapsed, vm)
			s.changed = true
		}
	}
	for vm, r := range s.members {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(s.members, vm)
			if r.value.Serving && vm != s.self {
				s.lapsed[vm] = lapse{member: r.value, at: now}
			}
			s.changed = true
			s.events.Record("vm_gone", string(vm), "registration lapsed")
		}
	}
}

// View returns the current view. It returns the same one until something changes.
func (s *State) View() *View {
	if !s.changed {
		return s.view
	}
	s.changed = false
	replicas := make([]*Replica, 0, len(s.servers))
	for _, r := range s.servers {
		replica := r.value
		replicas = append(replicas, &replica)
	}
	var members, leaving []Member
	for _, r := range s.members {
		if r.value.Leaving {
			leaving = append(leaving, r.value)
		} else {
			members = append(members, r.value)
		}
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.VM, y.VM) })
	s.view = NewView(s.table, replicas, members, coll.NewSet(slices.Collect(maps.Keys(s.zonesOut))...))
	s.view.Leaving, s.view.Rollouts = leaving, s.viewRollouts()
	for id, gone := range s.departures.servers {
		if _, registered := s.servers[id]; !registered {
			s.view.withdrawn[id] = gone.born
		}
	}
	for _, l := range s.lapsed {
		s.view.Lapsed = append(s.view.Lapsed, l.member)
	}
	return s.view
}

func (s *State) applyItem(now time.Time, item depot.Item) {
	if strings.HasPrefix(item.Key, prefixRolls) {
		s.applyRecord(item)
		return
	}
	if strings.HasPrefix(item.Key, PrefixMembers) {
		s.applyMember(item)
		return
	}
	switch kind, name := s.decoder.ParseKey(item.Key); kind {
	case KindConfig:
		s.applyConfig(item)
	case KindServer:
		s.applyServer(now, name, item)
	case KindZoneOut:
		s.markZoneOut(ident.Zone(name), item.Key)
	case KindRollout:
		s.applyOrder(ident.ServiceID(name), item)
	default:
	}
}

// applyConfig makes a configuration the current one unless it can't be used or its
// version is not newer.
func (s *State) applyConfig(item depot.Item) (usable bool) {
	config, err := s.decoder.Config(item.Value)
	if err != nil {
		s.events.Record("config_unusable", item.Key, err.Error(), slog.Uint64("revision", item.Revision.Revision()))
		return false
	}
	if s.table != nil && config.Version <= s.table.Config().Version {
		return true
	}
	if !s.setConfig(config, item.Key) {
		return false
	}
	s.events.Record("config_in_force", item.Key, "newer version",
		slog.Uint64("version", uint64(config.Version)), slog.Int("routes", len(config.Routes)), slog.Uint64("revision", item.Revision.Revision()))
	return true
}

// setConfig makes a configuration the current one. It logs why, and returns false, if it
// can't be used. source is where it comes from.
func (s *State) setConfig(config *routes.Config, source string) bool {
	table, err := routes.NewTable(config)
	if err != nil {
		s.events.Record("config_unusable", source, err.Error(), slog.Uint64("version", uint64(config.Version)))
		return false
	}
	s.table, s.changed = table, true
	return true
}

func (s *State) applyServer(now time.Time, id string, item depot.Item) {
	server, err := s.decoder.Server(id, item.Value)
	known := s.servers[ident.ServerID(id)]
	if err != nil {
		s.events.Record("registration_unusable", id, err.Error())
		if known != nil && known.revision < item.Revision {
			s.removeServer(now, ident.ServerID(id), "its registration can't be read")
		}
		return
	}
	if known != nil && isOutdated(known, &server, item.Revision) {
		return
	}
	if known == nil && s.departures.hasServer(item.Revision.Era(), &server) {
		s.events.Sample("registration_outdated", id, "the store came back from a copy from before its removal")
		return
	}
	if s.allKeysRead && (known == nil || known.value.Draining != server.Draining || !known.value.SameProcess(&server) || !known.removeAt.IsZero()) {
		s.events.Record("server_known", id, "registration", slog.String("service", string(server.Service)),
			slog.String("address", server.Address), slog.Bool("draining", server.Draining), slog.Duration("cold", server.ColdFor))
	}
	s.servers[server.ID] = &registration[Replica]{
		value:    Replica{Server: server, ColdUntil: now.Add(server.ColdFor)},
		key:      item.Key,
		revision: item.Revision,
	}
	s.changed = true
}

// isOutdated reports whether a registration is older than the known one: it has a lower
// revision, comes from an earlier process, or is an earlier registration of the same
// process.
func isOutdated(known *registration[Replica], server *Server, revision depot.Position) bool {
	switch {
	case revision < known.revision:
		return true
	case server.Born != known.value.Born:
		return server.Born < known.value.Born
	case server.Born == 0:
		return false
	default:
		return server.Sequence < known.value.Sequence
	}
}

func (s *State) applyDelete(now time.Time, item depot.Item) {
	if service, ok := strings.CutPrefix(item.Key, prefixRolls); ok {
		s.removeRecord(ident.ServiceID(service))
		return
	}
	if strings.HasPrefix(item.Key, PrefixMembers) {
		// A VM that changes between serving and standing by registers under the other key
		// before or after this key is deleted.
		vm := vmOfKey(item.Key)
		if r, ok := s.members[vm]; ok && r.key == item.Key && r.revision < item.Revision {
			s.handleMissingMember(now, vm, r)
		}
		return
	}
	switch kind, name := s.decoder.ParseKey(item.Key); kind {
	case KindServer:
		if r, ok := s.servers[ident.ServerID(name)]; ok && r.revision < item.Revision {
			s.handleMissingServer(now, ident.ServerID(name), r)
		}
	case KindZoneOut:
		s.markZoneIn(ident.Zone(name))
	case KindRollout:
		s.withdrawOrder(ident.ServiceID(name))
	default:
	}
}

// handleMissingServer removes a backend server whose registration is missing. After an
// outage of the store it is kept until the grace period ends, unless it drains.
func (s *State) handleMissingServer(now time.Time, id ident.ServerID, r *registration[Replica]) {
	if now.Before(s.graceUntil) && !r.value.Draining {
		if r.removeAt.IsZero() {
			r.removeAt = s.graceUntil
		}
		return
	}
	s.removeServer(now, id, "its registration was removed")
}

func (s *State) removeServer(now time.Time, id ident.ServerID, reason string) {
	r := s.servers[id]
	s.departures.addServer(now, s.era, &r.value.Server)
	delete(s.servers, id)
	s.changed = true
	s.events.Record("server_gone", string(id), reason, slog.String("service", string(r.value.Service)))
}

// enterPosition records the position of what the store returned. It returns false if a later
// era is known already, so that it must not be used. At the beginning of a new era the store
// came back from an older copy: what is missing there is kept for a grace period.
func (s *State) enterPosition(now time.Time, position depot.Position) bool {
	era := position.Era()
	if era < s.era {
		s.events.Sample("store_answer_outdated", "store", "of an earlier era", slog.Uint64("era", uint64(era)), slog.Uint64("current", uint64(s.era)))
		return false
	}
	if era > s.era && s.allKeysRead {
		s.graceUntil = now.Add(storeReturnGrace)
		s.eraGraceUntil = s.graceUntil
		s.events.Record("store_era", "store", "it came back from an older copy", slog.Uint64("era", uint64(era)), slog.Uint64("before", uint64(s.era)),
			slog.Int("servers", len(s.servers)), slog.Int("vms", len(s.members)), slog.Int("zones_out", len(s.zonesOut)), slog.Duration("grace", storeReturnGrace),
			slog.Duration("lost", s.read.ageAfter(now, position.Revision())))
	}
	if era != s.era {
		s.read = readHistory{}
	}
	s.era = era
	s.read.add(now, position.Revision())
	return true
}
