package roll

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// haltDeviations is the number of standard deviations by which the bad responses of the new
	// version have to exceed those expected from the others, and haltMargin what is added. The
	// test is repeated several times a second on each route. Without any bad responses of the
	// others, seven bad ones suffice, far fewer than the 50 after which none may be sent.
	haltDeviations, haltMargin = 3.8, 2.5
	// doubtDeviations and doubtMargin apply to doubt, which delays a roll-out for a short time, and
	// suspectDeviations to the doubt for which it is rolled back in the end.
	doubtDeviations, doubtMargin = 2.0, 1.0
	suspectDeviations            = 2.7
	// clusterFactor is the factor on the variance of independent responses: pauses and
	// overload make several responses bad at once.
	clusterFactor = 2
	// minReference is the number of responses of the other versions in a zone from which on
	// they are compared with those of the new one there. With fewer, all zones are.
	minReference = 20
	// minElsewhere is the number of responses that the other VMs must have got before bad ones
	// of a single VM are put down to its links, and maxAlone the excess that is not.
	minElsewhere, maxAlone = 10, 30
	// minSample is the number of responses on a route that suffice as evidence. A route with few
	// requests has to have got half of its share.
	minSample, shareOfSample = 30, 0.5
	// maxBadRate bounds the expected rate of bad responses.
	maxBadRate = 0.95
	// minUsualRate is the lowest rate of bad responses that is assumed of the other versions.
	minUsualRate = 0.005
)

// evidence holds the responses of all VMs or of some.
type evidence map[Bucket]Counts

func (e evidence) add(counts map[Bucket]Counts) {
	for bucket, c := range counts {
		sum := e[bucket]
		sum.Target.add(&c.Target)
		sum.Others.add(&c.Others)
		e[bucket] = sum
	}
}

// buckets returns the buckets in an order that doesn't change, so that sums of their floating-point
// numbers don't, either.
func (e evidence) buckets() []Bucket {
	return slices.SortedFunc(maps.Keys(e), func(a, b Bucket) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
	})
}

// comparison is what the responses on one route say about the new version.
type comparison struct {
	// target and others are the numbers of responses on the route.
	target, others responses
	// expected is the number of bad responses that the new version would have given if it was
	// like the others, and variance that of the difference.
	expected, variance float64
}

// responses are the numbers of all responses and of the bad ones.
type responses struct {
	Total, Bad uint32
}

func (r *responses) add(t *Tally, slow int) {
	r.Total += t.total()
	r.Bad += t.bad(slow)
}

// exceeds reports whether the new version gave more bad responses than expected.
func (c *comparison) exceeds(deviations, margin float64) bool {
	return c.excess() > deviations*math.Sqrt(clusterFactor*c.variance+1)+margin
}

func (c *comparison) excess() float64 {
	return float64(c.target.Bad) - c.expected
}

func (c *comparison) add(o *comparison) {
	c.target.Total, c.target.Bad = c.target.Total+o.target.Total, c.target.Bad+o.target.Bad
	c.others.Total, c.others.Bad = c.others.Total+o.others.Total, c.others.Bad+o.others.Bad
	c.expected, c.variance = c.expected+o.expected, c.variance+o.variance
}

// likelihood returns the log-likelihood ratio of the weakest bad version and one that is like the
// others: it is positive if the responses are more likely those of a bad version.
func (c *comparison) likelihood() float64 {
	if c.target.Total == 0 {
		return 0
	}
	usual := max(c.expected/float64(c.target.Total), minUsualRate)
	weak := min(usual+weakestBad, (1+usual)/2)
	bad, total := float64(c.target.Bad), float64(c.target.Total)
	return bad*math.Log(weak/usual) + (total-bad)*math.Log((1-weak)/(1-usual))
}

// isSufficient reports whether the new version has given enough responses on the route, given
// its share of the requests.
func (c *comparison) isSufficient(share float64) bool {
	all := float64(c.target.Total + c.others.Total)
	return float64(c.target.Total) >= min(minSample, shareOfSample*share*all)
}

// allRoutes stands for all routes together. A version that gives few bad responses on each route is
// found sooner by their sum.
const allRoutes = ""

