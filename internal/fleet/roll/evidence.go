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
	// usualWeight is the number of responses that the usual rate of bad ones stands for where the
	// rate in a period is estimated.
	usualWeight = 2
	// worseDeviations is the number of standard deviations by which the bad responses of the others in
	// a period have to exceed the usual ones to show a fault of all servers.
	worseDeviations = 3.0
	// maxBadRate bounds the expected rate of bad responses.
	maxBadRate = 0.99
	// maxTellingRate is the rate of bad responses of the others above which those of the new version
	// don't tell a version from one that is a little worse.
	maxTellingRate = 0.25
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
	// telling are the responses of the new version where few of the others' are bad, and
	// tellingExpected is the number of bad ones that were expected of them.
	telling         responses
	tellingExpected float64
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
	c.telling.Total, c.telling.Bad = c.telling.Total+o.telling.Total, c.telling.Bad+o.telling.Bad
	c.tellingExpected += o.tellingExpected
}

// likelihood returns the log-likelihood ratio of the weakest bad version and one that is like the
// others: it is positive if the responses are more likely those of a bad version.
func (c *comparison) likelihood() float64 {
	if c.telling.Total == 0 {
		return 0
	}
	bad, total := float64(c.telling.Bad), float64(c.telling.Total)
	usual := max(c.tellingExpected/total, minUsualRate)
	weak := min(usual+weakestBad, (1+usual)/2)
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

// comparisons are those on each route, and on all of them together.
type comparisons map[string]*comparison

func (c comparisons) add(o comparisons) {
	for route, one := range o {
		if c[route] == nil {
			c[route] = &comparison{}
		}
		c[route].add(one)
	}
}

// compare compares the versions by route, and all routes together. e holds responses in a period, of one
// VM or of all, and period those of all VMs in it. total holds all responses so far. The new version is
// compared with all responses of the others in the zone, or on the route where these are few, so that a
// slow zone is not put down to it. If those in the period are worse, it is compared with them.
func (e evidence) compare(period, total evidence) comparisons {
	routes := comparisons{}
	periodRoutes, totalRoutes := period.othersByRoute(), total.othersByRoute()
	for _, bucket := range e.buckets() {
		c := e[bucket]
		route := routes[bucket.Route]
		if route == nil {
			route = &comparison{}
			routes[bucket.Route] = route
		}
		usual, zone := totalRoutes[bucket.Route], total[bucket].Others
		if zone.total() >= minReference {
			usual = &zone
		}
		reference := usual
		if recent := periodRoutes[bucket.Route]; recent.isWorseThan(totalRoutes[bucket.Route]) {
			reference = recent
			if c.Others.total() >= minReference {
				reference = &c.Others
			}
		}
		route.add(c.against(reference, usual))
	}
	sum := &comparison{}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		sum.add(routes[name])
	}
	routes[allRoutes] = sum
	return routes
}

// othersByRoute returns the responses of the other versions in all zones.
func (e evidence) othersByRoute() map[string]*Tally {
	routes := map[string]*Tally{}
	for bucket, c := range e {
		if routes[bucket.Route] == nil {
			routes[bucket.Route] = &Tally{}
		}
		routes[bucket.Route].add(&c.Others)
	}
	return routes
}

// isWorseThan reports whether the responses show more bad ones than usual.
func (t *Tally) isWorseThan(usual *Tally) bool {
	slow := usual.slowClass()
	rate := usual.usualRate(slow)
	expected := float64(t.total()) * rate
	return float64(t.bad(slow)) > expected+worseDeviations*math.Sqrt(clusterFactor*expected*(1-rate)+1)
}

// usualRate estimates the rate of bad responses.
func (t *Tally) usualRate(slow int) float64 {
	return min((float64(t.bad(slow))+0.5)/(float64(t.total())+minReference/2), maxBadRate)
}

// against compares the responses of the new version with those of others in reference. Their usual
// responses tell which ones are slow, and stand for the rate of bad ones while there are few.
func (c *Counts) against(reference, usual *Tally) *comparison {
	slow := usual.slowClass()
	rate := usual.usualRate(slow)
	if reference != usual {
		rate = min((float64(reference.bad(slow))+usualWeight*rate)/(float64(reference.total())+usualWeight), maxBadRate)
	}
	compared := &comparison{}
	compared.target.add(&c.Target, slow)
	compared.others.add(&c.Others, slow)
	n := float64(c.Target.total())
	compared.expected = n * rate
	if rate <= maxTellingRate {
		compared.telling, compared.tellingExpected = compared.target, compared.expected
	}
	compared.variance = n * rate * (1 - rate) * (1 + n/(float64(reference.total())+1))
	return compared
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
