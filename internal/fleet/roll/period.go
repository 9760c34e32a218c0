package roll

import (
	"maps"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// period holds the comparisons of the responses in one or more periods of time. They are made for each
// period and added up, since rates of bad responses and shares of the versions change with time.
type period struct {
	fleet comparisons
	byVM  map[ident.VMID]comparisons
}

// newPeriod compares the responses that each VM got in a period. total are all responses so far.
func newPeriod(byVM map[ident.VMID]evidence, total evidence) *period {
	all := sumOf(byVM)
	p := &period{fleet: all.compare(all, total), byVM: make(map[ident.VMID]comparisons, len(byVM))}
	for vm, counts := range byVM {
		p.byVM[vm] = counts.compare(all, total)
	}
	return p
}

// plus returns the comparisons of both periods. p may be nil.
func (p *period) plus(o *period) *period {
	sum := &period{fleet: comparisons{}, byVM: map[ident.VMID]comparisons{}}
	for _, part := range []*period{p, o} {
		if part == nil {
			continue
		}
		sum.fleet.add(part.fleet)
		for vm, c := range part.byVM {
			if sum.byVM[vm] == nil {
				sum.byVM[vm] = comparisons{}
			}
			sum.byVM[vm].add(c)
		}
	}
	return sum
}

// judge tells how good the new version is on each route. What only one VM sees may be its link. share
// is the part of the requests that the new version should have got.
func (p *period) judge(share float64) verdict {
	v := verdict{sufficient: true}
	for _, route := range slices.Sorted(maps.Keys(p.fleet)) {
		c := p.fleet[route]
		v.sufficient = v.sufficient && c.isSufficient(share)
		if !v.bad && !v.suspect && c.exceeds(suspectDeviations, doubtMargin) {
			v.suspect, v.route, v.comparison = true, route, *c
		}
		v.doubtful = v.doubtful || c.exceeds(doubtDeviations, doubtMargin)
		if !v.bad && c.exceeds(haltDeviations, haltMargin) && !p.isOneLink(route) {
			v.bad, v.route, v.comparison = true, route, *c
		}
	}
	if sum := p.fleet[allRoutes]; sum != nil {
		v.pooled = *sum
	}
	target, others := v.pooled.target.Total, v.pooled.others.Total
	v.responded, v.compared = target > 0 || others == 0, others > 0
	return v
}

// isOneLink reports whether the excess of bad responses on a route comes from a single VM while
// others had responses there.
func (p *period) isOneLink(route string) bool {
	var worst ident.VMID
	highest := 0.0
	vms := slices.Sorted(maps.Keys(p.byVM))
	for _, vm := range vms {
		if c := p.byVM[vm][route]; c != nil && c.excess() > highest {
			worst, highest = vm, c.excess()
		}
	}
	elsewhere := comparison{}
	for _, vm := range vms {
		if c := p.byVM[vm][route]; c != nil && vm != worst {
			elsewhere.add(c)
		}
	}
	if elsewhere.target.Total < minElsewhere {
		return elsewhere.target.Total > 0 && p.fleet[route].excess() < maxAlone
	}
	return !elsewhere.exceeds(0, doubtMargin)
}
