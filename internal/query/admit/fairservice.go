package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// leastClassFactor is the least served share that a class is entitled to, relative to that
	// of the most important one. It has to stay above the quarter of the mean that each class
	// gets at least, with a margin for the small numbers of requests that one VM sees.
	leastClassFactor = 0.4
	// classFactorDecay is the factor per class by which the part above that falls.
	classFactorDecay = 0.35
	// overdraft is the part of the limit by which requests that go before others may exceed it,
	// and largeOverdraft and largeShare bound that at larger limits. With a whole request on VMs
	// that run one or two, searches at three times the capacity had a goodput of 0.71 instead of
	// 0.77, since their parts met full servers; with half of the limit on one VM, its servers
	// were full so often that the limit fell and a tenth of the capacity was unused.
	overdraft      = 0.5
	largeOverdraft = 1.2
	largeShare     = 0.1
	// surgeShare is the part of the limit that a kind that surges may use up.
	surgeShare = 0.8
	// returnOverdraft is the least excess for callers who come back as they were told.
	returnOverdraft = 1
	// fairQueueShare is the part of the limit up to which requests of a class may wait. Twice
	// as many as with sharedLimit: requests of other tenants displace those that wait longest,
	// and with a shorter queue tenants are refused by the chance of who came first.
	fairQueueShare = 0.5
	// defaultRunTime is the assumed run time of requests before the first one has ended.
	defaultRunTime = 50 * time.Millisecond
	// maxHeaviest bounds the tenants of a class in the state.
	maxHeaviest = 10
)

// fairService is the state of one service.
type fairService struct {
	random   random
	running  int
	limit    adaptiveBound
	wait     quantileEstimate
	runs     runTimes
	fullWait fullWait
	// classes are ordered by class.
	classes []*fairClass
}

// class returns the state of a class, which it creates on first use.
func (s *fairService) class(class ident.Class) *fairClass {
	at, known := slices.BinarySearchFunc(s.classes, class, func(c *fairClass, wanted ident.Class) int { return cmp.Compare(c.class, wanted) })
	if !known {
		s.classes = slices.Insert(s.classes, at, &fairClass{class: class, flows: map[ident.TenantID]*flow{}, kinds: map[string]*kindDemand{}})
	}
	return s.classes[at]
}

// hasReturned reports whether a request may be from a caller that was refused and comes back at
// the time it was told. spent is the time for which its caller had waited before.
func (s *fairService) hasReturned(now time.Time, c *fairClass, f *flow, request *Request, spent time.Duration) bool {
	if spent == 0 && request.Wait > 0 {
		return false
	}
	if c.promises.take(now, f.tenant, func(tenant ident.TenantID) bool {
		other := c.flows[tenant]
		return other == nil || c.load(now, f, 0) <= c.load(now, other, 0)
	}) {
		return true
	}
	asTold := spent > 0 && float64(spent) <= maxToldShare*float64(request.Deadline.Sub(now))
	// Callers move both ways, so that about as many come with a promise of another VM as this one
	// gives; twice as many are honoured, since they come at random.
	return asTold && c.promises.takeForeign(now, s.promiseInterval(now, c)/2)
}

// isLate reports whether a request that starts now certainly ends after its deadline.
func (s *fairService) isLate(now, deadline time.Time) bool {
	return now.Add(s.runs.fastest(now)).After(deadline)
}

// cutLoad returns the load from which the limit is adapted. A VM whose requests don't wait is
// hardly the cause of full servers: its limit stays above its load, so that its tenants don't
// pay for those of other VMs. For others it is at least the mean load: at the end of a request
// few may happen to run on a VM that runs two on average, and a limit below the mean makes the
// next requests wait, so that further cuts follow.
func (s *fairService) cutLoad(now time.Time, outcome Outcome) int {
	switch {
	case !outcome.Overloaded:
		return s.running
	case !s.isSaturated(now):
		return 2*s.running + 1
	default:
		return max(s.running, int(math.Round(s.meanRunning(now))))
	}
}

// meanRunning returns the mean number of requests that ran lately.
func (s *fairService) meanRunning(now time.Time) float64 {
	admitted := 0.0
	for _, c := range s.classes {
		c.decay(now, fairDecay)
		admitted += c.admitted
	}
	return admitted * s.runTime() / float64(fairDecay)
}

// isSaturated reports whether requests had to wait or were refused lately.
func (s *fairService) isSaturated(now time.Time) bool {
	return now.Sub(s.limit.saturatedAt) < shareDecay
}

func (s *fairService) anyWaiting() bool {
	return slices.ContainsFunc(s.classes, func(c *fairClass) bool { return c.waiting > 0 })
}

