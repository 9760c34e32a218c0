package admit

import (
	"math"
	"time"
)

const (
	// riseWeight and fallWeight are the weights of a sample above and below
	// the estimate. Their ratio makes it a high quantile.
	riseWeight = 0.04
	fallWeight = 0.01
	// peakDecay is the time in which an estimate without samples loses most of
	// its value, so that refusals end by themselves.
	peakDecay = 300 * time.Millisecond
)

// peak estimates a high quantile of recent samples. The zero value is ready.
type peak struct {
	estimate  float64
	updatedAt time.Time
}

func (p *peak) add(now time.Time, sample time.Duration) {
	weight := fallWeight
	if float64(sample) > p.estimate {
		weight = riseWeight
	}
	p.estimate += weight * (float64(sample) - p.estimate)
	p.updatedAt = now
}

func (p *peak) value(now time.Time) time.Duration {
	if p.updatedAt.IsZero() {
		return 0
	}
	age := float64(max(now.Sub(p.updatedAt), 0))
	return time.Duration(p.estimate * math.Exp(-age/float64(peakDecay)))
}
