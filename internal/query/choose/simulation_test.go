package choose_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/cost"
)

// costLoad is the load of the simulation that the requirements name: servers with two slots
// and a queue, whose slowdown changes every 50 ms, and VMs that each see their own answers.
type costLoad struct {
	load     float64
	seed     uint64
	services int
	length   time.Duration
	// drifts lets a slowdown move from its last value instead of to any other.
	drifts bool
	// lag is the maximum age of the figures when an answer arrives, of which it tells
	// nothing. The figures are as old again as the time to the next request.
	lag time.Duration
	// mixed gives the requests of three kinds 0.5, 1 and 4 times the usual work.
	mixed bool
	// silent leaves the fourth figure out.
	silent bool
}

const (
	costVMs      = 12
	costReplicas = 3
	costSlots    = 2
	costStep     = 50 * time.Millisecond
	usualWork    = 20 * time.Millisecond
	linkLatency  = 500 * time.Microsecond
	// lateAfter is the goal of the simulated route.
	lateAfter = 150 * time.Millisecond
)

type simArrival struct {
	at      time.Duration
	vm      int
	service int
	kind    uint64
	work    time.Duration
}

// simServer is a server that runs requests first come, first served.
type simServer struct {
	id        ident.ServerID
	index     int
	slowdowns []float64
	running   int
	waiting   []*simRequest
}

type simRequest struct {
	simArrival
	server *simServer
	sentAt time.Duration
}

type simEvent struct {
	at     time.Duration
	order  int
	handle func(at time.Duration)
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q *simQueue) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type costSimulation struct {
	costLoad
	events  simQueue
	order   int
	servers []*simServer
	vms     []choose.Policy
	lags    *rand.Rand
	// ages holds the age of the last figure of the server at each choice.
	ages       []time.Duration
	reportedAt map[reportKey]time.Duration
	// candidates and requests hold what each service and kind passes to the policies.
	candidates [][]choose.Candidate
	requests   [][]cost.Request
	times      []time.Duration
	choices    []int
}

// reportKey identifies what a VM knows of a server.
type reportKey struct{ vm, server int }

func slowdownAt(random *rand.Rand, previous float64, drifts bool) float64 {
	if drifts && previous > 0 {
		next := previous * math.Exp(0.5*random.NormFloat64())
		return min(max(next, 0.5), 3)
	}
	return 0.5 + 2.5*random.Float64()
}

// arrivals returns the requests, which are the same for all policies, as are the slowdowns.
func (l *costSimulation) arrivals() []simArrival {
	random := rand.New(rand.NewPCG(l.seed, 1))
	speed := 0.0
	for i := range l.services * costReplicas {
		s := &simServer{id: ident.ServerID(fmt.Sprint("s/", i)), index: i}
		value := 0.0
		for range 2 * l.length / costStep {
			value = slowdownAt(random, value, l.drifts)
			s.slowdowns = append(s.slowdowns, value)
			speed += 1 / value
		}
		l.servers = append(l.servers, s)
	}
	for i := range l.services {
		var candidates []choose.Candidate
		for _, s := range l.servers[i*costReplicas : (i+1)*costReplicas] {
			candidates = append(candidates, choose.Candidate{Server: s.id})
		}
		l.candidates = append(l.candidates, candidates)
		var requests []cost.Request
		for kind := range uint64(4) {
			requests = append(requests, cost.NewRequest("route", "", kind).WithShard(ident.ServiceID(fmt.Sprint("service-", i))))
		}
		l.requests = append(l.requests, requests)
	}
	speed *= costSlots / float64(2*l.length/costStep)
	mean := usualWork.Seconds() * 1.04
	if l.mixed {
		mean *= 0.5*0.6 + 0.3 + 4*0.1
	}
	rate := l.load * speed / mean
	var arrivals []simArrival
	for at := 0.0; at < l.length.Seconds(); at += random.ExpFloat64() / rate {
		a := simArrival{at: time.Duration(at * 1e9), vm: random.IntN(costVMs), service: random.IntN(l.services)}
		work := float64(usualWork) * (0.7 + 0.6*random.Float64())
		if random.Float64() < 0.01 {
			work *= 5
		}
		if kind := random.Float64(); l.mixed {
			switch {
			case kind < 0.6:
				a.kind, work = 1, work*0.5
			case kind < 0.9:
				a.kind = 2
			default:
				a.kind, work = 3, work*4
			}
		}
		a.work = time.Duration(work)
		arrivals = append(arrivals, a)
	}
	return arrivals
}

func (l *costSimulation) schedule(at time.Duration, handle func(at time.Duration)) {
	l.order++
	heap.Push(&l.events, simEvent{at, l.order, handle})
}

// simulate runs the load with a policy.
func simulate(t *testing.T, name string, load costLoad) *costSimulation {
	t.Helper()
	l := &costSimulation{costLoad: load, lags: rand.New(rand.NewPCG(load.seed, 2)), reportedAt: map[reportKey]time.Duration{}}
	construct, err := choose.Policies.Lookup(name)
	require.NoError(t, err)
	for i := range costVMs {
		l.vms = append(l.vms, construct(choose.Options{IntN: rand.New(rand.NewPCG(load.seed, uint64(10+i))).IntN}))
	}
	for _, a := range l.arrivals() {
		l.schedule(a.at, func(at time.Duration) { l.send(at, &simRequest{simArrival: a}) })
	}
	for l.events.Len() > 0 {
		event := heap.Pop(&l.events).(simEvent)
		event.handle(event.at)
	}
	slices.Sort(l.times)
	slices.Sort(l.ages)
	return l
}

