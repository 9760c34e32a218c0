package place

import (
	"fmt"
	"maps"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// maxGroupSize bounds the number of backend servers of a group.
const maxGroupSize = 5

// Groups divides the backend servers of a configuration into groups of one
// service and one zone, in the order of the documents. Servers and zones that
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
			groups = append(groups, view.Group{
				ID:      ident.GroupID(fmt.Sprintf("%s/%s/%d", doc.Service, zone, i)),
				Service: doc.Service,
				Zone:    zone,
				Servers: servers,
			})
		}
	}
	return groups
}

// partition puts each server into the first part that has room and lacks the
// server's shard.
func partition(servers []svcdoc.Server) [][]svcdoc.Server {
	var parts [][]svcdoc.Server
	for _, server := range servers {
		i := slices.IndexFunc(parts, func(part []svcdoc.Server) bool {
			return len(part) < maxGroupSize && !holdsShard(part, server.Shard)
		})
		if i < 0 {
			parts = append(parts, nil)
			i = len(parts) - 1
		}
		parts[i] = append(parts[i], server)
	}
	return parts
}

func holdsShard(servers []svcdoc.Server, shard ident.Shard) bool {
	return slices.ContainsFunc(servers, func(s svcdoc.Server) bool { return s.Shard == shard })
}
