package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

const (
	// usableConnectionShare is the part of a backend server's connections that the fleet
	// uses. The rest is for connections that are being replaced.
	usableConnectionShare = 0.8
	// connectionsPerServingVM is the number of connections to each backend server that a
	// serving VM should have. With fewer serving VMs, each connection is used often
	// enough that backend servers don't close it as idle, and each VM measures a server's
	// speed on more responses.
	connectionsPerServingVM = 6
	// minServing is enough VMs to serve callers while some VMs or a whole zone are lost.
	minServing = 6
	// maxServing is the largest number of addresses that callers read from a list.
	maxServing = 64
)

// TargetServingCount returns how many VMs should serve callers: as many as get
// connectionsPerServingVM connections to each backend server of the service with the
// fewest connections, within fixed bounds. table may be nil.
func TargetServingCount(table *routes.Table) int {
	if table == nil {
		return minServing
	}
	fewest := 0
	for id, service := range table.Config().Services {
		if table.UsesService(id) && (fewest == 0 || service.Connections < fewest) {
			fewest = service.Connections
		}
	}
	return min(max(int(usableConnectionShare*float64(fewest)/connectionsPerServingVM), minServing), maxServing)
}

// SelectServing selects up to count members to serve callers, spread evenly over the
// zones. Within a zone, members that serve already come first, then those with more
// cores.
func SelectServing(members []Member, count int) coll.Set[ident.VMID] {
	zones := map[ident.Zone][]Member{}
	for _, m := range members {
		if !m.Leaving {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	order := slices.SortedFunc(maps.Keys(zones), func(a, b ident.Zone) int { return cmp.Compare(hash(string(a)), hash(string(b))) })
	for _, zone := range order {
		slices.SortFunc(zones[zone], comparePreference)
	}
	selected := coll.NewSet[ident.VMID]()
	for rank := 0; len(selected) < count; rank++ {
		added := false
		for _, zone := range order {
			if rank >= len(zones[zone]) || len(selected) >= count {
				continue
			}
			added = true
			selected.Add(zones[zone][rank].VM)
		}
		if !added {
			break
		}
	}
	return selected
}

// comparePreference orders the members of a zone for the selection, the preferred ones
// first.
func comparePreference(a, b Member) int {
	if a.Serving != b.Serving {
		if a.Serving {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(hash(string(a.VM)), hash(string(b.VM))))
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}