func simTime(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

func (l *costSimulation) send(at time.Duration, r *simRequest) {
	candidates, request := l.candidates[r.service], l.requests[r.service][r.kind]
	policy, now := l.vms[r.vm], simTime(at)
	r.sentAt = at
	var index int
	if byCost, ok := policy.(choose.CostPolicy); ok {
		index = byCost.ChooseFor(now, request, candidates)
		byCost.SentFor(now, request, candidates[index].Server)
	} else {
		index = policy.Choose(now, candidates)
		policy.Sent(now, candidates[index].Server)
	}
	r.server = l.servers[r.service*costReplicas+index]
	l.choices = append(l.choices, index)
	if reported, ok := l.reportedAt[reportKey{r.vm, r.server.index}]; ok {
		l.ages = append(l.ages, at-reported)
	}
	l.schedule(at+linkLatency, func(at time.Duration) {
		r.server.waiting = append(r.server.waiting, r)
		l.start(at, r.server)
	})
}

// start runs the next requests while the server has slots.
func (l *costSimulation) start(at time.Duration, s *simServer) {
	for s.running < costSlots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		l.schedule(s.finish(at, r.work), func(at time.Duration) {
			s.running--
			l.start(at, s)
			figures := at - time.Duration(l.lags.Float64()*float64(l.lag))
			sample := choose.Sample{Completed: true, Queued: s.running + len(s.waiting), Slots: costSlots}
			if !l.silent {
				sample.Slowdown = int(100 * s.slowdown(figures))
			}
			l.schedule(at+linkLatency, func(at time.Duration) { l.answer(at, figures, r, sample) })
		})
	}
}

func (l *costSimulation) answer(at, figures time.Duration, r *simRequest, sample choose.Sample) {
	sample.ServiceTime = at - r.sentAt
	l.times = append(l.times, sample.ServiceTime)
	l.reportedAt[reportKey{r.vm, r.server.index}] = figures
	policy := l.vms[r.vm]
	if byCost, ok := policy.(choose.CostPolicy); ok {
		byCost.AnsweredFor(simTime(at), l.requests[r.service][r.kind], r.server.id, simTime(r.sentAt), sample)
		return
	}
	policy.Answered(simTime(at), r.server.id, sample)
}

func (s *simServer) slowdown(at time.Duration) float64 {
	return s.slowdowns[min(int(max(at, 0)/costStep), len(s.slowdowns)-1)]
}

// finish returns when work that starts at a time is done.
func (s *simServer) finish(at, work time.Duration) time.Duration {
	for {
		end := (at/costStep + 1) * costStep
		slowdown := s.slowdown(at)
		needed := time.Duration(float64(work) * slowdown)
		if at+needed <= end {
			return at + needed
		}
		work -= time.Duration(float64(end-at) / slowdown)
		at = end
	}
}

func (l *costSimulation) percentile(p float64) time.Duration {
	return l.times[int(p*float64(len(l.times)-1))]
}

func (l *costSimulation) late() float64 {
	at, _ := slices.BinarySearch(l.times, lateAfter)
	return 1 - float64(at)/float64(len(l.times))
}

// figures are the results of one policy under one load.
type figures struct {
	p99  time.Duration
	late float64
}

// measure returns the mean figures over some seeds.
func measure(t *testing.T, name string, load costLoad) figures {
	t.Helper()
	// At a low load so few answers are late that two seeds don't tell the policies apart.
	seeds := 2
	if load.load < 0.6 {
		seeds = 6
	}
	var sum figures
	for seed := range uint64(seeds) {
		load.seed, load.services, load.length = seed+1, 4, 25*time.Second
		l := simulate(t, name, load)
		sum.p99 += l.percentile(0.99) / time.Duration(seeds)
		sum.late += l.late() / float64(seeds)
		recent, _ := slices.BinarySearch(l.ages, 500*time.Millisecond+load.lag)
		fresh, _ := slices.BinarySearch(l.ages, 50*time.Millisecond)
		require.Greater(t, float64(recent)/float64(len(l.ages)), 0.75, "the figures are older than named")
		require.Less(t, float64(fresh)/float64(len(l.ages)), 0.55, "the figures are fresher than named")
	}
	return sum
}

// Guards against a choice by cost that is worse than that by past times alone. The variants
// differ in how long a figure stays true: up to 50 ms, some 100 ms, and the latter with
// figures that are already up to 500 ms old when they arrive.
func TestCostIsNoWorseThanExpect(t *testing.T) {
	variants := map[string]costLoad{
		"redrawn":       {},
		"drifting":      {drifts: true},
		"drifting, old": {drifts: true, lag: 500 * time.Millisecond},
		"mixed kinds":   {drifts: true, mixed: true},
	}
	for name, load := range variants {
		for _, share := range []float64{0.5, 0.7, 0.9} {
			load.load = share
			load := load
			t.Run(fmt.Sprint(name, " at ", share), func(t *testing.T) {
				t.Parallel()
				random, expect, byCost := measure(t, "random", load), measure(t, "expect", load), measure(t, "cost", load)
				t.Logf("p99 (late): random %d ms (%.4f), expect %d ms (%.4f), cost %d ms (%.4f)", random.p99.Milliseconds(), random.late,
					expect.p99.Milliseconds(), expect.late, byCost.p99.Milliseconds(), byCost.late)
				require.LessOrEqual(t, byCost.p99, expect.p99)
				require.LessOrEqual(t, byCost.late, expect.late)
			})
		}
	}
}

// Guards against other choices than before in deployments whose servers report three figures.
func TestCostChoosesLikeExpectWithoutTheFourthFigure(t *testing.T) {
	load := costLoad{load: 0.8, seed: 5, services: 2, length: 20 * time.Second, drifts: true, silent: true}
	expect, byCost := simulate(t, "expect", load), simulate(t, "cost", load)
	require.Equal(t, expect.choices, byCost.choices)
}
