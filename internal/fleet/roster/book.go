package roster

import (
	"cmp"
	"encoding/json"
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
	// prefixServing and prefixStandby begin those of VMs that serve callers, and that
	// stand by. A VM that stands by follows the former alone.
	prefixServing = PrefixMembers + "serving/"
	prefixStandby = PrefixMembers + "standby/"
)

// ServingKey returns the key under which a VM registers while it serves callers.
func ServingKey(vm ident.VMID) string {
	return prefixServing + string(vm)
}

// key returns the key under which a VM registers.
func (m *Member) key() string {
	if m.Serving {
		return ServingKey(m.VM)
	}
	return prefixStandby + string(m.VM)
}

// memberOf returns the VM that registers under a key.
func memberOf(key string) ident.VMID {
	return ident.VMID(key[strings.LastIndexByte(key, '/')+1:])
}

const (
	// lapseGrace is the time after the return of the store within which
	// registrations that lapsed meanwhile are back: about 2 s by the
	// platform's word, and the delay of a watch.
	lapseGrace = 2300 * time.Millisecond
	// memberGrace is the time for which a VM stays known after its
	// registration lapsed, so that a lost lease alone changes no address list.
	memberGrace = 700 * time.Millisecond
)

// State holds the beliefs of a VM. It is a state machine without clock or
// store, and not safe for concurrent use.
type State struct {
	self   ident.VMID
	reader Decoder
	events *events.Recorder

	table   *routes.Table
	servers map[ident.ServerID]*record[Replica]
	members map[ident.VMID]*record[Member]
	// zonesOut holds the key of each zone that is out of service.
	zonesOut map[ident.Zone]string

	// begun is set once all keys were read. What the first reading holds is told in one
	// line, since a large fleet has thousands of registrations.
	begun bool
	// lost is set while the store does not answer.
	lost bool
	// graceUntil ends the time in which a missing registration may come back.
	graceUntil time.Time
	view       *View
	changed    bool
}

// record is one registration. It is removed at removeAt unless it comes back;
// the zero time means that it is present.
type record[T any] struct {
	value    T
	key      string
	revision ident.Revision
	removeAt time.Time
}

// NewState returns a book without beliefs for the VM self. recorder may be nil.
func NewState(self ident.VMID, reader Decoder, recorder *events.Recorder) *State {
	b := &State{
		self:     self,
		reader:   reader,
		events:   recorder,
		servers:  map[ident.ServerID]*record[Replica]{},
		members:  map[ident.VMID]*record[Member]{},
		zonesOut: map[ident.Zone]string{},
		changed:  true,
	}
	b.View()
	return b
}

// StoreFailed notes that a call to the store failed.
func (b *State) StoreFailed(now time.Time, reason string) {
	if !b.lost {
		b.events.Record("store_lost", "store", reason)
	}
	b.lost = true
	b.graceUntil = now.Add(lapseGrace)
}

// IsStoreDown reports whether the store does not answer.
func (b *State) IsStoreDown() bool {
	return b.lost
}

// StoreAnswered notes that the store answered.
func (b *State) StoreAnswered(now time.Time) {
	if b.lost {
		b.events.Record("store_regained", "store", "a call was answered")
		b.graceUntil = now.Add(lapseGrace)
	}
	b.lost = false
}

// Load takes a reading of all keys that begin with prefix in place of what was known of
// them.
func (b *State) Load(now time.Time, prefix string, batch depot.Batch) {
	b.StoreAnswered(now)
	present := make(coll.Set[string], len(batch.Items))
	missing := func(key string) bool { return strings.HasPrefix(key, prefix) && !present.Has(key) }
	for _, item := range batch.Items {
		present.Add(item.Key)
		b.take(now, item)
	}
	for id, r := range b.servers {
		if missing(r.key) {
			b.dropServer(now, id, r)
		}
	}
	for vm, r := range b.members {
		// A registration of this VM may be newer than the reading.
		if missing(r.key) && r.revision <= batch.Revision {
			b.dropMember(now, vm, r)
		}
	}
	for zone, key := range b.zonesOut {
		if missing(key) {
			b.returnZone(zone)
		}
	}
	if !b.begun && prefix == watchAll {
		b.begun = true
		b.events.Record("store_read", string(b.self), "first reading",
			slog.Int("servers", len(b.servers)), slog.Int("vms", len(b.members)), slog.Uint64("revision", uint64(batch.Revision)))
	}
	b.RemoveExpired(now)
}

