package admit

import (
	"math"
	"time"
)

const (
	// limitInterval is the time between two adjustments of a limit.
	limitInterval = 100 * time.Millisecond
	// rushFactor, growthFactor and probeFactor are the factors per interval by which a
	// limit grows: when requests were refused although queues are short, when none were
	// refused, and when some were and queues are not short.
	rushFactor   = 1.5
	growthFactor = 1.1
	probeFactor  = 1.02
	// decayFactor is the factor per interval while most of the limit is unused, so that
	// a sudden load doesn't find a limit far above what servers can handle.
	decayFactor = 0.95
	// unusedFactor is the ratio of limit to load above which most of the limit is
	// unused.
	unusedFactor = 4
	// initialLimit is the limit at the start and after a long time of little load.
	initialLimit = 32
	// maxCutFactor and minCutFactor bound the factor of a cut.
	maxCutFactor = 0.9
	minCutFactor = 0.5
	// targetShare is the part of its time that a request should take after a cut, if
	// that is proportional to the number of requests.
	targetShare = 0.5
	// failureShare and minFailures are the share and the number of failed requests from
	// which on the limit is cut. Older requests count less.
	failureShare = 0.05
	minFailures  = 2
)

// limiter is a concurrency limit that is cut when requests fail. It grows again with
// time, whether or not any requests complete.
type limiter struct {
	minimum, initial, maximum float64
	limit                     float64
	changedAt                 time.Time
	// cutAt is the time of the last cut. Requests admitted before it don't cause
	// another.
	cutAt time.Time
	// ended and failed are the numbers of requests since the last cut. They are halved
	// each interval.
	ended, failed float64
	// refused is set if requests were refused since the last adjustment.
	refused bool
}

func newLimiter(options Options) limiter {
	maximum := float64(options.Concurrency)
	initial := min(initialLimit, maximum)
	return limiter{minimum: min(float64(options.MinConcurrency), initial), initial: initial, maximum: maximum, limit: initial}
}

// admits reports whether one more request may run besides load others. queuesShort is
// set if the queues of the servers are short.
func (l *limiter) admits(now time.Time, load int, queuesShort bool) bool {
	l.adapt(now, load, queuesShort)
	if load < int(l.limit) {
		return true
	}
	l.refused = true
	return false
}

// done records the end of a request that was admitted at the given time. load is the
// number of requests that run, this one included. used is the part of its time that the
// request took.
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
	factor := min(max(targetShare/max(used, targetShare), minCutFactor), maxCutFactor)
	l.limit = max(l.minimum, min(l.limit, float64(load))*factor)
	l.cutAt = now
	l.ended, l.failed = 0, 0
	l.startInterval(now)
}

// adapt adjusts the limit once per interval.
func (l *limiter) adapt(now time.Time, load int, queuesShort bool) {
	intervals := float64(now.Sub(l.changedAt) / limitInterval)
	if intervals < 1 {
		return
	}
	factor, bound := l.trend(load, queuesShort)
	changed := l.limit*math.Pow(factor, min(intervals, 100)) + intervals/10
	if factor < 1 {
		l.limit = max(min(l.limit, bound), changed)
	} else {
		l.limit = min(bound, changed)
	}
	l.startInterval(now)
}

// trend returns the factor of change per interval, and the value that the limit may not
// cross.
func (l *limiter) trend(load int, queuesShort bool) (factor, bound float64) {
	switch {
	case l.refused && queuesShort:
		return rushFactor, l.maximum
	case l.refused:
		return probeFactor, l.maximum
	case float64(load)*unusedFactor < l.limit && l.limit > l.initial:
		return decayFactor, l.initial
	default:
		return growthFactor, l.maximum
	}
}

func (l *limiter) startInterval(now time.Time) {
	l.changedAt = now
	l.ended /= 2
	l.failed /= 2
	l.refused = false
}
