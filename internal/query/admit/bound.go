package admit

import "time"

const (
	// initialBound is the bound before the first request.
	initialBound = 8
	// minBound admits a request whenever none is running, so that the policy notices
	// when servers can take more.
	minBound = 1
	// leastShed is the least bound of a policy that sheds load: the probability that a request
	// is admitted whenever none is running. Many VMs that run one request each exceed what a
	// few servers can handle.
	leastShed = 0.1
	// shedFactor is the factor by which a bound of up to 1 is then reduced, and shedTime how
	// long a bound below 1 holds after an overload. It spans several requests of a VM that
	// gets one a second.
	shedFactor = 0.5
	shedTime   = 2 * time.Second
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
	// canShed lets the bound fall below minBound for a while.
	canShed bool
	// cutAt is the time of the last cut. Requests admitted before it don't cause
	// another.
	cutAt time.Time
	// saturatedAt is the last time at which a request found the bound exhausted.
	saturatedAt time.Time
}

// adapt adapts the bound after an admitted request. load is the number of running requests,
// this one included, and wait the usual queueing time at the servers.
func (b *adaptiveBound) adapt(now time.Time, load int, request Request, outcome Outcome, wait time.Duration) {
	admitted := now.Add(-outcome.Took)
	// Requests that are slow without being refused are no reason to lower the limit:
	// servers that are slow or unreachable don't recover by it.
	if outcome.Overloaded {
		b.cut(now, admitted, load)
		return
	}
	budget := request.Deadline.Sub(admitted)
	b.grow(now, load, float64(wait) < shortWaitShare*float64(budget))
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

// current returns the bound in force.
func (b *adaptiveBound) current(now time.Time) float64 {
	if now.Sub(b.cutAt) > shedTime {
		return max(b.value, minBound)
	}
	return b.value
}

// cut reduces the bound after a request that full servers refused. load is the number
// of running requests, this one included.
func (b *adaptiveBound) cut(now, admitted time.Time, load int) {
	if admitted.Before(b.cutAt) {
		return
	}
	if b.canShed && load <= 1 {
		b.value = max(min(b.value, 1)*shedFactor, leastShed)
	} else {
		b.value = max(min(b.value, float64(load))*cutFactor, minBound)
	}
	b.cutAt = now
}