// Apply takes changes that a watch told.
func (b *State) Apply(now time.Time, batch depot.Batch) {
	b.StoreAnswered(now)
	var configs []depot.Item
	for _, item := range batch.Items {
		switch {
		case item.Deleted:
			b.remove(now, item)
		case b.isConfig(item):
			configs = append(configs, item)
		default:
			b.take(now, item)
		}
	}
	// Of many configurations only the last one that can be used is worth the time
	// that it takes to read it.
	for _, item := range slices.Backward(configs) {
		if b.takeConfig(item) {
			break
		}
	}
	b.RemoveExpired(now)
}

func (b *State) isConfig(item depot.Item) bool {
	kind, _ := b.reader.ParseKey(item.Key)
	return kind == KindConfig
}

// RemoveExpired forgets the registrations whose time to come back is over.
func (b *State) RemoveExpired(now time.Time) {
	for id, r := range b.servers {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(b.servers, id)
			b.changed = true
			b.events.Record("server_gone", string(id), "registration lapsed", slog.String("service", string(r.value.Service)))
		}
	}
	for vm, r := range b.members {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(b.members, vm)
			b.changed = true
			b.events.Record("vm_gone", string(vm), "registration lapsed")
		}
	}
}

// OwnRegistration returns the VM's own registration in the store, or nil.
func (b *State) OwnRegistration() *Member {
	r, ok := b.members[b.self]
	if !ok || !r.removeAt.IsZero() {
		return nil
	}
	return &r.value
}

// View returns the present beliefs.
func (b *State) View() *View {
	if !b.changed {
		return b.view
	}
	b.changed = false
	replicas := make([]*Replica, 0, len(b.servers))
	for _, r := range b.servers {
		replica := r.value
		replicas = append(replicas, &replica)
	}
	var members []Member
	for _, r := range b.members {
		if !r.value.Leaving {
			members = append(members, r.value)
		}
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.VM, y.VM) })
	b.view = NewView(b.table, replicas, members, coll.NewSet(slices.Collect(maps.Keys(b.zonesOut))...))
	return b.view
}

func (b *State) take(now time.Time, item depot.Item) {
	if strings.HasPrefix(item.Key, PrefixMembers) {
		b.takeMember(item)
		return
	}
	switch kind, name := b.reader.ParseKey(item.Key); kind {
	case KindConfig:
		b.takeConfig(item)
	case KindServer:
		b.takeServer(now, name, item)
	case KindZoneOut:
		b.takeZone(ident.Zone(name), item.Key)
	default:
	}
}

// takeConfig puts a configuration in force unless it is older than that in
// force, or can't be used.
func (b *State) takeConfig(item depot.Item) (usable bool) {
	config, err := b.reader.Config(item.Value)
	if err != nil {
		b.events.Record("config_unusable", item.Key, err.Error(), slog.Uint64("revision", uint64(item.Revision)))
		return false
	}
	if b.table != nil && config.Version <= b.table.Config().Version {
		return true
	}
	table, err := routes.NewTable(config)
	if err != nil {
		b.events.Record("config_unusable", item.Key, err.Error(), slog.Uint64("version", uint64(config.Version)))
		return false
	}
	b.table = table
	b.changed = true
	b.events.Record("config_in_force", item.Key, "newer version",
		slog.Uint64("version", uint64(config.Version)), slog.Int("routes", len(config.Routes)), slog.Uint64("revision", uint64(item.Revision)))
	return true
}

