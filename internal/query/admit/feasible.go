package admit

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("feasible", func(o Options) Policy {
		return &feasible{options: o.withDefaults(), services: map[ident.ServiceID]*service{}}
	})
}

const (
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller may
	// retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// slowShare is the part of its time that a request may take before it counts as
	// slow.
	slowShare = 0.75
	// longWaitShare is the part of a request's time from which on the queueing time of
	// sub-requests counts as long.
	longWaitShare = 0.15
	// shortWaitShare is the part up to which it counts as short.
	shortWaitShare = 0.05
)

// feasible admits a request if its deadline can probably be met. Each class has an
// adaptive limit on the running requests of its own and of more important classes, so
// that the least important class is refused first.
type feasible struct {
	options Options

	mu       sync.RWMutex
	services map[ident.ServiceID]*service
}

// service is the state of one service.
type service struct {
	mu      sync.Mutex
	classes []class
}

// class is the state of one caller class of a service.
type class struct {
	running int
	limit   limiter
	wait    quantileEstimate
	run     quantileEstimate
}

func (f *feasible) Admit(now time.Time, request Request) Decision {
	s := f.service(request.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.class(request.Class, f.options)
	wait, run := s.expected(now, request.Class)
	queuesShort := float64(wait) < shortWaitShare*float64(request.Deadline.Sub(now))
	if !own.limit.admits(now, s.load(request.Class), queuesShort) {
		return refuse("too many requests", minRetryAfter)
	}
	if now.Add(wait + run).After(request.Deadline) {
		return refuse("deadline cannot be met", min(max(wait, minRetryAfter), maxRetryAfter))
	}
	own.running++
	return Decision{Admitted: true}
}

func (f *feasible) Observe(now time.Time, id ident.ServiceID, rank ident.Class, wait, run time.Duration) {
	s := f.service(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.class(rank, f.options)
	c.wait.add(now, wait)
	c.run.add(now, run)
}

func (f *feasible) Done(now time.Time, request Request, outcome Outcome) {
	s := f.service(request.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.load(request.Class)
	own := s.class(request.Class, f.options)
	own.running--
	wait, _ := s.expected(now, request.Class)
	admitted := now.Add(-outcome.Took)
	budget := request.Deadline.Sub(admitted)
	good := wentWell(budget, outcome, wait)
	own.limit.done(now, admitted, load, good, float64(outcome.Took)/float64(max(budget, 1)))
}

// wentWell reports whether a request gives no reason to lower the limit. A slow request
// is a reason only if queues are long; otherwise servers are slow or unreachable, and
// fewer requests wouldn't help. Requests count as slow before they miss their deadline,
// since limits that are cut only after that react too late.
func wentWell(budget time.Duration, outcome Outcome, wait time.Duration) bool {
	slow := outcome.Late || float64(outcome.Took) > slowShare*float64(budget)
	congested := float64(wait) > longWaitShare*float64(budget)
	return !outcome.Overloaded && (!slow || !congested)
}

func (f *feasible) service(id ident.ServiceID) *service {
	f.mu.RLock()
	known := f.services[id]
	f.mu.RUnlock()
	if known != nil {
		return known
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services[id] == nil {
		f.services[id] = &service{}
	}
	return f.services[id]
}

// class returns the state of a class. The pointer must not be kept, since a later call
// may move the states.
func (s *service) class(rank ident.Class, options Options) *class {
	for len(s.classes) <= int(rank) {
		s.classes = append(s.classes, class{limit: newLimiter(options)})
	}
	return &s.classes[rank]
}

// load returns the number of running requests of the class and of more important ones.
func (s *service) load(rank ident.Class) int {
	load := 0
	for i := 0; i <= int(rank) && i < len(s.classes); i++ {
		load += s.classes[i].running
	}
	return load
}

// expected returns the time that a request of the class will probably wait and run. A
// class waits and runs at least as long as the more important ones.
func (s *service) expected(now time.Time, rank ident.Class) (wait, run time.Duration) {
	for i := 0; i <= int(rank) && i < len(s.classes); i++ {
		wait = max(wait, s.classes[i].wait.value(now))
		run = max(run, s.classes[i].run.value(now))
	}
	return wait, run
}
