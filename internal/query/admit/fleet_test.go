package admit_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/admit"
)

// The simulated service: its servers together run fleetCapacity requests per second.
const (
	fleetServers  = 6
	fleetSlots    = 2
	fleetQueue    = 4
	fleetWork     = 60 * time.Millisecond
	fleetOneWay   = 1200 * time.Microsecond
	fleetCapacity = fleetServers * fleetSlots / 0.060
	fleetGoal     = 300 * time.Millisecond
	fleetTimeout  = 900 * time.Millisecond
)

// source is a group of callers that send the same kind of request.
type source struct {
	tenant ident.TenantID
	kind   string
	weight float64
	class  ident.Class
	// rate is the number of requests per second at a time of the run.
	rate func(at time.Duration) float64
	// homes is the number of VMs that the callers use, or 0 for all.
	homes int
	// plain is set if the configuration has no tenants.
	plain bool
	stats sourceStats
}

// sourceStats counts what happened to the requests that began after the settling time.
type sourceStats struct {
	sent, served, inGoal int
	credit               float64
	// first counts the first attempts that were served. returned counts the callers that came
	// back at the time that they were told, refusedTwice those of them that the policy refused
	// again, and metFull those that full servers did. early counts those that came back before
	// that time, since they had no time left.
	first, returned, refusedTwice, metFull, early int
	slowestRefusal                                time.Duration
}

func (s sourceStats) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// value returns the credit per request.
func (s sourceStats) value() float64 { return s.credit / float64(max(s.sent, 1)) }

// firstShare returns the share of first attempts that were served.
func (s sourceStats) firstShare() float64 { return float64(s.first) / float64(max(s.sent, 1)) }

func (s *sourceStats) add(o sourceStats) {
	s.sent += o.sent
	s.served += o.served
	s.inGoal += o.inGoal
	s.credit += o.credit
	s.first += o.first
	s.returned += o.returned
	s.refusedTwice += o.refusedTwice
	s.early += o.early
	s.metFull += o.metFull
	s.slowestRefusal = max(s.slowestRefusal, o.slowestRefusal)
}

func sum(sources []*source) (total sourceStats) {
	for _, s := range sources {
		total.add(s.stats)
	}
	return total
}

// fleetCall is one request of a caller.
type fleetCall struct {
	source *source
	// first is the first of the VMs that the callers use.
	first          int
	asked, arrived time.Duration
	second, told   bool
	counts         bool
	request        admit.Request
	vm             admit.QueuingPolicy
	// waiter is set while the call waits for admission.
	waiter     *admit.Waiter
	admittedAt time.Duration
	attempts   int
}

// fleetServer is a simulated backend server.
type fleetServer struct {
	running int
	queue   []func()
}

// fleet simulates VMs with a policy each and the backend servers of one service, by events.
type fleet struct {
	t       *testing.T
	vms     []admit.QueuingPolicy
	servers [fleetServers]fleetServer
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	// waiting holds the calls that wait for admission, the oldest first.
	waiting []*fleetCall
	measure [2]time.Duration
	// leave is set if callers come back to any VM, not to the one that refused them.
	leave bool
	// silent is set if callers don't say how long they still wait.
	silent bool
}

type fleetEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newFleet returns a fleet of the given size. Requests that begin within measure are counted.
// The seed determines the load and what the policies draw.
func newFleet(t *testing.T, policy string, vms int, seed uint64, measure [2]time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), measure: measure}
	drawn := rand.NewPCG(seed, 2)
	for range vms {
		vm, ok := newPolicy(t, policy, admit.Options{Source: drawn}).(admit.QueuingPolicy)
		require.True(t, ok)
		f.vms = append(f.vms, vm)
	}
	return f
}

func (f *fleet) at(at time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, fleetEvent{at, f.order, run})
}

func (f *fleet) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

// run lets the sources send until the given time.
func (f *fleet) run(length time.Duration, sources []*source) {
	for _, s := range sources {
		first := f.random.IntN(len(f.vms))
		f.arrive(s, first, length)
	}
	for f.events.Len() > 0 {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.run()
		f.settleWaiters()
	}
	require.Empty(f.t, f.waiting, "requests that wait for ever")
	for _, vm := range f.vms {
		for _, state := range vm.State() {
			require.Zero(f.t, state.Running+state.Waiting, "requests that never end")
		}
	}
}

// arrive schedules the next request of a source.
func (f *fleet) arrive(s *source, first int, length time.Duration) {
	const step = 20 * time.Millisecond
	at := f.now
	// Draws in small steps, so that changes of the rate take effect.
	for at < length {
		if gap := time.Duration(f.random.ExpFloat64() / max(s.rate(at), 1e-9) * float64(time.Second)); gap < step {
			at += gap
			break
		}
		at += step
	}
	if at >= length {
		return
	}
	f.at(at, func() {
		f.ask(&fleetCall{source: s, first: first, asked: f.now, counts: f.now >= f.measure[0] && f.now < f.measure[1], vm: f.pick(s, first)})
		f.arrive(s, first, length)
	})
}

func (f *fleet) pick(s *source, first int) admit.QueuingPolicy {
	if s.homes == 0 {
		return f.vms[f.random.IntN(len(f.vms))]
	}
	return f.vms[(first+f.random.IntN(s.homes))%len(f.vms)]
}

