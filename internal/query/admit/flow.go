package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// fairDecay is the time constant of the counts by which tenants and classes share. VMs see
	// less than a request per second of most tenants, so that counts have to last longer than
	// a queue does, and bursts last 6 s.
	fairDecay = 3 * time.Second
	// idleDemand is the count of requests below which a tenant without requests is forgotten,
	// 9 s after a single request.
	idleDemand = 0.05
	// flowSweepInterval is the time between two searches for idle tenants in a class.
	flowSweepInterval = 5 * time.Second
	// maxFlows bounds the tenants of all classes and services of a VM. Further tenants are
	// served as one.
	maxFlows = 10_000
	// untenantedWeight offsets the free request of each tenant, which requests without a tenant
	// have only once.
	untenantedWeight = 1.15
	// lightRatio is the ratio of a tenant's load to that of the heaviest one below which it
	// counts as light.
	lightRatio = 0.8
)

// flow holds the recent demand and the waiting requests of one tenant in a class, or those of
// all requests of the class without a tenant.
type flow struct {
	demand
	tenant  ident.TenantID
	weight  float64
	running int
	// waiting holds the waiting requests, by surge and then by deadline.
	waiting []*Waiter
	// returned is the number of waiting requests in fairClass.returned.
	returned int
	fullWait fullWait
	// calm is the number of requests that arrived while none was refused.
	calm int
	// nextPromise is the earliest time for which another promise may be given.
	nextPromise time.Time
}

// fairWaiter is the part of a Waiter that belongs to the policy fair.
type fairWaiter struct {
	candidate
	request Request
	// deadline is the time of the goal, counted from the caller's first attempt.
	deadline time.Time
	refused  chan struct{}
	reason   string
	// ended is set once the wait is over for another reason than a grant.
	ended bool
}

// fairClass is the state of one class of a service.
type fairClass struct {
	demand
	class   ident.Class
	running int
	waiting int
	flows   map[ident.TenantID]*flow
	// kinds holds the demand by kind, and surgedAt is when a request of a surging kind came last.
	kinds    map[string]*kindDemand
	surgedAt time.Time
	// active holds the flows with requests that run or wait.
	active []*flow
	// heaviest is the flow with the largest load when it last got a request, or nil.
	heaviest *flow
	// returned holds the waiting requests of callers who came back as they were told, the
	// oldest first. They are in no flow.
	returned []*Waiter
	// weights is the sum of the weights of all flows with a tenant.
	weights  float64
	promises promises
	sweptAt  time.Time
}

// weightOf returns the weight of a flow. Requests without a tenant weigh as much as they would
// as requests of average tenants, so that their served share is that of the class.
func (c *fairClass) weightOf(f *flow) float64 {
	if f.tenant != "" {
		return f.weight
	}
	others := c.requested - f.requested
	if others < idleDemand || c.weights <= 0 {
		return 1
	}
	return untenantedWeight * max(f.requested, idleDemand) * c.weights / others
}

// load returns what a flow got lately and has pending, relative to its weight.
func (c *fairClass) load(now time.Time, f *flow, pending int) float64 {
	f.decay(now, fairDecay)
	return max(f.admitted+float64(pending)-1, 0) / c.weightOf(f)
}

// candidate is a request that waits, or would wait or run.
type candidate struct {
	flow *flow
	// surge is how many times its usual rate the request's kind is sent at.
	surge float64
	// returned is set if the caller was refused and comes back at the time it was told.
	returned bool
}

// place returns the place of a candidate in its class: that with the smallest place goes first. It
// is the load of the tenant, and more for a kind that surges, so that a burst of one kind isn't
// at the cost of the others.
func (c *fairClass) place(now time.Time, k candidate, pending int) float64 {
	return c.load(now, k.flow, pending) + surgePenalty*(k.surge-1)*c.meanLoad()
}

// isLight reports whether a candidate is behind others: its tenant uses much less of its part than
// another one lately, or a kind surges that isn't the candidate's.
func (c *fairClass) isLight(now time.Time, k candidate) bool {
	if c.heaviest != nil && c.heaviest != k.flow && c.place(now, k, 1) < lightRatio*c.load(now, c.heaviest, 0) {
		return true
	}
	return k.surge <= 1 && now.Sub(c.surgedAt) < surgeTime && c.load(now, k.flow, 1) < spareTimesMean*c.meanLoad()
}

// next returns the waiting request that goes first, or nil: callers who came back, then the
// earliest deadline of the tenant that got least relative to its weight.
func (c *fairClass) next(now time.Time) *Waiter {
	if len(c.returned) > 0 {
		return c.returned[0]
	}
	var first *Waiter
	least := 0.0
	for _, f := range c.active {
		if len(f.waiting) == 0 {
			continue
		}
		w := f.waiting[0]
		if place := c.place(now, w.fair.candidate, 0); first == nil || place < least {
			first, least = w, place
		}
	}
	return first
}

