package admit

import (
	"math"
	"time"
)

const (
	// riseWeight and fallWeight are the weights of a sample above and below the
	// estimate. Because of their ratio the estimate approaches a high quantile.
	riseWeight = 0.04
	fallWeight = 0.01
	// quantileDecay is the time constant with which an estimate decays without samples,
	// so that refusals, which prevent samples, end by themselves.
	quantileDecay = 300 * time.Millisecond
)

// quantileEstimate estimates a high quantile of recent samples. The zero value is
// ready.
type quantileEstimate struct {
	estimate  float64
	updatedAt time.Time
}

func (p *quantileEstimate) add(now time.Time, sample time.Duration) {
	weight := fallWeight
	if float64(sample) > p.estimate {
		weight = riseWeight
	}
	p.estimate += weight * (float64(sample) - p.estimate)
	p.updatedAt = now
}

func (p *quantileEstimate) value(now time.Time) time.Duration {
	if p.updatedAt.IsZero() {
		return 0
	}
	age := float64(max(now.Sub(p.updatedAt), 0))
	return time.Duration(p.estimate * math.Exp(-age/float64(quantileDecay)))
}
