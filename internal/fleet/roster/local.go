package roster

import (
	"cmp"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// leastEntries is the number of VMs below which VMs of any zone serve.
	leastEntries = 4
	// reachPart is the part of the best zone's reach from which VMs of a zone
	// serve.
	reachPart = 0.5
	// maxLean is the most by which requests that stay in their zone load its
	// backend servers above the mean of their service.
	maxLean = 0.3
)

// LocalServiceShares returns for each zone the share of the services in use that have a backend
// server there. A VM reads the rest from other zones.
func (v *View) LocalServiceShares() map[ident.Zone]float64 {
	reach := map[ident.Zone]float64{}
	if v.Table == nil {
		return reach
	}
	services := 0
	for service := range v.Table.Used() {
		services++
		zones := coll.NewSet[ident.Zone]()
		for _, r := range v.replicas[service] {
			if !zones.Has(r.Zone) {
				zones.Add(r.Zone)
				reach[r.Zone]++
			}
		}
	}
	for zone := range reach {
		reach[zone] /= float64(services)
	}
	return reach
}

// LocalRequestShare returns the share of the requests to a service that VMs of a zone keep in
// their zone, as far as the servers there bear it. Callers are spread over the VMs that
// serve, which are not spread as the servers are.
func (v *View) LocalRequestShare(service ident.ServiceID, zone ident.Zone) float64 {
	list := v.replicas[service]
	near := 0
	for _, r := range list {
		if r.Zone == zone {
			near++
		}
	}
	if near == 0 {
		return 0
	}
	servers := float64(near) / float64(len(list))
	callers := servers
	if v.ServingCount > 0 {
		callers = float64(len(v.serving[zone])) / float64(v.ServingCount)
	}
	if callers <= servers {
		return 1
	}
	return min(maxLean*servers/(callers-servers), 1)
}

// TargetServing returns the members that are to serve callers. The set must not be changed.
func (v *View) TargetServing() coll.Set[ident.VMID] {
	v.chosenOnce.Do(func() {
		count := TargetServingCount(v.Table)
		v.chosen = SelectServing(EligibleToServe(v.Members, v.LocalServiceShares(), count), count)
	})
	return v.chosen
}

// EligibleToServe returns the members among which those that serve are chosen: VMs of the
// zones that reach most services, without weak VMs where strong ones suffice. Callers
// use all VMs that serve alike, so that the weakest bounds what count of them bear.
// If too few are left, VMs of other zones join them.
func EligibleToServe(members []Member, reach map[ident.Zone]float64, count int) []Member {
	best := 0.0
	for _, m := range members {
		best = max(best, reach[m.Zone])
	}
	near, far := make([]Member, 0, len(members)), []Member{}
	for _, m := range members {
		if reach[m.Zone] >= reachPart*best {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if missing := min(leastEntries, count) - len(near); missing > 0 {
		slices.SortFunc(far, func(a, b Member) int {
			return cmp.Or(cmp.Compare(reach[b.Zone], reach[a.Zone]), preferred(a, b))
		})
		return append(near, far[:min(missing, len(far))]...)
	}
	return strongest(near, count)
}

// strongest leaves out the members that are so weak that count members without them
// bear more.
func strongest(members []Member, count int) []Member {
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(b.Cores, a.Cores) })
	kept, most := len(members), 0.0
	for i, m := range members {
		if i+1 < leastEntries || i+1 < len(members) && members[i+1].Cores == m.Cores {
			continue
		}
		if borne := float64(min(i+1, count)) * m.Cores; borne > most {
			kept, most = i+1, borne
		}
	}
	return members[:kept]
}