// turn returns the share by which classes take turns: the smallest one goes first. Each class
// is entitled to a smaller served share than a more important one with recent requests.
func (s *fairService) turn(now time.Time, c *fairClass) float64 {
	factor := 1.0
	for _, other := range s.classes {
		if other == c {
			break
		}
		if other.decay(now, fairDecay); other.requested > idleDemand {
			factor *= classFactorDecay
		}
	}
	c.decay(now, fairDecay)
	return c.share() / (leastClassFactor + (1-leastClassFactor)*factor)
}

// next returns the class whose waiting request goes first, or nil if none waits. Callers who
// came back as they were told go before other classes, which is only a small part of all.
func (s *fairService) next(now time.Time) *fairClass {
	var first *fairClass
	least := math.Inf(1)
	for _, c := range s.classes {
		if len(c.returned) > 0 {
			return c
		}
		if c.waiting == 0 {
			continue
		}
		if turn := s.turn(now, c); turn < least {
			first, least = c, turn
		}
	}
	return first
}

// goesFirst reports whether a new request goes before all that wait.
func (s *fairService) goesFirst(now time.Time, c *fairClass, k candidate) bool {
	first := s.next(now)
	switch {
	case first == nil || k.returned && len(first.returned) == 0:
		return true
	case len(first.returned) > 0:
		return false
	case first != c:
		return s.turn(now, c) < s.turn(now, first)
	default:
		return c.place(now, k, 0) < c.place(now, c.next(now).fair.candidate, 0)
	}
}

// hasRoom reports whether one more request may run: the running and the promised requests stay
// below the limit. A request of a class or a tenant that is behind others may exceed the limit
// by the overdraft, since servers may have room, or get it sooner than this VM does.
func (s *fairService) hasRoom(now time.Time, c *fairClass, k candidate) bool {
	value := s.limit.current(now)
	draw := s.random.Float64()
	below := func(running int) bool { return float64(running)+draw <= value }
	kept := 0
	if !k.returned {
		kept = s.kept(now, c)
	}
	if k.surge > 1 && !k.returned {
		return float64(s.running+kept)+draw <= surgeShare*value
	}
	if below(s.running + kept) {
		return true
	}
	excess := min(overdraft*max(value, minBound), largeOverdraft+largeShare*value)
	if k.returned {
		excess = max(excess, returnOverdraft)
	}
	if float64(s.running)+draw > max(value+excess, minBound) {
		return false
	}
	return k.returned || s.isBehind(now, c) || c.isLight(now, k)
}

// kept returns the number of places that are kept for callers of the class, and of more
// important ones, who will come back while a request that starts now still runs. One place
// is left to newcomers.
func (s *fairService) kept(now time.Time, c *fairClass) int {
	by, kept := now.Add(time.Duration(s.runs.mean)), 0
	for _, other := range s.classes {
		if other.class <= c.class {
			other.promises.expire(now)
			kept += other.promises.due(by)
		}
	}
	return min(kept, max(int(s.limit.value)-1, 0))
}

// isBehind reports whether the class got less of what it is entitled to than all others with
// recent requests.
func (s *fairService) isBehind(now time.Time, c *fairClass) bool {
	others := false
	own := s.turn(now, c)
	for _, other := range s.classes {
		if other == c || other.requested < idleDemand {
			continue
		}
		if others = true; s.turn(now, other) < own {
			return false
		}
	}
	return others
}

// grantAll admits waiting requests while there is room, and ends the wait of those that can't
// meet their goal any more.
func (s *fairService) grantAll(now time.Time) {
	for {
		c := s.next(now)
		if c == nil {
			return
		}
		waiter := c.next(now)
		if s.isLate(now, waiter.fair.deadline) {
			c.end(waiter, reasonLate)
			continue
		}
		if !s.hasRoom(now, c, waiter.fair.candidate) {
			return
		}
		c.dequeue(waiter)
		s.running++
		c.admit(now, waiter.fair.flow)
		close(waiter.granted)
	}
}

// newWaiter lets a request wait.
func (c *fairClass) newWaiter(now time.Time, k candidate, request Request, deadline time.Time) *Waiter {
	granted, refused := make(chan struct{}), make(chan struct{})
	waiter := &Waiter{
		Granted: granted, Refused: refused, Until: now.Add(time.Duration(maxWaitShare * float64(request.Deadline.Sub(now)))),
		granted: granted, class: request.Class, service: request.Service,
		fair: &fairWaiter{candidate: k, request: request, deadline: deadline, refused: refused, reason: reasonWaited},
	}
	c.enqueue(waiter)
	return waiter
}

// end ends the wait of a request with a refusal.
func (c *fairClass) end(waiter *Waiter, reason string) {
	c.dequeue(waiter)
	waiter.fair.ended, waiter.fair.reason = true, reason
	close(waiter.fair.refused)
}

