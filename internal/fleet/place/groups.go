package place

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// maxGroupSize bounds the number of backend servers of a group.
	maxGroupSize = 5
	// targetGroupSize is the average size that the number of groups aims at.
	targetGroupSize = 4
)

// Groups divides the backend servers of a configuration into groups of one
// service and one zone. The servers of a group are in the order of the
// document. Servers and zones that
// are out of service are grouped like all others, so that ids stay the same.
func Groups(c *view.Config) []view.Group {
	var groups []view.Group
	for _, service := range slices.Sorted(maps.Keys(c.Services)) {
		groups = append(groups, serviceGroups(c.Services[service])...)
	}
	return groups
}

func serviceGroups(doc *svcdoc.Document) []view.Group {
	byZone := map[ident.Zone][]svcdoc.Server{}
	for _, server := range doc.Servers {
		byZone[server.Zone] = append(byZone[server.Zone], server)
	}
	var groups []view.Group
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		for i, servers := range partition(byZone[zone]) {
			if len(servers) == 0 {
				continue
			}
			groups = append(groups, view.Group{
				ID:      ident.GroupID(fmt.Sprintf("%s/%s/%d", doc.Service, zone, i)),
				Service: doc.Service,
				Zone:    zone,
				Servers: inOrder(servers, byZone[zone]),
			})
		}
	}
	return groups
}

// partition divides the servers by rendezvous hashing over parts that are on
// average filled to targetGroupSize, so that few servers change their part when
// the document gains or loses one. A server goes to its best part that has room
// and lacks its shard.
func partition(servers []svcdoc.Server) [][]svcdoc.Server {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b svcdoc.Server) int {
		return cmp.Or(cmp.Compare(hashServer(a), hashServer(b)), cmp.Compare(a.ID, b.ID))
	})
	parts := make([][]svcdoc.Server, (len(servers)+targetGroupSize-1)/targetGroupSize)
	for _, server := range servers {
		i := bestPart(parts, server)
		if i < 0 {
			i = len(parts)
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], server)
	}
	return parts
}

// bestPart returns the index of the part with the highest score that can take
// the server, or -1.
func bestPart(parts [][]svcdoc.Server, server svcdoc.Server) int {
	best, bestScore := -1, uint64(0)
	for i, part := range parts {
		if len(part) >= maxGroupSize || holdsShard(part, server.Shard) {
			continue
		}
		if score := mix(hashServer(server), uint64(i)); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func hashServer(s svcdoc.Server) uint64 {
	return xxhash.Sum64String(string(s.ID))
}

// inOrder returns the given servers in the order of all.
func inOrder(servers, all []svcdoc.Server) []svcdoc.Server {
	chosen := coll.NewSet[ident.ServerID]()
	for _, s := range servers {
		chosen.Add(s.ID)
	}
	return slices.DeleteFunc(slices.Clone(all), func(s svcdoc.Server) bool { return !chosen.Has(s.ID) })
}

func holdsShard(servers []svcdoc.Server, shard ident.Shard) bool {
	return slices.ContainsFunc(servers, func(s svcdoc.Server) bool { return s.Shard == shard })
}
