package roster

import (
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

// Snapshot is what a VM tells one that starts while the store does not answer.
type Snapshot struct {
	Config   *routes.Config `json:"config"`
	Servers  []Server       `json:"servers"`
	Members  []Member       `json:"members"`
	ZonesOut []ident.Zone   `json:"out"`
}

// Snapshot returns the beliefs of the view, or nil while no configuration is known.
func (v *View) Snapshot(now time.Time) *Snapshot {
	if v.Table == nil {
		return nil
	}
	s := &Snapshot{Config: v.Table.Config(), Members: v.Members, ZonesOut: coll.Sorted(v.ZonesOut)}
	for _, r := range v.servers {
		server := r.Server
		server.ColdFor = max(r.ColdUntil.Sub(now), 0)
		s.Servers = append(s.Servers, server)
	}
	return s
}

// AdoptSnapshot takes the beliefs of another VM until the store has been read. It reports whether
// they can be used.
func (b *State) AdoptSnapshot(now time.Time, s *Snapshot) bool {
	if b.begun || s.Config == nil || b.table != nil && s.Config.Version < b.table.Config().Version {
		return false
	}
	table, err := routes.NewTable(s.Config)
	if err != nil {
		b.events.Record("config_unusable", "another VM", err.Error())
		return false
	}
	b.table, b.changed = table, true
	for _, server := range s.Servers {
		b.servers[server.ID] = &record[Replica]{value: Replica{Server: server, ColdUntil: now.Add(server.ColdFor)}}
	}
	for _, m := range s.Members {
		b.members[m.VM] = &record[Member]{value: m, key: m.key()}
	}
	for _, zone := range s.ZonesOut {
		b.zonesOut[zone] = ""
	}
	b.events.Record("beliefs_adopted", string(b.self), "the store does not answer",
		slog.Uint64("version", uint64(s.Config.Version)), slog.Int("servers", len(s.Servers)), slog.Int("vms", len(s.Members)))
	return true
}