// compare compares the versions by route, and all routes together. Each zone is compared with itself, so that a slow
// zone is not put down to the version. Where there are too few responses of the others,
// those in background are used, of the zone if possible.
func (e evidence) compare(background evidence) map[string]*comparison {
	routes, pooled := map[string]*comparison{}, map[string]*Tally{}
	for bucket, c := range background {
		if pooled[bucket.Route] == nil {
			pooled[bucket.Route] = &Tally{}
		}
		pooled[bucket.Route].add(&c.Others)
	}
	for _, bucket := range e.buckets() {
		c := e[bucket]
		route := routes[bucket.Route]
		if route == nil {
			route = &comparison{}
			routes[bucket.Route] = route
		}
		zone := background[bucket].Others
		reference := pooled[bucket.Route]
		for _, t := range []*Tally{&zone, &c.Others} {
			if t.total() >= minReference {
				reference = t
			}
		}
		slow := reference.slowClass()
		route.target.add(&c.Target, slow)
		route.others.add(&c.Others, slow)
		n, of := float64(c.Target.total()), float64(reference.total())
		rate := min((float64(reference.bad(slow))+0.5)/(of+minReference/2), maxBadRate)
		route.expected += n * rate
		route.variance += n * rate * (1 - rate) * (1 + n/(of+1))
	}
	sum := &comparison{}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		sum.add(routes[name])
	}
	routes[allRoutes] = sum
	return routes
}

// verdict is a judgement of the new version.
type verdict struct {
	// bad is set if the version is bad on route, suspect if it probably is, and doubtful if it might
	// be on some route.
	bad, suspect, doubtful bool
	route                  string
	comparison             comparison
	// sufficient is set if each route has enough responses, and responded if the new version
	// has given any, or no version has.
	sufficient, responded bool
	// compared is set if there are responses of the other versions.
	compared bool
	// pooled are the responses on all routes together.
	pooled comparison
}

// isDoubtful reports whether a roll-out has to wait. A slight doubt counts for a short time.
func (v *verdict) isDoubtful(elapsed float64) bool {
	return v.suspect || v.doubtful && elapsed < unprovenAfter
}

// describe explains a bad version to operators.
func (v *verdict) describe() string {
	if !v.bad && !v.suspect {
		return v.pooled.describe(allRoutes)
	}
	return v.comparison.describe(v.route)
}

func (c *comparison) describe(route string) string {
	where := "route " + route
	if route == allRoutes {
		where = "all routes"
	}
	return fmt.Sprintf("%s: %d of %d responses were bad, %.1f expected from the %d of %d of the other versions",
		where, c.target.Bad, c.target.Total, c.expected, c.others.Bad, c.others.Total)
}

// mostSuspect returns the first verdict that is suspect, or else the first one that is doubtful.
func mostSuspect(verdicts ...*verdict) *verdict {
	for _, v := range verdicts {
		if v.suspect {
			return v
		}
	}
	for _, v := range verdicts {
		if v.doubtful {
			return v
		}
	}
	return verdicts[0]
}

// sumOf returns the responses of all VMs.
func sumOf(byVM map[ident.VMID]evidence) evidence {
	total := evidence{}
	for _, counts := range byVM {
		total.add(counts)
	}
	return total
}

// judge compares the versions on each route. byVM holds the responses of each VM, some of all
// those in background. What only one VM sees may be its link.
func judge(byVM map[ident.VMID]evidence, background evidence, share float64) verdict {
	v := verdict{sufficient: true}
	routes := sumOf(byVM).compare(background)
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		c := routes[route]
		v.sufficient = v.sufficient && c.isSufficient(share)
		if !v.bad && !v.suspect && c.exceeds(suspectDeviations, doubtMargin) {
			v.suspect, v.route, v.comparison = true, route, *c
		}
		v.doubtful = v.doubtful || c.exceeds(doubtDeviations, doubtMargin)
		if !v.bad && c.exceeds(haltDeviations, haltMargin) && !isOneLink(byVM, background, route, c) {
			v.bad, v.route, v.comparison = true, route, *c
		}
	}
	v.pooled = *routes[allRoutes]
	target, others := v.pooled.target.Total, v.pooled.others.Total
	v.responded, v.compared = target > 0 || others == 0, others > 0
	return v
}

// isOneLink reports whether the excess of bad responses on a route comes from a single VM while
// others had responses there.
func isOneLink(byVM map[ident.VMID]evidence, background evidence, route string, all *comparison) bool {
	var worst ident.VMID
	highest := 0.0
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		if c := byVM[vm].compare(background)[route]; c != nil && c.excess() > highest {
			worst, highest = vm, c.excess()
		}
	}
	rest := evidence{}
	for vm, counts := range byVM {
		if vm != worst {
			rest.add(counts)
		}
	}
	elsewhere := rest.compare(background)[route]
	if elsewhere == nil || elsewhere.target.Total < minElsewhere {
		return elsewhere != nil && elsewhere.target.Total > 0 && all.excess() < maxAlone
	}
	return !elsewhere.exceeds(0, doubtMargin)
}
