package roster

import (
	"cmp"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// minLocalServing is the number of eligible VMs below which VMs of any zone are
	// added. Weak VMs are dropped only beyond it.
	minLocalServing = 4
	// minRelativeServiceShare is the smallest share of local services, relative to the
	// zone with the largest share, with which VMs of a zone may serve.
	minRelativeServiceShare = 0.5
	// maxZoneOverload is how far requests that stay in their zone may load its backend
	// servers above the mean of their service, as a part of that mean.
	maxZoneOverload = 0.3
)

// LocalServiceShares returns for each zone the share of the services in use that have a
// backend server there. VMs of the zone send requests to the other services to other
// zones. Zones without any are absent.
func (v *View) LocalServiceShares() map[ident.Zone]float64 {
	shares := map[ident.Zone]float64{}
	if v.Table == nil {
		return shares
	}
	services := 0
	for service := range v.Table.UsedServices() {
		services++
		zones := coll.NewSet[ident.Zone]()
		for _, r := range v.replicas[service] {
			if !zones.Has(r.Zone) {
				zones.Add(r.Zone)
				shares[r.Zone]++
			}
		}
	}
	for zone := range shares {
		shares[zone] /= float64(services)
	}
	return shares
}

// LocalRequestShare returns the share of the requests to a service, from 0 to 1, that VMs
// of a zone keep in their zone. It is below 1 where the servers there would be
// overloaded: callers are spread evenly over the serving VMs, whose distribution over the
// zones differs from that of the servers.
func (v *View) LocalRequestShare(service ident.ServiceID, zone ident.Zone) float64 {
	list := v.replicas[service]
	local := 0
	for _, r := range list {
		if r.Zone == zone {
			local++
		}
	}
	if local == 0 {
		return 0
	}
	serverShare := float64(local) / float64(len(list))
	callerShare := serverShare
	if v.usableCount > 0 {
		callerShare = float64(len(v.serving[zone])) / float64(v.usableCount)
	}
	if callerShare <= serverShare {
		return 1
	}
	return min(maxZoneOverload*serverShare/(callerShare-serverShare), 1)
}

// TargetServing returns the members that should serve callers. It is computed at the
// first call. The set must not be changed.
func (v *View) TargetServing() coll.Set[ident.VMID] {
	v.targetOnce.Do(func() {
		count := TargetServingCount(v.Table)
		v.target = SelectServing(EligibleToServe(withoutPartitioned(v.Members), v.LocalServiceShares(), count), count)
	})
	return v.target
}

// withoutPartitioned returns the members that reach the backend servers, or all if none
// does: then the servers are down.
func withoutPartitioned(members []Member) []Member {
	usable := make([]Member, 0, len(members))
	for _, m := range members {
		if !m.Partitioned {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return members
	}
	return usable
}

// EligibleToServe returns the members from which count serving ones are selected: VMs of
// the zones with backend servers of most services, without weak VMs where strong ones
// suffice. Callers spread requests evenly over the serving VMs, so the weakest one limits
// the capacity of all. If fewer than minLocalServing are left, VMs of other zones are
// added.
func EligibleToServe(members []Member, shares map[ident.Zone]float64, count int) []Member {
	best := 0.0
	for _, m := range members {
		best = max(best, shares[m.Zone])
	}
	local, remote := make([]Member, 0, len(members)), []Member{}
	for _, m := range members {
		if shares[m.Zone] >= minRelativeServiceShare*best {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if missing := min(minLocalServing, count) - len(local); missing > 0 {
		slices.SortFunc(remote, func(a, b Member) int {
			return cmp.Or(cmp.Compare(shares[b.Zone], shares[a.Zone]), comparePreference(a, b))
		})
		return append(local, remote[:min(missing, len(remote))]...)
	}
	return withoutWeakest(local, count)
}

// withoutWeakest drops the weakest members if count members without them have more
// capacity. The slice is reordered.
func withoutWeakest(members []Member, count int) []Member {
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(b.Cores, a.Cores) })
	kept, maxCapacity := len(members), 0.0
	for i, m := range members {
		if i+1 < minLocalServing || i+1 < len(members) && members[i+1].Cores == m.Cores {
			continue
		}
		if capacity := float64(min(i+1, count)) * m.Cores; capacity > maxCapacity {
			kept, maxCapacity = i+1, capacity
		}
	}
	return members[:kept]
}
