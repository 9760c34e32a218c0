package roster

import (
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
)

// Snapshot is what a VM sends to one that starts while the store is down.
type Snapshot struct {
	Config   *routes.Config `json:"config"`
	Servers  []Server       `json:"servers"`
	Members  []Member       `json:"members"`
	ZonesOut []ident.Zone   `json:"out"`
	// Rollouts are the roll-outs that are ordered.
	Rollouts map[ident.ServiceID]roll.Rollout `json:"rolls,omitempty"`
}

// Snapshot returns the content of the view, or nil while there is no configuration.
func (v *View) Snapshot(now time.Time) *Snapshot {
	if v.Table == nil {
		return nil
	}
	snapshot := &Snapshot{Config: v.Table.Config(), Members: v.Members, ZonesOut: coll.Sorted(v.ZonesOut), Rollouts: v.Rollouts}
	for _, r := range v.servers {
		server := r.Server
		server.ColdFor = max(r.ColdUntil.Sub(now), 0)
		snapshot.Servers = append(snapshot.Servers, server)
	}
	return snapshot
}

// AdoptConfig makes another VM's configuration the current one if its version is newer.
func (s *State) AdoptConfig(config *routes.Config) {
	if s.table != nil && config.Version <= s.table.Config().Version {
		return
	}
	if !s.setConfig(config, "another VM") {
		return
	}
	s.events.Record("config_in_force", "another VM", "newer than in the store", slog.Uint64("version", uint64(config.Version)))
}

// AdoptSnapshot fills the state from another VM's snapshot until the store has been read.
// It reports whether the snapshot could be used. It never goes back to an older
// configuration.
func (s *State) AdoptSnapshot(now time.Time, snapshot *Snapshot) bool {
	if s.allKeysRead || snapshot.Config == nil || s.table != nil && snapshot.Config.Version < s.table.Config().Version {
		return false
	}
	if !s.setConfig(snapshot.Config, "another VM") {
		return false
	}
	for _, server := range snapshot.Servers {
		s.servers[server.ID] = &registration[Replica]{value: Replica{Server: server, ColdUntil: now.Add(server.ColdFor)}}
	}
	for _, m := range snapshot.Members {
		s.members[m.VM] = &registration[Member]{value: m, key: m.key()}
	}
	for _, zone := range snapshot.ZonesOut {
		s.zonesOut[zone] = &zoneMark{}
	}
	for service, adopted := range snapshot.Rollouts {
		// The position in the store is not known, so that this VM decides nothing before it has
		// read the store.
		*s.rolloutOf(service) = rollout{order: &adopted.Order, record: adopted.Record}
	}
	s.events.Record("beliefs_adopted", string(s.self), "the store does not answer",
		slog.Uint64("version", uint64(snapshot.Config.Version)), slog.Int("servers", len(snapshot.Servers)), slog.Int("vms", len(snapshot.Members)))
	return true
}
