package choose

import (
	"math"
	"sync"
	"time"
)

const (
	// newestWeight is the weight of one sample in a moving average.
	newestWeight = 0.2
	// averageWeight is the weight of one sample in the average of all servers.
	averageWeight = 0.01
	// minAvoid and maxAvoid bound the time for which a server is avoided after
	// it refused or did not answer. It doubles each time in a row.
	minAvoid = 20 * time.Millisecond
	maxAvoid = 500 * time.Millisecond
	// failureWeight is the weight of one sub-request in a server's share of
	// refusals and failures. An entry of a large fleet sends a server less than
	// two sub-requests a second.
	failureWeight = 0.25
	// minSuccess bounds the factor by which a server that always fails seems
	// slower.
	minSuccess = 0.05
	// unreliableShare is the share of failures from which a server counts as
	// unreliable.
	unreliableShare = 0.2
	// unansweredLimit is the number of abandoned sub-requests in a row after
	// which a server is avoided.
	unansweredLimit = 3
)

// server is what an entry knows of one server's speed and queue.
type server struct {
	mu sync.Mutex
	// inFlight counts the sub-requests of this entry.
	inFlight int
	// silentSince is the time of the last answer, or of the first sub-request
	// that was sent after it.
	silentSince time.Time
	service     time.Duration
	// failures is the share of refusals and failures, as of heardAt.
	failures float64
	heardAt  time.Time
	// others is the part of the server's queue that came from other entries.
	others    int
	slots     int
	updatedAt time.Time
	// unanswered counts the sub-requests abandoned since the last answer.
	unanswered int
	avoidance  time.Duration
	avoidUntil time.Time
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
		s.others = max(sample.Queued-s.inFlight, 0)
		s.slots = sample.Slots
	}
	s.unanswered = 0
	s.learnFailure(now, !sample.Completed)
	switch {
	case sample.Completed:
		s.learn(sample.ServiceTime)
		s.avoidance, s.avoidUntil = 0, time.Time{}
	case sample.Refused:
		s.avoid(now, sample.RetryAfter)
	}
}

// abandoned treats the elapsed time as a lower bound of the service time.
func (s *server) abandoned(now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
	if elapsed > s.service {
		s.learn(elapsed)
		s.updatedAt = now
	}
	s.unanswered++
	if s.unanswered >= unansweredLimit {
		s.avoid(now, 0)
	}
}

// avoid keeps sub-requests away for a while. Refusals that arrive meanwhile
// belong to the same occasion and do not double the time again.
func (s *server) avoid(now time.Time, atLeast time.Duration) {
	if now.Before(s.avoidUntil) {
		return
	}
	s.avoidance = min(max(2*s.avoidance, minAvoid), maxAvoid)
	s.avoidUntil = now.Add(min(max(s.avoidance, atLeast), maxAvoid))
}

func (s *server) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil)
}

func (s *server) learn(sample time.Duration) {
	if s.service == 0 {
		s.service = sample
		return
	}
	s.service += time.Duration(newestWeight * float64(sample-s.service))
}

// learnFailure takes one outcome into the share of failures.
func (s *server) learnFailure(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures += failureWeight * (outcome - s.failures)
	s.heardAt = now
}

// failing returns the expected share of failures. It fades while the server is
// not asked, so that it is tried again.
func (s *server) failing(now time.Time, options Options) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * decay(now.Sub(s.heardAt), options.ServiceDecay)
}

func (s *server) unreliable(now time.Time, options Options) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing(now, options) > unreliableShare
}

func (s *server) stale(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updatedAt.IsZero() || now.Sub(s.updatedAt) > after
}

// expected returns the expected completion time of one more sub-request, counting
// that one that fails has to be sent again.
func (s *server) expected(now time.Time, average time.Duration, options Options) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, others := float64(average), 0.0
	if !s.updatedAt.IsZero() {
		age := now.Sub(s.updatedAt)
		service += float64(s.service-average) * decay(age, options.ServiceDecay)
		others = float64(s.others) * decay(age, options.QueueDecay)
	}
	if s.inFlight > 0 {
		service = max(service, float64(now.Sub(s.silentSince)))
	}
	ahead := (float64(s.inFlight) + others) / float64(max(s.slots, 1))
	success := max(1-s.failing(now, options), minSuccess)
	return time.Duration(service * (1 + ahead) / success)
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
