package snap

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Plan says where the shards of one index version are. It is immutable.
type Plan struct {
	// Version is the pinned version. 0 means that no server has told of any.
	Version ident.Version
	// Shards is the number of shards of the version, also of those that no
	// server holds.
	Shards int
	// Covered is the number of shards that some server holds.
	Covered int
	// Replicas lists the servers of each shard in the document's order.
	Replicas [][]*svcdoc.Server

	unused []*svcdoc.Server
}

// Complete reports whether all shards can be served.
func (p *Plan) Complete() bool {
	return p.Version != 0 && p.Covered == p.Shards
}

// edition collects the replicas of one version while a plan is computed.
type edition struct {
	version  ident.Version
	shards   int
	covered  int
	replicas map[uint32][]*svcdoc.Server
}

func (e *edition) add(holding msgs.Holding, server *svcdoc.Server) {
	if int(holding.Shards) > e.shards {
		e.shards = int(holding.Shards)
	}
	if len(e.replicas[holding.Shard]) == 0 {
		e.covered++
	}
	e.replicas[holding.Shard] = append(e.replicas[holding.Shard], server)
}

// betterThan orders complete versions before incomplete ones, complete ones by
// age, and incomplete ones by coverage.
func (e *edition) betterThan(other *edition) bool {
	if other == nil {
		return true
	}
	complete, otherComplete := e.covered == e.shards, other.covered == other.shards
	if complete != otherComplete {
		return complete
	}
	left, right := e.covered*other.shards, other.covered*e.shards
	if !complete && left != right {
		return left > right
	}
	return e.version > other.version
}

func (t *Table) computeLocked(config *view.Config, doc *svcdoc.Document) *Plan {
	editions := map[ident.Version]*edition{}
	for i := range doc.Servers {
		server := &doc.Servers[i]
		known := t.servers[server.ID]
		if known == nil || config.ServerOut(server) {
			continue
		}
		for _, holding := range known.maps {
			editionOf(editions, holding).add(holding, server)
		}
	}
	var best *edition
	for _, candidate := range editions {
		if candidate.betterThan(best) {
			best = candidate
		}
	}
	return newPlan(config, doc, best)
}

func editionOf(editions map[ident.Version]*edition, holding msgs.Holding) *edition {
	version := ident.Version(holding.Version)
	e := editions[version]
	if e == nil {
		e = &edition{version: version, replicas: map[uint32][]*svcdoc.Server{}}
		editions[version] = e
	}
	return e
}

func newPlan(config *view.Config, doc *svcdoc.Document, best *edition) *Plan {
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
			plan.unused = append(plan.unused, server)
		}
	}
	return plan
}
