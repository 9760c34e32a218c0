package admit

import "time"

const (
	// initialBound is the bound before the first request.
	initialBound = 8
	// minBound admits a request whenever none is running, so that the policy notices
	// when servers can take more.
	minBound = 1
	// baseHeadroom and headroomFactor give the bound that is kept above the present
	// load while no request finds the bound exhausted.
	baseHeadroom   = 3
	headroomFactor = 2
	// cutFactor is the factor by which the bound is reduced after an overload.
	cutFactor = 0.92
	// slowGrowth and fastGrowth are what the bound gains while as many requests end as
	// it allows at a time, with queues at the servers and without.
	slowGrowth = 0.05
	fastGrowth = 0.5
)

// adaptiveBound is an adaptive bound on the requests that run at a time. It increases
// additively and decreases multiplicatively.
type adaptiveBound struct {
	value float64
	// cutAt is the time of the last cut. Requests admitted before it don't cause
	// another.
	cutAt time.Time
	// saturatedAt is the last time at which a request found the bound exhausted.
	saturatedAt time.Time
}

// grow adapts the bound after a request without overload. load is the number of running
// requests, this one included.
func (b *adaptiveBound) grow(now time.Time, load int, queuesShort bool) {
	idleBound := baseHeadroom + headroomFactor*float64(load)
	saturated := now.Sub(b.saturatedAt) < shareDecay
	growth := slowGrowth
	if queuesShort {
		growth = fastGrowth
	}
	if saturated || b.value < idleBound {
		b.value += growth / max(b.value, 1)
	}
	if !saturated && b.value > idleBound {
		b.value -= growth / b.value
	}
}

// cut reduces the bound after a request that full servers refused. load is the number
// of running requests, this one included.
func (b *adaptiveBound) cut(now, admitted time.Time, load int) {
	if admitted.Before(b.cutAt) {
		return
	}
	b.value = max(min(b.value, float64(load))*cutFactor, minBound)
	b.cutAt = now
}
