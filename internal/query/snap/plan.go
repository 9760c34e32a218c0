package snap

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Plan lists the servers that hold the shards of one index version. It is
// immutable.
type Plan struct {
	// Version is the pinned version. 0 means that no version is known.
	Version ident.Version
	// Shards is the number of shards of the version, including those that no
	// server holds. If Version is 0, it is that of the service document.
	Shards int
	// Covered is the number of shards that at least one server holds.
	Covered int
	// Replicas lists the servers of each shard, in the order of the service
	// document. It is nil if Version is 0.
	Replicas [][]*svcdoc.Server

	// unusedServers lists the servers that hold no shard of the version.
	unusedServers []*svcdoc.Server
}

// Complete reports whether each shard of the version has at least one server.
func (p *Plan) Complete() bool {
	return p.Version != 0 && p.Covered == p.Shards
}

// candidate collects the replicas of one version while a plan is computed.
type candidate struct {
	version  ident.Version
	shards   int
	covered  int
	replicas map[uint32][]*svcdoc.Server
}

func (c *candidate) addReplica(holding msgs.Holding, server *svcdoc.Server) {
	if int(holding.Shards) > c.shards {
		c.shards = int(holding.Shards)
	}
	if len(c.replicas[holding.Shard]) == 0 {
		c.covered++
	}
	c.replicas[holding.Shard] = append(c.replicas[holding.Shard], server)
}

// betterThan prefers complete versions to incomplete ones, the newer of two
// complete ones, and the better covered of two incomplete ones. At equal coverage
// it prefers the newer.
func (c *candidate) betterThan(other *candidate) bool {
	if other == nil {
		return true
	}
	complete, otherComplete := c.covered == c.shards, other.covered == other.shards
	if complete != otherComplete {
		return complete
	}
	left, right := c.covered*other.shards, other.covered*c.shards
	if !complete && left != right {
		return left > right
	}
	return c.version > other.version
}

func (t *Table) computePlanLocked(config *view.Config, doc *svcdoc.Document) *Plan {
	candidates := map[ident.Version]*candidate{}
	for i := range doc.Servers {
		server := &doc.Servers[i]
		record := t.servers[server.ID]
		if record == nil || config.ServerOut(server) {
			continue
		}
		for _, holding := range record.holdings {
			candidateFor(candidates, holding).addReplica(holding, server)
		}
	}
	var best *candidate
	for _, c := range candidates {
		if c.betterThan(best) {
			best = c
		}
	}
	return newPlan(config, doc, best)
}

// candidateFor returns the candidate of the holding's version, which it adds if
// it is missing.
func candidateFor(candidates map[ident.Version]*candidate, holding msgs.Holding) *candidate {
	version := ident.Version(holding.Version)
	c := candidates[version]
	if c == nil {
		c = &candidate{version: version, replicas: map[uint32][]*svcdoc.Server{}}
		candidates[version] = c
	}
	return c
}

func newPlan(config *view.Config, doc *svcdoc.Document, best *candidate) *Plan {
	plan := &Plan{Shards: doc.Shards()}
	used := map[ident.ServerID]bool{}
	if best != nil {
		plan.Version = best.version
		plan.Shards = best.shards
		plan.Covered = best.covered
		plan.Replicas = make([][]*svcdoc.Server, best.shards)
		for shard, servers := range best.replicas {
			plan.Replicas[shard] = servers
			for _, server := range servers {
				used[server.ID] = true
			}
		}
	}
	for i := range doc.Servers {
		server := &doc.Servers[i]
		if !used[server.ID] && !config.ServerOut(server) {
			plan.unusedServers = append(plan.unusedServers, server)
		}
	}
	return plan
}
