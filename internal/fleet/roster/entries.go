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
	// connectionsUsed is the part of a backend server's connections that the
	// fleet uses. The rest is left to connections that are being replaced.
	connectionsUsed = 0.8
	// connectionsPerEntry is the number of connections to each backend server
	// that a VM should have. Fewer VMs that serve use each connection often
	// enough that backend servers do not close it as idle, and know each
	// server's speed from more answers.
	connectionsPerEntry = 6
	// minEntries keeps callers served while VMs or a zone are lost.
	minEntries = 6
	// maxEntries is the largest number of addresses that callers read of a list.
	maxEntries = 64
)

// TargetServingCount is the number of VMs among which the connections of backend
// servers are divided: as many as get enough connections each. table may be nil.
func TargetServingCount(table *routes.Table) int {
	if table == nil {
		return minEntries
	}
	scarcest := 0
	for id, service := range table.Config().Services {
		if table.Uses(id) && (scarcest == 0 || service.Connections < scarcest) {
			scarcest = service.Connections
		}
	}
	return min(max(int(connectionsUsed*float64(scarcest)/connectionsPerEntry), minEntries), maxEntries)
}

// SelectServing chooses the members that serve callers: count of them, spread evenly
// over the zones; in each zone those that serve already, then those with the
// most processor time.
func SelectServing(members []Member, count int) coll.Set[ident.VMID] {
	zones := map[ident.Zone][]Member{}
	for _, m := range members {
		if !m.Leaving {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	order := slices.SortedFunc(maps.Keys(zones), func(a, b ident.Zone) int { return cmp.Compare(hash(string(a)), hash(string(b))) })
	for _, zone := range order {
		slices.SortFunc(zones[zone], preferred)
	}
	chosen := coll.NewSet[ident.VMID]()
	for rank := 0; len(chosen) < count; rank++ {
		left := false
		for _, zone := range order {
			if rank >= len(zones[zone]) || len(chosen) >= count {
				continue
			}
			left = true
			chosen.Add(zones[zone][rank].VM)
		}
		if !left {
			break
		}
	}
	return chosen
}

// preferred orders the members of a zone.
func preferred(a, b Member) int {
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
