package admit

import (
	"math"
	"time"
)

// demand holds the counts of requested and admitted requests, which decay exponentially.
type demand struct {
	requested, admitted float64
	updatedAt           time.Time
}

// decay lets the counts decay until now. constant is the time constant.
func (d *demand) decay(now time.Time, constant time.Duration) {
	factor := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(constant))
	d.requested, d.admitted, d.updatedAt = d.requested*factor, d.admitted*factor, now
}

// share returns the share of its requests that were admitted recently.
func (d *demand) share() float64 {
	return d.admitted / max(d.requested, 1)
}
