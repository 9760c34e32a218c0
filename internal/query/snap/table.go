// Package snap keeps what an entry knows of the index versions that backend
// servers hold, and pins one version per query.
package snap

import (
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// defaultProbeInterval is the time between two probes of a server that the
	// pinned version does not use.
	defaultProbeInterval = time.Second
	// untoldProbeInterval is the time between two probes of a server that has
	// told nothing yet.
	untoldProbeInterval = 100 * time.Millisecond
	// awaitAtMost is the time for which queries wait for the first answer of a
	// server.
	awaitAtMost = 500 * time.Millisecond
)

// maxShards is the largest number of shards of one version that is believed.
const maxShards = 1 << 16

// Options tunes a Table. The zero value is useful.
type Options struct {
	// ProbeInterval is the least time between two probes of one server. 0
	// means one second.
	ProbeInterval time.Duration
}

// Table holds the index versions of all known servers. It is safe for
// concurrent use.
type Table struct {
	options Options

	mu      sync.Mutex
	servers map[ident.ServerID]*knowledge
	plans   map[ident.ServiceID]cachedPlan
	changes map[ident.ServiceID]uint64
}

// knowledge is what one server told of itself.
type knowledge struct {
	told bool
	maps []msgs.Holding
	// firstProbed and probed are the times of the first and the last probe.
	firstProbed time.Time
	probed      time.Time
}

// cachedPlan is a plan with what it was computed from.
type cachedPlan struct {
	config  *view.Config
	changes uint64
	plan    *Plan
}

// New returns an empty table.
func New(options Options) *Table {
	if options.ProbeInterval == 0 {
		options.ProbeInterval = defaultProbeInterval
	}
	return &Table{
		options: options,
		servers: map[ident.ServerID]*knowledge{},
		plans:   map[ident.ServiceID]cachedPlan{},
		changes: map[ident.ServiceID]uint64{},
	}
}

// SetHoldings replaces what is known of a server. Empty maps mean that the server
// holds nothing.
func (t *Table) SetHoldings(service ident.ServiceID, server ident.ServerID, maps []msgs.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.serverLocked(server)
	holdings := usable(maps)
	if known.told && slices.Equal(known.maps, holdings) {
		return
	}
	known.told = true
	known.maps = holdings
	t.changes[service]++
}

// ConfirmHolding notes that a server answered for a shard of the pinned version. This
// counts only while nothing else is known of the server, because it says nothing
// of the other versions that it holds.
func (t *Table) ConfirmHolding(service ident.ServiceID, server ident.ServerID, version ident.Version, shard ident.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.serverLocked(server)
	if len(known.maps) > 0 {
		return
	}
	plan := t.plans[service].plan
	if plan == nil || plan.Version == 0 || plan.Version != version {
		return
	}
	known.maps = usable([]msgs.Holding{{
		Version: uint64(version), Shard: uint32(shard), Shards: uint32(plan.Shards),
	}})
	t.changes[service]++
}

// Pin returns the plan for the newest version that all shards of the service
// can serve, or else for the version with the best coverage. The plan must not
// be changed.
func (t *Table) Pin(config *view.Config, doc *svcdoc.Document) *Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planLocked(config, doc)
}

// DueProbes returns the servers that the pinned version does not use and whose
// maps have to be asked for at now. Each is returned once per probe interval.
func (t *Table) DueProbes(now time.Time, config *view.Config, doc *svcdoc.Document) []*svcdoc.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*svcdoc.Server
	for _, server := range t.planLocked(config, doc).unused {
		known := t.serverLocked(server.ID)
		if !known.probeDue(now, t.options.ProbeInterval) {
			continue
		}
		known.probed = now
		if known.firstProbed.IsZero() {
			known.firstProbed = now
		}
		due = append(due, server)
	}
	return due
}

// AwaitingFirstReport reports whether a server of the service, not probed yet or probed
// lately, has still to tell what it holds.
func (t *Table) AwaitingFirstReport(now time.Time, config *view.Config, doc *svcdoc.Document) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.planLocked(config, doc).unused {
		known := t.serverLocked(server.ID)
		if !known.told && (known.firstProbed.IsZero() || now.Sub(known.firstProbed) < awaitAtMost) {
			return true
		}
	}
	return false
}

// MostHeldVersion returns the version in which the most of the servers hold the
// shard, the newest of equals, or 0 if none is known to hold it.
func (t *Table) MostHeldVersion(servers []*svcdoc.Server, shard ident.Shard) ident.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[ident.Version]int{}
	for _, server := range servers {
		known := t.servers[server.ID]
		if known == nil {
			continue
		}
		for _, holding := range known.maps {
			if ident.Shard(holding.Shard) == shard {
				counts[ident.Version(holding.Version)]++
			}
		}
	}
	var best ident.Version
	for version, count := range counts {
		if count > counts[best] || count == counts[best] && version > best {
			best = version
		}
	}
	return best
}

// Holdings returns a copy of what each server told, for the state dump.
func (t *Table) Holdings() map[ident.ServerID][]msgs.Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	holdings := make(map[ident.ServerID][]msgs.Holding, len(t.servers))
	for id, known := range t.servers {
		if known.told {
			holdings[id] = append([]msgs.Holding(nil), known.maps...)
		}
	}
	return holdings
}

func (t *Table) planLocked(config *view.Config, doc *svcdoc.Document) *Plan {
	changes := t.changes[doc.Service]
	cached, ok := t.plans[doc.Service]
	if ok && cached.config == config && cached.changes == changes {
		return cached.plan
	}
	plan := t.computeLocked(config, doc)
	t.plans[doc.Service] = cachedPlan{config: config, changes: changes, plan: plan}
	return plan
}

func (t *Table) serverLocked(id ident.ServerID) *knowledge {
	known := t.servers[id]
	if known == nil {
		known = &knowledge{}
		t.servers[id] = known
	}
	return known
}

func (k *knowledge) probeDue(now time.Time, interval time.Duration) bool {
	if !k.told {
		interval = min(interval, untoldProbeInterval)
	}
	return k.probed.IsZero() || now.Sub(k.probed) >= interval
}

// usable copies the maps without those that are out of range.
func usable(maps []msgs.Holding) []msgs.Holding {
	var holdings []msgs.Holding
	for _, h := range maps {
		if h.Version != 0 && h.Shard < h.Shards && h.Shards <= maxShards {
			holdings = append(holdings, h)
		}
	}
	return holdings
}