// comeBack returns the time after which a refused caller may retry. If there will be room
// while the answer can still be in time, the room is kept for it. Otherwise it is the time
// until the queue has room for the tenant.
func (s *fairService) comeBack(now time.Time, c *fairClass, f *flow, request Request, deadline time.Time) time.Duration {
	soon := retryAfter(request.Deadline.Sub(now))
	interval := s.promiseInterval(now, c)
	drain := time.Duration(float64(s.waitingUpTo(c)) * s.runTime() / s.limit.value)
	earliest := now.Add(max(soon, drain))
	at := latest(earliest, c.promises.next, f.nextPromise)
	wait := at.Sub(now)
	jitter := s.random.below(min(interval, soon))
	inTime := !at.Add(jitter + time.Duration(s.runTime())).After(deadline)
	if wait > 2*soon || !inTime || c.isHeavy(now, f) || len(c.promises.kept) >= maxPromises {
		if request.Wait <= 0 {
			return s.random.spread(soon)
		}
		return min(s.random.spread(max(wait, request.Wait/3+soon)), maxRetryAfter)
	}
	ownPart := min(c.weightOf(f)/max(c.weights, c.weightOf(f)), 1)
	ownInterval := min(time.Duration(float64(interval)/ownPart), maxRetryAfter)
	ahead, ownAhead := c.promisesAhead(now)
	c.promises.next = nextPromise(c.promises.next, at, interval, ahead)
	f.nextPromise = nextPromise(f.nextPromise, at, ownInterval, ownAhead)
	at = at.Add(jitter)
	c.promises.add(promise{at: at, tenant: f.tenant})
	return at.Sub(now)
}

// promisesAhead returns how many promises of a class, and of one of its tenants, may be given ahead
// of their intervals.
func (c *fairClass) promisesAhead(now time.Time) (ofClass, ofTenant int) {
	if now.Sub(c.surgedAt) < surgeTime || c.shareOfOthers(now) < wellServed {
		return 0, 0
	}
	return classPromisesAhead, tenantPromisesAhead
}

// runTime returns the mean run time of requests in nanoseconds.
func (s *fairService) runTime() float64 {
	if s.runs.mean <= 0 {
		return float64(defaultRunTime)
	}
	return s.runs.mean
}

// promiseInterval returns the mean time between two promises to callers of a class: they get
// the promised part of the capacity, by what the classes were admitted lately.
func (s *fairService) promiseInterval(now time.Time, c *fairClass) time.Duration {
	requested, admitted := 0.0, 0.0
	for _, other := range s.classes {
		other.decay(now, fairDecay)
		requested += other.requested
		admitted += other.admitted
	}
	part := 1.0
	if admitted > 0 {
		part = max(c.admitted/admitted, 0.1)
	}
	share := leastPromised
	if requested > 0 {
		share += (mostPromised - leastPromised) * min(max((admitted/requested-fewAdmitted)/(1-fewAdmitted), 0), 1)
	}
	return time.Duration(s.runTime() / (share * part * s.limit.value))
}

// waitingUpTo returns the number of waiting requests of a class and of more important ones.
func (s *fairService) waitingUpTo(c *fairClass) int {
	waiting := 0
	for _, other := range s.classes {
		if other.class <= c.class {
			waiting += other.waiting
		}
	}
	return waiting
}

// state returns the state for operators. Loads are as of the last request of each tenant.
func (s *fairService) state() ServiceState {
	state := ServiceState{Bound: s.limit.value, Running: s.running}
	for _, c := range s.classes {
		state.Waiting += c.waiting
		state.Classes = append(state.Classes, ClassState{
			Class: c.class, Running: c.running, Waiting: c.waiting, Share: c.share(), Promises: len(c.promises.kept), Tenants: len(c.flows), Heaviest: c.heaviestStates(),
		})
	}
	return state
}

// heaviestStates returns the state of the tenants with the largest use relative to their weight.
func (c *fairClass) heaviestStates() []TenantState {
	compare := func(a, b TenantState) int {
		return cmp.Or(cmp.Compare(b.Admitted/b.Weight, a.Admitted/a.Weight), cmp.Compare(a.Tenant, b.Tenant))
	}
	// Each scrape of the metrics reads the state, so that not all tenants are sorted.
	states := make([]TenantState, 0, maxHeaviest+1)
	for _, f := range c.flows {
		state := TenantState{
			Tenant: f.tenant, Weight: c.weightOf(f), Running: f.running, Waiting: len(f.waiting), Requested: f.requested, Admitted: f.admitted,
		}
		if at, _ := slices.BinarySearchFunc(states, state, compare); at < maxHeaviest {
			states = slices.Insert(states, at, state)
			states = states[:min(len(states), maxHeaviest)]
		}
	}
	return states
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
