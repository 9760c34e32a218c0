package admit

import "time"

const (
	// startBound is the bound of an entry that knows nothing yet.
	startBound = 8
	// leastBound admits a request whenever none is under way, so that it is found
	// out when servers bear more.
	leastBound = 1
	// spareBound and spareFactor give the bound that an entry keeps beyond its
	// present load while nothing is refused.
	spareBound  = 3
	spareFactor = 2
	// cutFactor is the factor of a cut.
	cutFactor = 0.92
	// slowGrowth and fastGrowth are the growth by all requests that run at a time
	// together, while servers have queues and while they have none.
	slowGrowth = 0.05
	fastGrowth = 0.5
)

// bound is an adaptive bound on the requests that run at a time. It grows additively
// and shrinks by a factor.
type bound struct {
	value float64
	// cutAt is the time of the last cut. Requests admitted before it do not cause
	// another.
	cutAt time.Time
	// pressedAt is the last time at which a request found no room.
	pressedAt time.Time
}

// grow notes the end of a request that went well beside load others.
func (b *bound) grow(now time.Time, load int, relaxed bool) {
	spare := spareBound + spareFactor*float64(load)
	pressed := now.Sub(b.pressedAt) < shareDecay
	growth := slowGrowth
	if relaxed {
		growth = fastGrowth
	}
	if pressed || b.value < spare {
		b.value += growth / max(b.value, 1)
	}
	if !pressed && b.value > spare {
		b.value -= growth / b.value
	}
}

// cut notes the end of a request that met full servers.
func (b *bound) cut(now, admitted time.Time, load int) {
	if admitted.Before(b.cutAt) {
		return
	}
	b.value = max(min(b.value, float64(load))*cutFactor, leastBound)
	b.cutAt = now
}
