package choose

import (
	"math"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of one sample in the moving average of a server.
	sampleWeight = 0.2
	// averageWeight is the weight of one sample in the moving average of all servers.
	averageWeight = 0.01
	// minBackoff and maxBackoff limit the time for which a server gets no requests
	// after it refused or didn't answer. It doubles with each consecutive backoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// failureWeight is the weight of one sub-request in the failure share of a server.
	// It is high because a VM of a large fleet sends a server less than two
	// sub-requests per second.
	failureWeight = 0.25
	// minSuccessShare limits the factor by which failures increase the expected time of
	// a server.
	minSuccessShare = 0.05
	// unreliableShare is the failure share above which a server counts as unreliable.
	unreliableShare = 0.2
	// unansweredLimit is the number of consecutive abandoned sub-requests after which a
	// server is put in backoff.
	unansweredLimit = 3
)

// server is what a VM knows about the speed and the queue of a backend server.
type server struct {
	mu sync.Mutex
	// inFlight is the number of sub-requests of this VM in flight.
	inFlight int
	// silentSince is the time of the last answer, or of the first sub-request sent
	// after it if none was in flight.
	silentSince time.Time
	serviceTime time.Duration
	// failureShare is the moving average of refusals and failures among the
	// sub-requests, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// queuedByOthers is the number of sub-requests of other VMs that ran or waited at
	// the server by its last report.
	queuedByOthers int
	slots          int
	// updatedAt is the time of the last report, or of a later update of serviceTime by an
	// abandoned sub-request.
	updatedAt time.Time
	// unanswered is the number of sub-requests abandoned since the last answer.
	unanswered   int
	backoff      time.Duration
	backoffUntil time.Time
}

func (s *server) sent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == 0 {
		s.silentSince = now
	}
	s.inFlight++
}

func (s *server) answered(now time.Time, sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
	s.silentSince = now
	if sample.Slots > 0 {
		s.updatedAt = now
		s.queuedByOthers = max(sample.Queued-s.inFlight, 0)
		s.slots = sample.Slots
	}
	s.unanswered = 0
	s.updateFailureShare(now, !sample.Completed)
	switch {
	case sample.Completed:
		s.updateServiceTime(sample.ServiceTime)
		s.backoff, s.backoffUntil = 0, time.Time{}
	case sample.Refused:
		s.startBackoff(now, sample.RetryAfter)
	}
}

// abandoned treats the elapsed time as a lower limit of the service time.
func (s *server) abandoned(now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
	if elapsed > s.serviceTime {
		s.updateServiceTime(elapsed)
		s.updatedAt = now
	}
	s.unanswered++
	if s.unanswered >= unansweredLimit {
		s.startBackoff(now, 0)
	}
}

// startBackoff keeps sub-requests away for a while. Refusals that arrive in the
// meantime have the same cause and don't double the time again.
func (s *server) startBackoff(now time.Time, atLeast time.Duration) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(min(max(s.backoff, atLeast), maxBackoff))
}

func (s *server) inBackoff(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.backoffUntil)
}

func (s *server) updateServiceTime(sample time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = sample
		return
	}
	s.serviceTime += time.Duration(sampleWeight * float64(sample-s.serviceTime))
}

// updateFailureShare adds one outcome to the failure share.
func (s *server) updateFailureShare(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureShare += failureWeight * (outcome - s.failureShare)
	s.failureShareAt = now
}

// expectedFailureShare returns the failure share, which decays while the server gets no
// sub-requests, so that it is tried again.
func (s *server) expectedFailureShare(now time.Time, options Options) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * decay(now.Sub(s.failureShareAt), options.ServiceDecay)
}

func (s *server) unreliable(now time.Time, options Options) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expectedFailureShare(now, options) > unreliableShare
}

// forecast is what past answers say about one more sub-request.
type forecast struct {
	inBackoff bool
	// success is the probability that it is answered, and expectedTime the time until then.
	// It doesn't contain failures.
	success      float64
	expectedTime time.Duration
}

func (s *server) forecast(now time.Time, average time.Duration, options Options) forecast {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := forecast{inBackoff: now.Before(s.backoffUntil), success: max(1-s.expectedFailureShare(now, options), minSuccessShare)}
	f.expectedTime = time.Duration(s.expectedTimeOfSuccess(now, average, options))
	return f
}

func (s *server) stale(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updatedAt.IsZero() || now.Sub(s.updatedAt) > after
}

// expectedTime returns the expected completion time of one more sub-request. Failures
// increase it because a failed sub-request has to be sent again.
func (s *server) expectedTime(now time.Time, average time.Duration, options Options) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	success := max(1-s.expectedFailureShare(now, options), minSuccessShare)
	return time.Duration(s.expectedTimeOfSuccess(now, average, options) / success)
}

// expectedTimeOfSuccess is expectedTime without failures, in nanoseconds. The caller holds mu.
func (s *server) expectedTimeOfSuccess(now time.Time, average time.Duration, options Options) float64 {
	serviceTime, queuedByOthers := float64(average), 0.0
	if !s.updatedAt.IsZero() {
		age := now.Sub(s.updatedAt)
		serviceTime += float64(s.serviceTime-average) * decay(age, options.ServiceDecay)
		queuedByOthers = float64(s.queuedByOthers) * decay(age, options.QueueDecay)
	}
	if s.inFlight > 0 {
		serviceTime = max(serviceTime, float64(now.Sub(s.silentSince)))
	}
	queueLength := (float64(s.inFlight) + queuedByOthers) / float64(max(s.slots, 1))
	return serviceTime * (1 + queueLength)
}

func decay(age, scale time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(scale))
}

// averageTime is the moving average of the service time of all servers.
type averageTime struct {
	mu    sync.Mutex
	value time.Duration
}

func (a *averageTime) add(sample time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.value == 0 {
		a.value = sample
		return
	}
	a.value += time.Duration(averageWeight * float64(sample-a.value))
}

func (a *averageTime) load() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.value, time.Microsecond)
}