// last returns the waiting request that a candidate displaces, or nil: the latest one of the tenant
// that has most, if that is more than the candidate's.
func (c *fairClass) last(now time.Time, k candidate) *Waiter {
	var last *Waiter
	most := c.place(now, k, len(k.flow.waiting)+1)
	for _, f := range c.active {
		if len(f.waiting) == 0 {
			continue
		}
		w := f.waiting[len(f.waiting)-1]
		if f == k.flow && w.fair.surge <= k.surge {
			continue
		}
		if place := c.place(now, w.fair.candidate, len(f.waiting)); place > most {
			last, most = w, place
		}
	}
	return last
}

// enqueue lets a request wait.
func (c *fairClass) enqueue(w *Waiter) {
	c.waiting++
	f := w.fair.flow
	if w.fair.returned {
		c.returned = append(c.returned, w)
		f.returned++
		return
	}
	at, _ := slices.BinarySearchFunc(f.waiting, w, func(a, b *Waiter) int {
		// A request with the same deadline goes behind those that wait already.
		return cmp.Or(cmp.Compare(a.fair.surge, b.fair.surge), a.fair.deadline.Compare(b.fair.deadline), -1)
	})
	f.waiting = slices.Insert(f.waiting, at, w)
	c.setActive(f)
}

// dequeue ends the wait of a request. It reports whether the request was waiting.
func (c *fairClass) dequeue(w *Waiter) bool {
	f := w.fair.flow
	queue := &f.waiting
	if w.fair.returned {
		queue = &c.returned
	}
	at := slices.Index(*queue, w)
	if at < 0 {
		return false
	}
	if w.fair.returned {
		f.returned--
	}
	*queue = slices.Delete(*queue, at, at+1)
	c.waiting--
	c.setActive(f)
	return true
}

// setActive keeps active in step with what runs and waits.
func (c *fairClass) setActive(f *flow) {
	at := slices.Index(c.active, f)
	switch busy := f.running > 0 || len(f.waiting) > 0; {
	case busy && at < 0:
		c.active = append(c.active, f)
	case !busy && at >= 0:
		c.active = slices.Delete(c.active, at, at+1)
	default:
	}
}

func (c *fairClass) admit(now time.Time, f *flow) {
	c.decay(now, fairDecay)
	f.decay(now, fairDecay)
	c.admitted++
	f.admitted++
	c.running++
	f.running++
	c.setActive(f)
	if c.heaviest == nil || c.load(now, f, 0) > c.load(now, c.heaviest, 0) {
		c.heaviest = f
	}
}

// done ends an admitted request of a tenant. A tenant that was served with others because
// there were too many may have got a flow of its own since.
func (c *fairClass) done(tenant ident.TenantID) {
	c.running--
	f := c.flows[tenant]
	if f == nil || f.running == 0 {
		f = c.flows[""]
	}
	if f != nil && f.running > 0 {
		f.running--
		c.setActive(f)
	}
}

// shareOfOthers returns the share of the requests that were admitted lately of all tenants but the
// heaviest.
func (c *fairClass) shareOfOthers(now time.Time) float64 {
	c.decay(now, fairDecay)
	others := c.demand
	if c.heaviest != nil {
		c.heaviest.decay(now, fairDecay)
		others.requested -= c.heaviest.requested
		others.admitted -= c.heaviest.admitted
	}
	return others.share()
}

// idle reports whether a flow can be forgotten.
func (c *fairClass) idle(now time.Time, f *flow) bool {
	if f.running > 0 || len(f.waiting) > 0 || f.returned > 0 || now.Before(f.nextPromise) {
		return false
	}
	f.decay(now, fairDecay)
	return f.requested < idleDemand
}

// idleTenants returns the tenants that can be forgotten, in a fixed order, so that the sum of
// the weights is rounded the same way in each run.
func (c *fairClass) idleTenants(now time.Time) []ident.TenantID {
	var tenants []ident.TenantID
	for tenant, f := range c.flows {
		if c.idle(now, f) {
			tenants = append(tenants, tenant)
		}
	}
	slices.Sort(tenants)
	return tenants
}

// sweep forgets idle flows and returns their number.
func (c *fairClass) sweep(now time.Time) int {
	forgotten := 0
	c.sweptAt = now
	c.sweepKinds(now)
	for _, tenant := range c.idleTenants(now) {
		f := c.flows[tenant]
		if c.heaviest == f {
			c.heaviest = nil
		}
		delete(c.flows, tenant)
		forgotten++
		if tenant != "" {
			c.weights -= f.weight
		}
	}
	return forgotten
}