func (f *fleet) ask(c *fleetCall) {
	c.arrived = f.now
	s := c.source
	c.request = admit.Request{
		Service: "s", Class: s.class, Deadline: f.clock().Add(fleetGoal), ByTenant: !s.plain, Tenant: s.tenant, Kind: s.kind, Weight: s.weight, Timeout: fleetTimeout,
	}
	if !f.silent {
		c.request.Wait = fleetTimeout - (f.now - c.asked)
	}
	decision := c.vm.Admit(f.clock(), c.request)
	switch {
	case decision.Admitted:
		f.begin(c)
	case decision.Waiter != nil:
		c.waiter = decision.Waiter
		f.waiting = append(f.waiting, c)
		f.at(f.now+c.waiter.Until.Sub(f.clock()), func() {
			if c.waiter != nil {
				f.endWait(c)
			}
		})
	default:
		f.refused(c, decision.RetryAfter)
	}
}

// settleWaiters handles the waiters whose wait was ended by the last event.
func (f *fleet) settleWaiters() {
	for _, c := range slices.Clone(f.waiting) {
		select {
		case <-c.waiter.Granted:
		case <-c.waiter.Refused:
		default:
			continue
		}
		f.endWait(c)
	}
}

func (f *fleet) endWait(c *fleetCall) {
	waiter := c.waiter
	c.waiter = nil
	f.waiting = slices.DeleteFunc(f.waiting, func(other *fleetCall) bool { return other == c })
	if c.vm.EndWait(waiter) {
		f.begin(c)
		return
	}
	f.refused(c, c.vm.RefuseWaiter(f.clock(), waiter).RetryAfter)
}

func (f *fleet) begin(c *fleetCall) {
	c.admittedAt = f.now
	f.send(c)
}

// send sends an attempt to the less loaded of two servers.
func (f *fleet) send(c *fleetCall) {
	c.attempts++
	server := &f.servers[f.random.IntN(fleetServers)]
	if other := &f.servers[f.random.IntN(fleetServers)]; other.load() < server.load() {
		server = other
	}
	work := time.Duration(float64(fleetWork) * math.Exp(0.35*f.random.NormFloat64()-0.06))
	f.at(f.now+fleetOneWay, func() {
		run := func() {
			f.at(f.now+work, func() {
				server.next()
				queued := len(server.queue)
				f.at(f.now+fleetOneWay, func() { f.answered(c, queued) })
			})
		}
		switch {
		case server.running < fleetSlots:
			server.running++
			run()
		case len(server.queue) < fleetQueue:
			server.queue = append(server.queue, run)
		default:
			f.at(f.now+fleetOneWay, func() { f.full(c) })
		}
	})
}

func (s *fleetServer) load() int { return s.running + len(s.queue) }

func (s *fleetServer) next() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	run := s.queue[0]
	s.queue = s.queue[1:]
	run()
}

func (f *fleet) answered(c *fleetCall, queued int) {
	perSlot := float64(queued) / fleetSlots
	wait := time.Duration(perSlot * float64(f.now-c.admittedAt) / (1 + perSlot))
	c.vm.Observe(f.clock(), "s", c.source.class, wait, 0)
	c.vm.Done(f.clock(), c.request, admit.Outcome{Took: f.now - c.admittedAt, Overloaded: c.attempts > 1})
	if !c.counts {
		return
	}
	stats := &c.source.stats
	stats.sent++
	stats.served++
	worth := 1.0
	if c.second {
		worth = 0.5
		f.countReturn(c, true)
	} else {
		stats.first++
	}
	if f.now-c.asked <= fleetGoal {
		stats.inGoal++
		stats.credit += worth
	}
}

// full handles the refusal of an attempt by a full server.
func (f *fleet) full(c *fleetCall) {
	if c.attempts < 2 {
		f.send(c)
		return
	}
	c.vm.Done(f.clock(), c.request, admit.Outcome{Took: f.now - c.admittedAt, Overloaded: true})
	after := c.vm.RetryAfter(f.clock(), c.request)
	if after == 0 {
		after = 200*time.Millisecond + time.Duration(f.random.Int64N(int64(200*time.Millisecond)))
	}
	f.refused(c, after)
}

// refused handles a refusal. Callers come back once, after at most a third of the time left.
func (f *fleet) refused(c *fleetCall, after time.Duration) {
	require.Positive(f.t, after)
	if c.attempts == 0 && c.counts {
		c.source.stats.slowestRefusal = max(c.source.stats.slowestRefusal, f.now-c.arrived)
	}
	if c.second {
		if c.counts {
			c.source.stats.sent++
			f.countReturn(c, false)
		}
		return
	}
	patience := (fleetTimeout - (f.now - c.asked)) / 3
	second := &fleetCall{source: c.source, first: c.first, asked: c.asked, second: true, told: after <= patience, counts: c.counts, vm: c.vm}
	if f.leave {
		second.vm = f.pick(c.source, c.first)
	}
	// A round trip and a late timer.
	late := time.Millisecond + time.Duration(f.random.Int64N(int64(8*time.Millisecond)))
	f.at(f.now+min(after, patience)+late, func() { f.ask(second) })
}

func (f *fleet) countReturn(c *fleetCall, served bool) {
	stats := &c.source.stats
	switch {
	case !c.told:
		stats.early++
	default:
		stats.returned++
		switch {
		case served:
		case c.attempts > 0:
			stats.metFull++
		default:
			stats.refusedTwice++
		}
	}
}
