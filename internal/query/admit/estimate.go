package admit

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a sample in the estimate of the mean.
	meanWeight = 0.1
	// lowRiseWeight is the weight of a sample above the low estimate, which follows samples
	// below it at once. It then stays near the fastest of about 50 requests.
	lowRiseWeight = 0.02
	// runTimeDecay is the time constant with which the low estimate decays without samples,
	// so that refusals, which prevent samples, end by themselves.
	runTimeDecay = time.Second
)

// runTimes estimates how long the requests of a service run. The zero value is ready.
type runTimes struct {
	mean, low float64
	updatedAt time.Time
}

func (r *runTimes) add(now time.Time, sample time.Duration) {
	took := float64(sample)
	if r.updatedAt.IsZero() {
		r.mean, r.low = took, took
	}
	r.mean += meanWeight * (took - r.mean)
	r.low = min(took, r.low+lowRiseWeight*(took-r.low))
	r.updatedAt = now
}

// fastest returns a time that nearly all requests take, or less.
func (r *runTimes) fastest(now time.Time) time.Duration {
	if r.updatedAt.IsZero() {
		return 0
	}
	return time.Duration(r.low * math.Exp(-float64(max(now.Sub(r.updatedAt), 0))/float64(runTimeDecay)))
}