func (b *State) takeServer(now time.Time, id string, item depot.Item) {
	server, err := b.reader.Server(id, item.Value)
	known := b.servers[ident.ServerID(id)]
	if err != nil {
		b.events.Record("registration_unusable", id, err.Error())
		if known != nil && known.revision < item.Revision {
			b.forgetServer(ident.ServerID(id), "its registration can't be read")
		}
		return
	}
	if known != nil && outdated(known, &server, item.Revision) {
		return
	}
	if b.begun && (known == nil || known.value.Draining != server.Draining || !known.value.SameProcess(&server) || !known.removeAt.IsZero()) {
		b.events.Record("server_known", id, "registration", slog.String("service", string(server.Service)),
			slog.String("address", server.Address), slog.Bool("draining", server.Draining), slog.Duration("cold", server.ColdFor))
	}
	b.servers[server.ID] = &record[Replica]{
		value:    Replica{Server: server, ColdUntil: now.Add(server.ColdFor)},
		key:      item.Key,
		revision: item.Revision,
	}
	b.changed = true
}

// outdated reports whether a registration is older than the one known: an
// earlier revision, an earlier process, or an earlier word of the same process.
func outdated(known *record[Replica], server *Server, revision ident.Revision) bool {
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

func (b *State) takeZone(zone ident.Zone, key string) {
	if _, out := b.zonesOut[zone]; out {
		b.zonesOut[zone] = key
		return
	}
	b.zonesOut[zone] = key
	b.changed = true
	b.events.Record("zone_out", string(zone), "operator")
}

func (b *State) returnZone(zone ident.Zone) {
	if _, out := b.zonesOut[zone]; !out {
		return
	}
	delete(b.zonesOut, zone)
	b.changed = true
	b.events.Record("zone_in", string(zone), "operator")
}

func (b *State) takeMember(item depot.Item) {
	var member Member
	if err := json.Unmarshal(item.Value, &member); err != nil {
		b.events.Record("member_unusable", item.Key, err.Error())
		return
	}
	known := b.members[member.VM]
	if known != nil && item.Revision < known.revision {
		return
	}
	if known == nil || known.value != member || !known.removeAt.IsZero() {
		b.changed = true
		if b.begun {
			b.events.Record("vm_known", string(member.VM), "registration", slog.String("address", member.CallerAddress), slog.Bool("leaving", member.Leaving))
		}
	}
	b.members[member.VM] = &record[Member]{value: member, key: item.Key, revision: item.Revision}
}

func (b *State) remove(now time.Time, item depot.Item) {
	if strings.HasPrefix(item.Key, PrefixMembers) {
		// A VM whose duty changes registers under another key before or after.
		vm := memberOf(item.Key)
		if r, ok := b.members[vm]; ok && r.key == item.Key && r.revision < item.Revision {
			b.dropMember(now, vm, r)
		}
		return
	}
	switch kind, name := b.reader.ParseKey(item.Key); kind {
	case KindServer:
		if r, ok := b.servers[ident.ServerID(name)]; ok && r.revision < item.Revision {
			b.dropServer(now, ident.ServerID(name), r)
		}
	case KindZoneOut:
		b.returnZone(ident.Zone(name))
	default:
	}
}

// dropServer forgets a backend server whose registration is missing. Within
// the grace after an outage of the store it may come back.
func (b *State) dropServer(now time.Time, id ident.ServerID, r *record[Replica]) {
	if now.Before(b.graceUntil) && !r.value.Draining {
		if r.removeAt.IsZero() {
			r.removeAt = b.graceUntil
		}
		return
	}
	b.forgetServer(id, "its registration was removed")
}

func (b *State) forgetServer(id ident.ServerID, reason string) {
	r := b.servers[id]
	delete(b.servers, id)
	b.changed = true
	b.events.Record("server_gone", string(id), reason, slog.String("service", string(r.value.Service)))
}

// dropMember keeps a VM whose registration lapsed for a while. One that said
// that it leaves is forgotten at once.
func (b *State) dropMember(now time.Time, vm ident.VMID, r *record[Member]) {
	if r.value.Leaving {
		delete(b.members, vm)
		b.changed = true
		return
	}
	if r.removeAt.IsZero() {
		r.removeAt = now.Add(memberGrace)
		if b.graceUntil.After(r.removeAt) {
			r.removeAt = b.graceUntil
		}
	}
}
