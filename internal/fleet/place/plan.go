package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// loadFactor is the maximum number of groups of a VM relative to the average.
const loadFactor = 1.25

// Candidates returns the members that may be preferred as owners: those that are
// not leaving and whose VM and zone are not out of service.
func Candidates(members []view.Member, c *view.Config) []view.Member {
	var candidates []view.Member
	for _, m := range members {
		_, vmOut := c.VMsOut[m.Process.VM]
		_, zoneOut := c.ZonesOut[m.Zone]
		if !m.Leaving && !vmOut && !zoneOut {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// Plan returns the preferred owner of each group among the candidates, by
// rendezvous hashing with bounded load. It avoids, in this order of priority, VMs
// that own another replica of one of the group's shards, VMs outside the group's
// zone, other zones in which such a replica is owned, and VMs at their load limit.
// Without candidates the plan is empty.
func Plan(candidates []view.Member, groups []view.Group) map[ident.GroupID]ident.VMID {
	if len(candidates) == 0 {
		return map[ident.GroupID]ident.VMID{}
	}
	p := newPlanner(candidates, groups)
	for _, g := range p.sorted(groups) {
		p.place(g)
	}
	return p.owners
}

// planner is the state of one call of Plan. replicas maps a shard to the indexes of
// the nodes that own a replica of it.
type planner struct {
	nodes    []node
	replicas map[shardKey][]int
	owners   map[ident.GroupID]ident.VMID
}

// node is a candidate with its load and the limit of its load, in groups.
type node struct {
	vm    ident.VMID
	zone  ident.Zone
	hash  uint64
	load  int
	limit int
}

// shardKey identifies a shard of a service.
type shardKey struct {
	service ident.ServiceID
	shard   ident.Shard
}

// cost orders the candidates for a group. The one with the lowest cost is chosen,
// and among equal ones the one with the highest score.
type cost struct {
	ownsReplica   bool
	otherZone     bool
	replicaInZone bool
	overLimit     bool
	score         uint64
}

func (c cost) compare(d cost) int {
	return cmp.Or(
		coll.CompareBools(c.ownsReplica, d.ownsReplica),
		coll.CompareBools(c.otherZone, d.otherZone),
		coll.CompareBools(c.replicaInZone, d.replicaInZone),
		coll.CompareBools(c.overLimit, d.overLimit),
		cmp.Compare(d.score, c.score),
	)
}

func newPlanner(candidates []view.Member, groups []view.Group) *planner {
	p := &planner{
		nodes:    make([]node, len(candidates)),
		replicas: map[shardKey][]int{},
		owners:   make(map[ident.GroupID]ident.VMID, len(groups)),
	}
	vms := map[ident.Zone]int{}
	for i, m := range candidates {
		vms[m.Zone]++
		vm := m.Process.VM
		p.nodes[i] = node{vm: vm, zone: m.Zone, hash: xxhash.Sum64String(string(vm))}
	}
	p.setLimits(vms, groups)
	return p
}

// setLimits sets the load limit of each node from its share of the groups of its
// zone and of the groups whose zone has no candidate.
func (p *planner) setLimits(vms map[ident.Zone]int, groups []view.Group) {
	inZone := map[ident.Zone]int{}
	groupsWithoutVM := 0
	for _, g := range groups {
		if vms[g.Zone] == 0 {
			groupsWithoutVM++
			continue
		}
		inZone[g.Zone]++
	}
	extraLimit := maxGroups(groupsWithoutVM, len(p.nodes))
	for i := range p.nodes {
		n := &p.nodes[i]
		n.limit = maxGroups(inZone[n.zone], vms[n.zone]) + extraLimit
	}
}

func maxGroups(groups, vms int) int {
	return int(math.Ceil(loadFactor * float64(groups) / float64(vms)))
}

// sorted returns the groups in the order of placement: those with a candidate in
// their zone first, then by hash.
func (p *planner) sorted(groups []view.Group) []*view.Group {
	zones := map[ident.Zone]bool{}
	for _, n := range p.nodes {
		zones[n.zone] = true
	}
	sorted := make([]*view.Group, len(groups))
	for i := range groups {
		sorted[i] = &groups[i]
	}
	slices.SortFunc(sorted, func(a, b *view.Group) int {
		return cmp.Or(
			coll.CompareBools(zones[b.Zone], zones[a.Zone]),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return sorted
}

func (p *planner) place(g *view.Group) {
	hash := xxhash.Sum64String(string(g.ID))
	replicaVMs, replicaZones := p.replicaOwners(g)
	best, bestCost := -1, cost{}
	for i, n := range p.nodes {
		c := cost{
			ownsReplica: replicaVMs[n.vm],
			otherZone:   n.zone != g.Zone,
			overLimit:   n.load >= n.limit,
			score:       mix(hash, n.hash),
		}
		c.replicaInZone = c.otherZone && replicaZones[n.zone]
		if best < 0 || c.compare(bestCost) < 0 {
			best, bestCost = i, c
		}
	}
	p.assign(g, best)
}

func (p *planner) assign(g *view.Group, chosen int) {
	p.nodes[chosen].load++
	p.owners[g.ID] = p.nodes[chosen].vm
	for _, server := range g.Servers {
		key := shardKey{g.Service, server.Shard}
		p.replicas[key] = append(p.replicas[key], chosen)
	}
}

// replicaOwners returns the VMs that already own a replica of a shard of g, and
// their zones.
func (p *planner) replicaOwners(g *view.Group) (map[ident.VMID]bool, map[ident.Zone]bool) {
	vms, zones := map[ident.VMID]bool{}, map[ident.Zone]bool{}
	for _, server := range g.Servers {
		for _, i := range p.replicas[shardKey{g.Service, server.Shard}] {
			vms[p.nodes[i].vm] = true
			zones[p.nodes[i].zone] = true
		}
	}
	return vms, zones
}
