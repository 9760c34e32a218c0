package admit

import (
	"math"
	"time"
)

const (
	// kindDecay is the time constant of the count that tells the present rate of a kind. With
	// 3 s, the first second of a burst passes unnoticed.
	kindDecay = 2 * time.Second
	// usualDecay is the time constant of the count that tells the usual rate of a kind. It is
	// several times as long as a burst.
	usualDecay = 30 * time.Second
	// minUsualTime is the time for which a kind must have been known before it can surge.
	minUsualTime = 10 * time.Second
	// A kind surges if its count exceeds leastSurge times the usual one by surgeNoise standard
	// deviations. A wrong alarm only changes an order.
	surgeNoise = 1
	leastSurge = 1.2
	// manyTimesMean is the ratio of the heaviest tenant's load to the mean from which on the
	// tenant counts as heavy.
	manyTimesMean = 1.3
	// surgePenalty is the multiple of the mean load by which a kind at twice its usual rate goes
	// behind others. It outweighs the differences between most tenants.
	surgePenalty = 8
	// spareTimesMean is the ratio of a tenant's load to the mean up to which its requests of
	// other kinds are spared while one kind surges.
	spareTimesMean = 4
	// surgeTime is how long a class is taken to have a kind that surges.
	surgeTime = time.Second
	// idleKind is the usual count below which a kind is forgotten, two minutes after a single
	// request.
	idleKind = 0.02
)

// kindDemand holds how often requests of one kind came lately and usually, as decaying counts.
type kindDemand struct {
	recent, usual      float64
	knownAt, updatedAt time.Time
}

func (k *kindDemand) decay(now time.Time) {
	age := float64(now.Sub(k.updatedAt))
	k.recent *= math.Exp(-age / float64(kindDecay))
	k.usual *= math.Exp(-age / float64(usualDecay))
	k.updatedAt = now
}

// surge returns the ratio of the recent to the usual rate if that is significant, and else 1.
func (k *kindDemand) surge(now time.Time) float64 {
	known := now.Sub(k.knownAt)
	if known < minUsualTime {
		return 1
	}
	k.decay(now)
	expected := k.usual * float64(kindDecay) / float64(usualDecay) / (1 - math.Exp(-float64(known)/float64(usualDecay)))
	if k.recent < leastSurge*expected+surgeNoise*math.Sqrt(expected) {
		return 1
	}
	return max(k.recent/max(expected, 1), 1)
}

// countKind counts a request of a kind and returns the kind's surge.
func (c *fairClass) countKind(now time.Time, f *flow, name string) float64 {
	k := c.kinds[name]
	if k == nil {
		k = &kindDemand{knownAt: now, updatedAt: now}
		c.kinds[name] = k
	}
	k.decay(now)
	if !c.isHeavy(now, f) {
		k.recent++
		k.usual++
	}
	if len(c.kinds) == 1 {
		return 1
	}
	surge := k.surge(now)
	if surge > 1 {
		c.surgedAt = now
	}
	return surge
}

// isHeavy reports whether a tenant gets much more than its part. Its requests don't count as
// demand for a kind, since the surge is the tenant's, and it is promised no room.
func (c *fairClass) isHeavy(now time.Time, f *flow) bool {
	return f == c.heaviest && c.load(now, f, 0) >= manyTimesMean*c.meanLoad()
}

// meanLoad returns the load of all tenants together.
func (c *fairClass) meanLoad() float64 {
	if c.weights <= 0 {
		return 0
	}
	return c.admitted / c.weights
}

// sweepKinds forgets the kinds without requests.
func (c *fairClass) sweepKinds(now time.Time) {
	for name, k := range c.kinds {
		if k.decay(now); k.usual < idleKind {
			delete(c.kinds, name)
		}
	}
}
