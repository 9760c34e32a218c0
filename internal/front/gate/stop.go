package gate

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// longestWaitShare is the share of a planned stop's time that has to be left for a request of
// any time limit to be accepted. A request with a shorter time limit needs only that.
const longestWaitShare = 1.0 / 3

// plannedStop is the time limit of a planned stop.
type plannedStop struct {
	// answerBy is when all requests are answered, and longestWait the time that has to be left
	// for a request of any time limit.
	answerBy    time.Time
	longestWait time.Duration
}

// allows reports whether enough time is left for what takes limit at most.
func (s *plannedStop) allows(now time.Time, limit time.Duration) bool {
	return s.answerBy.Sub(now) >= min(limit, s.longestWait)
}

// Drain begins a planned stop, in which all requests are answered by answerBy: the gate isn't
// ready, takes this VM off the address list and closes each connection after its next answer,
// so that callers move to other VMs. Requests are still served if enough time is left for
// them, and refused otherwise.
func (g *Gate) Drain(answerBy time.Time) {
	longest := time.Duration(longestWaitShare * float64(time.Until(answerBy)))
	g.stopping.Store(&plannedStop{answerBy: answerBy, longestWait: longest})
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	return g.stopping.Load() != nil
}

// Allows reports whether what takes limit at most may begin: no planned stop is under way, or
// enough of its time is left.
func (g *Gate) Allows(limit time.Duration) bool {
	stop := g.stopping.Load()
	return stop == nil || stop.allows(time.Now(), limit)
}

// limitToStop limits the time of a request to what a planned stop leaves. It returns false if
// that isn't enough.
func (g *Gate) limitToStop(request *runner.Request, now time.Time) bool {
	stop := g.stopping.Load()
	if stop == nil {
		return true
	}
	if !stop.allows(now, request.Deadline().Sub(now)) {
		return false
	}
	left := stop.answerBy.Sub(request.Arrived)
	if request.Wait == 0 || request.Wait > left {
		request.Wait = left
	}
	return true
}

// Abandon ends all requests in flight with an answer that promises nothing, and returns how
// many there were.
func (g *Gate) Abandon() int {
	return g.watcher.abandon()
}
