package admit

import (
	"math"
	"time"
)

const (
	// limitInterval is the time between two changes of a limit.
	limitInterval = 100 * time.Millisecond
	// limitRush, limitGrowth and limitProbe are the factors of change per
	// interval: while requests are refused though queues are short, while none
	// is refused, and while some are and queues are not short.
	limitRush   = 1.5
	limitGrowth = 1.1
	limitProbe  = 1.02
	// limitDecay is the factor while most of the limit is unused, so that a
	// sudden load does not find a limit far above what servers bear.
	limitDecay = 0.95
	// unusedFactor is the ratio of limit to load from which on most of the
	// limit is unused.
	unusedFactor = 4
	// startLimit is the limit at the start and after a long time of little
	// use.
	startLimit = 32
	// gentleCut and deepCut bound the factor of a cut.
	gentleCut = 0.9
	deepCut   = 0.5
	// targetShare is the part of its time that a request takes after a cut, if
	// that is in proportion to the number of requests.
	targetShare = 0.5
	// failureShare and minFailures are the share and the number of failed
	// requests from which a limit is cut. Older requests count less.
	failureShare = 0.05
	minFailures  = 2
)

// limiter is a concurrency limit that is cut while requests fail and grows
// again with time, whether or not any requests complete.
type limiter struct {
	least, start, most float64
	limit              float64
	changedAt          time.Time
	// cutAt is the time of the last cut. Requests admitted before it do not
	// cause another.
	cutAt time.Time
	// ended and failed count requests since the last cut. They are halved each
	// interval.
	ended, failed float64
	// pressed is set when requests were refused since the last change.
	pressed bool
}

func newLimiter(options Options) limiter {
	most := float64(options.Concurrency)
	start := min(startLimit, most)
	return limiter{least: min(float64(options.MinConcurrency), start), start: start, most: most, limit: start}
}

// admits reports whether one more request may run beside the given number.
// relaxed tells that queues are short.
func (l *limiter) admits(now time.Time, load int, relaxed bool) bool {
	l.adapt(now, load, relaxed)
	if load < int(l.limit) {
		return true
	}
	l.pressed = true
	return false
}

// done notes the end of a request that was admitted at the given time. load is
// the number of requests that ran beside it, this one included. used is the
// part of its time that it took.
func (l *limiter) done(now, admitted time.Time, load int, good bool, used float64) {
	if admitted.Before(l.cutAt) {
		return
	}
	l.ended++
	if good {
		return
	}
	l.failed++
	if l.failed < minFailures || l.failed < failureShare*l.ended {
		return
	}
	factor := min(max(targetShare/max(used, targetShare), deepCut), gentleCut)
	l.limit = max(l.least, min(l.limit, float64(load))*factor)
	l.cutAt = now
	l.ended, l.failed = 0, 0
	l.restart(now)
}

// adapt changes the limit once per interval.
func (l *limiter) adapt(now time.Time, load int, relaxed bool) {
	intervals := float64(now.Sub(l.changedAt) / limitInterval)
	if intervals < 1 {
		return
	}
	factor, bound := l.trend(load, relaxed)
	changed := l.limit*math.Pow(factor, min(intervals, 100)) + intervals/10
	if factor < 1 {
		l.limit = max(min(l.limit, bound), changed)
	} else {
		l.limit = min(bound, changed)
	}
	l.restart(now)
}

// trend returns the factor of change per interval, and the value that the limit
// does not pass.
func (l *limiter) trend(load int, relaxed bool) (factor, bound float64) {
	switch {
	case l.pressed && relaxed:
		return limitRush, l.most
	case l.pressed:
		return limitProbe, l.most
	case float64(load)*unusedFactor < l.limit && l.limit > l.start:
		return limitDecay, l.start
	default:
		return limitGrowth, l.most
	}
}

func (l *limiter) restart(now time.Time) {
	l.changedAt = now
	l.ended /= 2
	l.failed /= 2
	l.pressed = false
}
