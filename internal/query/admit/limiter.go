package admit

import (
	"math"
	"time"
)

const (
	// limitInterval is the time between two changes of a limit.
	limitInterval = 100 * time.Millisecond
	// limitGrowth and limitCut are the factors of these changes.
	limitGrowth = 1.1
	limitCut    = 0.8
	// failureShare is the share of failed requests from which a limit is cut.
	failureShare = 0.05
)

// limiter is a concurrency limit that is cut while requests fail and grows
// again with time, whether or not any requests complete.
type limiter struct {
	least, most float64
	limit       float64
	changedAt   time.Time
	ended       int
	failed      int
}

func newLimiter(options Options) limiter {
	most := float64(options.Concurrency)
	return limiter{least: min(float64(options.MinConcurrency), most), most: most, limit: most}
}

// current returns the limit at now.
func (l *limiter) current(now time.Time) int {
	l.grow(now)
	return int(l.limit)
}

// done notes the end of a request. load is the number of requests that ran
// beside it, this one included.
func (l *limiter) done(now time.Time, load int, good bool) {
	l.grow(now)
	l.ended++
	if good {
		return
	}
	l.failed++
	if now.Sub(l.changedAt) < limitInterval || float64(l.failed) < failureShare*float64(l.ended) {
		return
	}
	l.limit = max(l.least, min(l.limit, float64(load))*limitCut)
	l.restart(now)
}

// grow raises the limit once per interval without failures.
func (l *limiter) grow(now time.Time) {
	intervals := float64(now.Sub(l.changedAt) / limitInterval)
	if intervals < 1 || l.failed > 0 && intervals < 2 {
		return
	}
	l.limit = min(l.most, l.limit*math.Pow(limitGrowth, min(intervals, 100))+1)
	l.restart(now)
}

func (l *limiter) restart(now time.Time) {
	l.changedAt = now
	l.ended, l.failed = 0, 0
}
