package admit

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("room", func(options Options) Policy { return newSharedLimit(options) })
}

const (
	// topClassLead is the advantage of the most important class that waits: another
	// class goes first only if its served share is smaller by more than this.
	topClassLead = 0.05
	// shareDecay is the time constant of the exponential decay of the counts of
	// requested and admitted requests.
	shareDecay = time.Second
	// maxWaitShare is the part of the time to its deadline for which a request may
	// wait. A refusal after that leaves the caller time to retry.
	maxWaitShare = 0.2
	// minWaiting is the number of requests of a class that may always wait.
	minWaiting = 1
)

// sharedLimit limits the running requests of each service to what its backend servers
// can handle, by one adaptive limit for all classes. A request over the limit waits for
// a short time if few others of its class do, and is refused at once otherwise. Classes
// share the limit in proportion to their requests, with an advantage for the most
// important one, so that none is starved. The policy suits VMs with a small part of the
// traffic, since its limit counts in fractions of a request.
type sharedLimit struct {
	random random

	mu       sync.Mutex
	services map[ident.ServiceID]*serviceQueue
}

// serviceQueue is the state of one service.
type serviceQueue struct {
	running int
	limit   adaptiveBound
	wait    quantileEstimate
	classes []*classQueue
}

// classQueue holds the recent demand and the waiting requests of one class.
type classQueue struct {
	demand
	class ident.Class
	// waiting holds the requests that wait for admission, the oldest first.
	waiting []*Waiter
}

// Waiter is a request that waits for admission.
type Waiter struct {
	// Granted is closed when the request is admitted, and Refused when its wait ends without
	// that. Refused is nil if the policy ends no wait early.
	Granted, Refused <-chan struct{}
	// Until is the time at which the wait has to end.
	Until time.Time

	granted    chan struct{}
	class      ident.Class
	service    ident.ServiceID
	retryAfter time.Duration
	// fair holds what only the policy fair needs. It is nil for waiters of other policies.
	fair *fairWaiter
}

func newSharedLimit(options Options) *sharedLimit {
	return &sharedLimit{random: newRandom(options), services: map[ident.ServiceID]*serviceQueue{}}
}

func (l *sharedLimit) Admit(now time.Time, request Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceQueue(request.Service)
	own := s.classQueue(request.Class)
	own.decay(now, shareDecay)
	own.requested++
	left := request.Deadline.Sub(now)
	if !s.anyWaiting() && s.belowLimit(l.random) {
		s.admit(own)
		return Decision{Admitted: true}
	}
	s.limit.saturatedAt = now
	if len(own.waiting) >= max(minWaiting, int(maxWaitShare*s.limit.value)) {
		return refuse(reasonFull, l.random.spread(retryAfter(left)))
	}
	granted := make(chan struct{})
	waiter := &Waiter{
		Granted: granted, Until: now.Add(time.Duration(maxWaitShare * float64(left))),
		granted: granted, class: request.Class, service: request.Service, retryAfter: retryAfter(left),
	}
	own.waiting = append(own.waiting, waiter)
	return Decision{Waiter: waiter}
}

// RefuseWaiter implements QueuingPolicy.
func (l *sharedLimit) RefuseWaiter(_ time.Time, waiter *Waiter) Decision {
	return refuse(reasonWaited, l.random.spread(waiter.retryAfter))
}

// EndWait implements QueuingPolicy.
func (l *sharedLimit) EndWait(waiter *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.serviceQueue(waiter.service).classQueue(waiter.class)
	if at := slices.Index(own.waiting, waiter); at >= 0 {
		own.waiting = slices.Delete(own.waiting, at, at+1)
		return false
	}
	return true
}

// RetryAfter implements QueuingPolicy.
func (*sharedLimit) RetryAfter(time.Time, Request) time.Duration {
	return 0
}

func (l *sharedLimit) Observe(now time.Time, id ident.ServiceID, _ ident.Class, wait, _ time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serviceQueue(id).wait.add(now, wait)
}

func (l *sharedLimit) Done(now time.Time, request Request, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceQueue(request.Service)
	s.limit.adapt(now, s.running, request, outcome, s.wait.value(now))
	s.running--
	for s.anyWaiting() && s.belowLimit(l.random) {
		s.grant(now)
	}
}

func (l *sharedLimit) State() map[ident.ServiceID]ServiceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make(map[ident.ServiceID]ServiceState, len(l.services))
	for id, s := range l.services {
		state := ServiceState{Bound: s.limit.value, Running: s.running}
		for _, q := range s.classes {
			state.Waiting += len(q.waiting)
		}
		states[id] = state
	}
	return states
}

func (l *sharedLimit) Retain(keep func(ident.ServiceID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.services, func(id ident.ServiceID, s *serviceQueue) bool {
		return !keep(id) && s.running == 0 && !s.anyWaiting()
	})
}

// bound returns the limit of a service.
func (l *sharedLimit) bound(id ident.ServiceID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[id]; s != nil {
		return s.limit.value
	}
	return initialBound
}

// serviceQueue returns the state of a service, which it creates on first use.
func (l *sharedLimit) serviceQueue(id ident.ServiceID) *serviceQueue {
	s := l.services[id]
	if s == nil {
		s = &serviceQueue{limit: adaptiveBound{value: initialBound}}
		l.services[id] = s
	}
	return s
}

// classQueue returns the state of a class, which it creates on first use. The states
// are ordered by class.
func (s *serviceQueue) classQueue(class ident.Class) *classQueue {
	at, known := slices.BinarySearchFunc(s.classes, class, func(q *classQueue, c ident.Class) int { return int(q.class) - int(c) })
	if !known {
		s.classes = slices.Insert(s.classes, at, &classQueue{class: class})
	}
	return s.classes[at]
}

func (s *serviceQueue) anyWaiting() bool {
	return slices.ContainsFunc(s.classes, func(q *classQueue) bool { return len(q.waiting) > 0 })
}

// belowLimit reports whether one more request may run. If the limit is not a whole
// number, its fraction is the probability that one more request is admitted.
func (s *serviceQueue) belowLimit(random random) bool {
	return float64(s.running)+random.Float64() <= s.limit.value
}

func (s *serviceQueue) admit(q *classQueue) {
	s.running++
	q.admitted++
}

// grant admits the oldest waiting request of the class with the smallest served share.
// At least one request has to wait.
func (s *serviceQueue) grant(now time.Time) {
	var next *classQueue
	least := math.Inf(1)
	handicap := 0.0
	for _, q := range s.classes {
		if len(q.waiting) == 0 {
			continue
		}
		q.decay(now, shareDecay)
		if share := q.share() + handicap; share < least {
			next, least = q, share
		}
		handicap = topClassLead
	}
	waiter := next.waiting[0]
	next.waiting = next.waiting[1:]
	s.admit(next)
	close(waiter.granted)
}

// retryAfter returns the time after which a refused caller may retry while its answer
// can still be in time. Such a retry costs the servers nothing if it is refused again.
func retryAfter(left time.Duration) time.Duration {
	return min(max(time.Duration(maxWaitShare*float64(left)), minWaitRetryAfter), maxRetryAfter)
}

// minWaitRetryAfter is the shortest time after which a refused caller may retry.
const minWaitRetryAfter = 10 * time.Millisecond
