package admit

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("room", func(Options) Policy { return &room{services: map[ident.ServiceID]*space{}} })
}

const (
	// lead is what a class has to be served less often, as a share of what it asks
	// for, than the most important one before it goes first.
	lead = 0.05
	// shareDecay is the time in which what classes asked for and got loses most of
	// its weight.
	shareDecay = time.Second
	// patience is the part of the time to its deadline that a request waits for
	// room. A refusal after it leaves time to come back.
	patience = 0.2
	// leastWaiting is the number of requests of a class that may always wait.
	leastWaiting = 1
)

// room admits as many requests at a time as backend servers bear, by one adaptive
// limit for all classes of a service. A request that finds no room waits for a short
// time, if it can expect some; others are refused at once. Classes share the room in
// proportion to what they ask for, with a lead for the most important one, so that
// none is starved. It suits entries that hold a small part of the traffic: the limit
// counts in parts of a request.
type room struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*space
}

// space is the state of one service.
type space struct {
	running int
	limit   bound
	wait    peak
	classes []*tally
}

// tally is what the requests of one class asked for and got lately.
type tally struct {
	class      ident.Class
	asked, got float64
	updatedAt  time.Time
	// waiting holds the requests that wait for room, the oldest first.
	waiting []*Waiter
}

// Waiter is a request that waits for admission.
type Waiter struct {
	// Granted is closed when there is room.
	Granted <-chan struct{}
	// Until is the time until which it may wait.
	Until time.Time

	granted chan struct{}
	class   ident.Class
	service ident.ServiceID
}

func (r *room) Admit(now time.Time, request Request) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(request.Service)
	own := s.tally(request.Class)
	own.decay(now)
	own.asked++
	left := request.Deadline.Sub(now)
	if !s.anyWaiting() && s.hasRoom() {
		s.admit(own)
		return Decision{Admitted: true}
	}
	s.limit.pressedAt = now
	if len(own.waiting) >= max(leastWaiting, int(patience*s.limit.value)) {
		return refuse("backend servers bear no more", retryAfter(left))
	}
	granted := make(chan struct{})
	turn := &Waiter{
		Granted: granted, Until: now.Add(time.Duration(patience * float64(left))),
		granted: granted, class: request.Class, service: request.Service,
	}
	own.waiting = append(own.waiting, turn)
	return Decision{Waiter: turn, Reason: "no room in time", RetryAfter: retryAfter(left)}
}

// EndWait ends a wait. It reports whether the request was admitted meanwhile.
func (r *room) EndWait(turn *Waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.space(turn.service).tally(turn.class)
	if at := slices.Index(own.waiting, turn); at >= 0 {
		own.waiting = slices.Delete(own.waiting, at, at+1)
		return false
	}
	return true
}

func (r *room) Observe(now time.Time, id ident.ServiceID, _ ident.Class, wait, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.space(id).wait.add(now, wait)
}

func (r *room) Done(now time.Time, request Request, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(request.Service)
	admitted := now.Add(-outcome.Took)
	budget := request.Deadline.Sub(admitted)
	// Requests that are slow without being refused give no reason to admit less:
	// servers that are slow or out of reach do not get better by it.
	if outcome.Overloaded {
		s.limit.cut(now, admitted, s.running)
	} else {
		s.limit.grow(now, s.running, float64(s.wait.value(now)) < relaxedShare*float64(budget))
	}
	s.running--
	for s.anyWaiting() && s.hasRoom() {
		s.grant(now)
	}
}

func (r *room) State() map[ident.ServiceID]ServiceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := make(map[ident.ServiceID]ServiceState, len(r.services))
	for id, s := range r.services {
		state := ServiceState{Bound: s.limit.value, Running: s.running}
		for _, t := range s.classes {
			state.Waiting += len(t.waiting)
		}
		states[id] = state
	}
	return states
}

func (r *room) Retain(keep func(ident.ServiceID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.services, func(id ident.ServiceID, s *space) bool {
		return !keep(id) && s.running == 0 && !s.anyWaiting()
	})
}

// space returns the state of a service.
func (r *room) space(id ident.ServiceID) *space {
	s := r.services[id]
	if s == nil {
		s = &space{limit: bound{value: startBound}}
		r.services[id] = s
	}
	return s
}

// tally returns the tally of a class. Tallies are ordered by class.
func (s *space) tally(class ident.Class) *tally {
	at, known := slices.BinarySearchFunc(s.classes, class, func(t *tally, c ident.Class) int { return int(t.class) - int(c) })
	if !known {
		s.classes = slices.Insert(s.classes, at, &tally{class: class})
	}
	return s.classes[at]
}

func (s *space) anyWaiting() bool {
	return slices.ContainsFunc(s.classes, func(t *tally) bool { return len(t.waiting) > 0 })
}

// hasRoom reports whether one more request may run. A part of a request is granted
// by chance.
func (s *space) hasRoom() bool {
	return float64(s.running)+rand.Float64() <= s.limit.value
}

func (s *space) admit(t *tally) {
	s.running++
	t.got++
}

// grant admits the request that waits longest of the class that was served least of
// what it asked for.
func (s *space) grant(now time.Time) {
	var next *tally
	least := math.Inf(1)
	handicap := 0.0
	for _, t := range s.classes {
		if len(t.waiting) == 0 {
			continue
		}
		t.decay(now)
		if share := t.share() + handicap; share < least {
			next, least = t, share
		}
		handicap = lead
	}
	turn := next.waiting[0]
	next.waiting = next.waiting[1:]
	s.admit(next)
	close(turn.granted)
}

func (t *tally) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(t.updatedAt)) / float64(shareDecay))
	t.asked, t.got, t.updatedAt = t.asked*factor, t.got*factor, now
}

// share returns the served share of what a class asked for.
func (t *tally) share() float64 {
	return t.got / max(t.asked, 1)
}

// retryAfter lets a refused caller come back while its answer can still be in time.
// Each further chance costs the servers nothing.
func retryAfter(left time.Duration) time.Duration {
	return min(max(time.Duration(patience*float64(left)), minReturn), maxRetry)
}

// minReturn is the shortest time after which a refused caller may come back.
const minReturn = 10 * time.Millisecond
