package admit

import "time"

const (
	// fullWaitDecay is the factor per request by which a full wait falls, so that it follows
	// when callers are changed.
	fullWaitDecay = 0.999
	// firstAttemptSlack is the part of the full wait by which first attempts may differ.
	firstAttemptSlack = 0.03
	// minCalm is the number of requests that tell how long a tenant's callers wait.
	minCalm = 16
)

// fullWait is the part of the time limit of their route for which callers wait in all. The zero
// value is unknown.
type fullWait float64

// learn updates the full wait by what a request says.
func (w *fullWait) learn(part float64) {
	*w = max(fullWait(part), fullWaitDecay**w)
}

// spent returns how long a caller had waited before it sent a request that states the given
// part. It is more than 0 for a second attempt.
func (w fullWait) spent(part float64, timeout time.Duration) time.Duration {
	if part >= float64(w)*(1-firstAttemptSlack) {
		return 0
	}
	return time.Duration((float64(w) - part) * float64(timeout))
}

// spent returns how long the caller of a request had waited before it sent it. Requests that
// arrive while none is refused are first attempts, which tell how long the tenant's callers
// wait; for a tenant that sent none, that of the other callers of the service is assumed.
func (s *fairService) spent(now time.Time, f *flow, request *Request) time.Duration {
	if request.Wait <= 0 || request.Timeout <= 0 {
		return 0
	}
	part := float64(request.Wait) / float64(request.Timeout)
	s.fullWait.learn(part)
	f.fullWait.learn(part)
	if !s.isSaturated(now) {
		f.calm++
	}
	return s.spentBefore(f, request)
}

// spentBefore is spent without learning from the request.
func (s *fairService) spentBefore(f *flow, request *Request) time.Duration {
	if request.Wait <= 0 || request.Timeout <= 0 {
		return 0
	}
	full := f.fullWait
	if f.calm < minCalm {
		full = max(full, s.fullWait)
	}
	return full.spent(float64(request.Wait)/float64(request.Timeout), request.Timeout)
}
