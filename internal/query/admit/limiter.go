package admit

import (
	"math"
	"time"
)

const (
	// limitInterval is the time between two changes of a limit.
	limitInterval = 100 * time.Millisecond
	// limitGrowth is the factor of growth per interval, and limitProbe that
	// while requests are refused, so that the limit hardly overshoots.
	limitGrowth = 1.1
	limitProbe  = 1.02
	// limitCut is the factor of a cut.
	limitCut = 0.85
	// failureShare is the share of failed requests from which a limit is cut.
	failureShare = 0.05
)

// limiter is a concurrency limit that is cut while requests fail and grows
// again with time, whether or not any requests complete.
type limiter struct {
	least, most float64
	limit       float64
	changedAt   time.Time
	// cutAt is the time of the last cut. Requests admitted before it do not
	// cause another.
	cutAt  time.Time
	ended  int
	failed int
	// pressed is set when requests were refused since the last change.
	pressed bool
}

func newLimiter(options Options) limiter {
	most := float64(options.Concurrency)
	return limiter{least: min(float64(options.MinConcurrency), most), most: most, limit: most}
}

// admits reports whether one more request may run beside the given number.
func (l *limiter) admits(now time.Time, load int) bool {
	l.grow(now)
	if load < int(l.limit) {
		return true
	}
	l.pressed = true
	return false
}

// done notes the end of a request that was admitted at the given time. load is
// the number of requests that ran beside it, this one included.
func (l *limiter) done(now, admitted time.Time, load int, good bool) {
	if admitted.Before(l.cutAt) {
		return
	}
	l.grow(now)
	l.ended++
	if good {
		return
	}
	l.failed++
	if float64(l.failed) < failureShare*float64(l.ended) {
		return
	}
	l.limit = max(l.least, min(l.limit, float64(load))*limitCut)
	l.cutAt = now
	l.restart(now)
}

// grow raises the limit once per interval.
func (l *limiter) grow(now time.Time) {
	intervals := float64(now.Sub(l.changedAt) / limitInterval)
	if intervals < 1 {
		return
	}
	factor := limitGrowth
	if l.pressed {
		factor = limitProbe
	}
	l.limit = min(l.most, l.limit*math.Pow(factor, min(intervals, 100))+intervals/10)
	l.restart(now)
}

func (l *limiter) restart(now time.Time) {
	l.changedAt = now
	l.ended, l.failed = 0, 0
	l.pressed = false
}
