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
	// maxGroupSize is the maximum number of backend servers of a group.
	maxGroupSize = 5
	// targetGroupSize is the average group size from which the number of groups is
	// computed.
	targetGroupSize = 4
)

// Groups divides the backend servers of a configuration into groups, each of one
// service and one zone. The servers of a group are in the order of the service's
// document. Servers and zones that are out of service are grouped like all others,
// so that group ids don't change.
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

// partition divides the servers into parts of targetGroupSize on average. It uses
// rendezvous hashing, so that few servers move to another part when a server is
// added or removed. A server goes to the part with the highest score that is not
// full and has no replica of its shard.
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

// bestPart returns the index of the part with the highest score that has room for
// the server and no replica of its shard, or -1.
func bestPart(parts [][]svcdoc.Server, server svcdoc.Server) int {
	best, bestScore := -1, uint64(0)
	for i, part := range parts {
		if len(part) >= maxGroupSize || containsShard(part, server.Shard) {
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

func containsShard(servers []svcdoc.Server, shard ident.Shard) bool {
	return slices.ContainsFunc(servers, func(s svcdoc.Server) bool { return s.Shard == shard })
}
