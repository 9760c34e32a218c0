// Package snap records the index versions that backend servers report, and
// selects the version that a request is pinned to.
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
	// defaultProbeInterval is the minimum time between two probes of a server
	// that holds no shard of the pinned version.
	defaultProbeInterval = time.Second
	// unreportedProbeInterval is the minimum time between two probes of a server
	// that has not reported its index versions.
	unreportedProbeInterval = 100 * time.Millisecond
	// maxFirstReportWait is the time after the first probe of a server for which
	// requests wait for its first report.
	maxFirstReportWait = 500 * time.Millisecond
)

// maxShards limits the number of shards of one version. Holdings that claim more
// are discarded.
const maxShards = 1 << 16

// Options configures a Table. The zero value selects the defaults.
type Options struct {
	// ProbeInterval is the minimum time between two probes of a server. 0 means
	// one second. For servers that have not reported it is at most 100 ms.
	ProbeInterval time.Duration
}

// Table holds the index versions that each server reported. It is safe for
// concurrent use.
type Table struct {
	options Options

	mu      sync.Mutex
	servers map[ident.ServerID]*serverRecord
	plans   map[ident.ServiceID]cachedPlan
	// changeCounts counts the changes of each service's holdings, to invalidate
	// cached plans.
	changeCounts map[ident.ServiceID]uint64
}

// serverRecord is what is known of one server.
type serverRecord struct {
	// reported is set once the server itself reported its holdings. Without it,
	// holdings come from ConfirmHolding.
	reported bool
	holdings []msgs.Holding
	// firstProbed and lastProbed are the times of the first and the last probe.
	firstProbed time.Time
	lastProbed  time.Time
}

// cachedPlan is a plan that is valid while config and changeCount are current.
type cachedPlan struct {
	config      *view.Config
	changeCount uint64
	plan        *Plan
}

// New returns an empty table.
func New(options Options) *Table {
	if options.ProbeInterval == 0 {
		options.ProbeInterval = defaultProbeInterval
	}
	return &Table{
		options:      options,
		servers:      map[ident.ServerID]*serverRecord{},
		plans:        map[ident.ServiceID]cachedPlan{},
		changeCounts: map[ident.ServiceID]uint64{},
	}
}

// SetHoldings replaces the holdings of a server with those that it reported.
// Invalid ones are discarded. Empty maps mean that the server holds nothing.
func (t *Table) SetHoldings(service ident.ServiceID, server ident.ServerID, maps []msgs.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.recordLocked(server)
	holdings := validHoldings(maps)
	if record.reported && slices.Equal(record.holdings, holdings) {
		return
	}
	record.reported = true
	record.holdings = holdings
	t.changeCounts[service]++
}

// ConfirmHolding records that a server answered for a shard of a version. It has
// an effect only if that is the version of the service's current plan and no
// holdings of the server are known, because an answer does not show which other
// versions the server holds.
func (t *Table) ConfirmHolding(service ident.ServiceID, server ident.ServerID, version ident.Version, shard ident.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.recordLocked(server)
	if len(record.holdings) > 0 {
		return
	}
	plan := t.plans[service].plan
	if plan == nil || plan.Version == 0 || plan.Version != version {
		return
	}
	record.holdings = validHoldings([]msgs.Holding{{
		Version: uint64(version), Shard: uint32(shard), Shards: uint32(plan.Shards),
	}})
	t.changeCounts[service]++
}

// Pin returns the plan for the newest version of which each shard has a server,
// or if there is none, for the version with the best coverage. Servers that are
// out are not used. The plan must not be changed.
func (t *Table) Pin(config *view.Config, doc *svcdoc.Document) *Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planLocked(config, doc)
}

// DueProbes returns the servers to probe now: those that hold no shard of the
// pinned version and were not returned within the probe interval. It counts them
// as probed at now.
func (t *Table) DueProbes(now time.Time, config *view.Config, doc *svcdoc.Document) []*svcdoc.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*svcdoc.Server
	for _, server := range t.planLocked(config, doc).unusedServers {
		record := t.recordLocked(server.ID)
		if !record.probeDue(now, t.options.ProbeInterval) {
			continue
		}
		record.lastProbed = now
		if record.firstProbed.IsZero() {
			record.firstProbed = now
		}
		due = append(due, server)
	}
	return due
}

// AwaitingFirstReport reports whether a server that has not reported its holdings
// was not probed yet or first probed less than maxFirstReportWait ago.
func (t *Table) AwaitingFirstReport(now time.Time, config *view.Config, doc *svcdoc.Document) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.planLocked(config, doc).unusedServers {
		record := t.recordLocked(server.ID)
		if !record.reported && (record.firstProbed.IsZero() || now.Sub(record.firstProbed) < maxFirstReportWait) {
			return true
		}
	}
	return false
}

// MostHeldVersion returns the version in which the largest number of the given
// servers hold the shard, the newest of several such versions, or 0 if no server
// is known to hold it.
func (t *Table) MostHeldVersion(servers []*svcdoc.Server, shard ident.Shard) ident.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[ident.Version]int{}
	for _, server := range servers {
		record := t.servers[server.ID]
		if record == nil {
			continue
		}
		for _, holding := range record.holdings {
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

// Holdings returns a copy of the holdings that each server reported, for the
// state dump.
func (t *Table) Holdings() map[ident.ServerID][]msgs.Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	holdings := make(map[ident.ServerID][]msgs.Holding, len(t.servers))
	for id, record := range t.servers {
		if record.reported {
			holdings[id] = append([]msgs.Holding(nil), record.holdings...)
		}
	}
	return holdings
}

// planLocked returns the cached plan, or computes it if the config or the
// holdings have changed.
func (t *Table) planLocked(config *view.Config, doc *svcdoc.Document) *Plan {
	changeCount := t.changeCounts[doc.Service]
	cached, ok := t.plans[doc.Service]
	if ok && cached.config == config && cached.changeCount == changeCount {
		return cached.plan
	}
	plan := t.computePlanLocked(config, doc)
	t.plans[doc.Service] = cachedPlan{config: config, changeCount: changeCount, plan: plan}
	return plan
}

func (t *Table) recordLocked(id ident.ServerID) *serverRecord {
	record := t.servers[id]
	if record == nil {
		record = &serverRecord{}
		t.servers[id] = record
	}
	return record
}

func (r *serverRecord) probeDue(now time.Time, interval time.Duration) bool {
	if !r.reported {
		interval = min(interval, unreportedProbeInterval)
	}
	return r.lastProbed.IsZero() || now.Sub(r.lastProbed) >= interval
}

// validHoldings returns a copy of the maps without those that are out of range.
func validHoldings(maps []msgs.Holding) []msgs.Holding {
	var holdings []msgs.Holding
	for _, h := range maps {
		if h.Version != 0 && h.Shard < h.Shards && h.Shards <= maxShards {
			holdings = append(holdings, h)
		}
	}
	return holdings
}
