package admit

import (
	"maps"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("fair", func(options Options) Policy { return newFairShare(options) })
}

// fairShare limits the running requests of each service like sharedLimit, and orders those
// that wait by class, then by what their tenant got lately relative to its weight, then by
// deadline. It keeps room for refused callers at the time for which they were told to come
// back. Requests under a configuration without tenants are left to sharedLimit.
type fairShare struct {
	random random
	plain  *sharedLimit

	mu       sync.Mutex
	services map[ident.ServiceID]*fairService
	// flows is the number of tenants in all classes of all services, and sweptAt is when idle
	// ones were last searched for in all of them.
	flows   int
	sweptAt time.Time
}

func newFairShare(options Options) *fairShare {
	return &fairShare{random: newRandom(options), plain: newSharedLimit(options), services: map[ident.ServiceID]*fairService{}}
}

func (p *fairShare) Admit(now time.Time, request Request) Decision {
	if !request.ByTenant {
		return p.plain.Admit(now, request)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(request.Service)
	c := s.class(request.Class)
	f := p.flow(now, c, request)
	c.decay(now, fairDecay)
	f.decay(now, fairDecay)
	spent := s.spent(now, f, &request)
	deadline := request.Deadline.Add(-spent)
	if s.isSaturated(now) && s.isLate(now, deadline) {
		return refuse(reasonLate, s.comeBack(now, c, f, request, deadline))
	}
	c.requested++
	f.requested++
	k := candidate{flow: f, surge: c.countKind(now, f, request.Kind), returned: s.hasReturned(now, c, f, &request, spent)}
	if s.goesFirst(now, c, k) && s.hasRoom(now, c, k) {
		s.running++
		c.admit(now, f)
		return Decision{Admitted: true}
	}
	s.limit.saturatedAt = now
	if s.running == 0 {
		return refuse(reasonFull, s.comeBack(now, c, f, request, deadline))
	}
	if c.waiting-len(c.returned) >= max(minWaiting, int(fairQueueShare*s.limit.value)) && !k.returned {
		displaced := c.last(now, k)
		if displaced == nil {
			return refuse(reasonFull, s.comeBack(now, c, f, request, deadline))
		}
		c.end(displaced, reasonDisplaced)
	}
	return Decision{Waiter: c.newWaiter(now, k, request, deadline)}
}

// EndWait implements QueuingPolicy.
func (p *fairShare) EndWait(waiter *Waiter) bool {
	if waiter.fair == nil {
		return p.plain.EndWait(waiter)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiter.fair.ended {
		return false
	}
	return !p.service(waiter.service).class(waiter.class).dequeue(waiter)
}

// RefuseWaiter implements QueuingPolicy.
func (p *fairShare) RefuseWaiter(now time.Time, waiter *Waiter) Decision {
	if waiter.fair == nil {
		return p.plain.RefuseWaiter(now, waiter)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(waiter.service)
	return refuse(waiter.fair.reason, s.comeBack(now, s.class(waiter.class), waiter.fair.flow, waiter.fair.request, waiter.fair.deadline))
}

// RetryAfter implements QueuingPolicy.
func (p *fairShare) RetryAfter(now time.Time, request Request) time.Duration {
	if !request.ByTenant {
		return p.plain.RetryAfter(now, request)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(request.Service)
	c := s.class(request.Class)
	f := p.flow(now, c, request)
	return s.comeBack(now, c, f, request, request.Deadline.Add(-s.spentBefore(f, &request)))
}

func (p *fairShare) Observe(now time.Time, id ident.ServiceID, class ident.Class, wait, run time.Duration) {
	p.plain.Observe(now, id, class, wait, run)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[id]; s != nil {
		s.wait.add(now, wait)
	}
}

func (p *fairShare) Done(now time.Time, request Request, outcome Outcome) {
	if !request.ByTenant {
		p.plain.Done(now, request, outcome)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(request.Service)
	s.limit.adapt(now, s.cutLoad(now, outcome), request, outcome, s.wait.value(now))
	if !outcome.Overloaded && outcome.Took > 0 {
		s.runs.add(now, outcome.Took)
	}
	s.running--
	s.class(request.Class).done(request.Tenant)
	s.grantAll(now)
}

func (p *fairShare) State() map[ident.ServiceID]ServiceState {
	states := p.plain.State()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.services {
		state := s.state()
		plain := states[id]
		state.Running += plain.Running
		state.Waiting += plain.Waiting
		states[id] = state
	}
	return states
}

func (p *fairShare) Retain(keep func(ident.ServiceID) bool) {
	p.plain.Retain(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.services, func(id ident.ServiceID, s *fairService) bool {
		if keep(id) || s.running > 0 || s.anyWaiting() {
			return false
		}
		for _, c := range s.classes {
			p.flows -= len(c.flows)
		}
		return true
	})
}

// service returns the state of a service, which it creates on first use with the limit that
// was learned before the configuration had tenants.
func (p *fairShare) service(id ident.ServiceID) *fairService {
	s := p.services[id]
	if s == nil {
		s = &fairService{random: p.random, limit: adaptiveBound{value: p.plain.bound(id), canShed: true}}
		p.services[id] = s
	}
	return s
}

// flow returns the state of the tenant of a request, which it creates on first use. While
// there are too many tenants, it returns that of the requests without a tenant.
func (p *fairShare) flow(now time.Time, c *fairClass, request Request) *flow {
	if now.Sub(c.sweptAt) >= flowSweepInterval {
		p.flows -= c.sweep(now)
	}
	tenant := request.Tenant
	f := c.flows[tenant]
	if f == nil && p.flows >= maxFlows && now.Sub(p.sweptAt) >= flowSweepInterval {
		p.sweep(now)
	}
	if f == nil && p.flows >= maxFlows {
		tenant = ""
		f = c.flows[tenant]
	}
	if f == nil {
		f = &flow{tenant: tenant}
		c.flows[tenant] = f
		p.flows++
	}
	if weight := request.weight(); tenant != "" && f.weight != weight {
		c.weights += weight - f.weight
		f.weight = weight
	}
	return f
}

// sweep forgets the idle tenants of all services.
func (p *fairShare) sweep(now time.Time) {
	p.sweptAt = now
	for _, s := range p.services {
		for _, c := range s.classes {
			p.flows -= c.sweep(now)
		}
	}
}

func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}
