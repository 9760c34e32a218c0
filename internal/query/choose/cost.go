package choose

import (
	"math"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/cost"
)

func init() {
	Policies.Register("cost", func(o Options) Policy {
		return &costPolicy{
			expect: &expectedTimePolicy{options: o.withDefaults(), servers: map[ident.ServerID]*server{}},
			model:  cost.NewModel(), fleet: cost.NewFleet(), servers: map[ident.ServerID]*costServer{},
		}
	})
}

const (
	// sampleSteps is the resolution of the random deviations.
	sampleSteps = 1 << 12
	// sampleSpread is the share of the standard deviation of an expected time by which
	// a choice deviates from it at random, so that VMs with old figures choose differently.
	// In the simulation, 0 to 0.4 differ little, and 0.6 is worse for all loads.
	sampleSpread = 0.2
	// pastShare is the weight of the time that expect expects. It learns from past times, and
	// covers figures that are wrong or old when they arrive: without it, such figures gave 5 %
	// more late answers than expect at a load of 0.5.
	pastShare = 0.25
)

// costPolicy chooses the replica with the lowest expected completion time by the likely cost
// of the request and the work left at each server. It applies to the replicas of a service
// if one of them reports its slowdown; otherwise the choice is that of expect, which gets all
// events.
type costPolicy struct {
	expect *expectedTimePolicy

	mu      sync.Mutex
	model   *cost.Model
	fleet   *cost.Fleet
	servers map[ident.ServerID]*costServer
	// byCost and byExpect count the choices of either way.
	byCost, byExpect uint64
}

// costServer is what a VM knows about a backend server.
type costServer struct {
	work cost.Server
	// history holds the refusals and failures.
	history *server
	// outlook is the last one, as of outlookAt. It is what a request that is sent at that time
	// was chosen by.
	outlook   cost.Outlook
	outlookAt time.Time
}

// Choose, Sent, Answered and Abandoned are for callers that don't tell requests apart, which
// get the choice of expect.
func (p *costPolicy) Choose(now time.Time, candidates []Candidate) int {
	return p.expect.Choose(now, candidates)
}

func (p *costPolicy) Sent(now time.Time, id ident.ServerID) {
	p.expect.Sent(now, id)
}

func (p *costPolicy) Answered(now time.Time, id ident.ServerID, sample Sample) {
	p.expect.Answered(now, id, sample)
}

func (p *costPolicy) Abandoned(now time.Time, id ident.ServerID, elapsed time.Duration) {
	p.expect.Abandoned(now, id, elapsed)
}

func (p *costPolicy) ChooseFor(now time.Time, request cost.Request, candidates []Candidate) int {
	p.mu.Lock()
	var buffer [maxReplicasOnStack]*costServer
	servers, reports := buffer[:0], false
	for i := range candidates {
		s := p.server(candidates[i].Server)
		servers = append(servers, s)
		reports = reports || s.work.Reports(now)
	}
	if !reports {
		p.byExpect++
		p.mu.Unlock()
		return p.expect.Choose(now, candidates)
	}
	defer p.mu.Unlock()
	p.byCost++
	estimate := p.model.Estimate(now, request)
	average := p.expect.average.load()
	best, lowest, bestBlocked := 0, math.Inf(1), true
	for i, s := range servers {
		past := s.history.forecast(now, average, p.expect.options)
		if past.inBackoff && !bestBlocked {
			continue
		}
		outlook := s.work.Outlook(p.fleet, p.model, now, &estimate)
		s.outlook, s.outlookAt = outlook, now
		expected := (1-pastShare)*float64(outlook.Completion) + pastShare*float64(past.expectedTime)
		expected += sampleSpread * p.random() * float64(outlook.Spread)
		expected = max(expected, 0)/past.success + float64(candidates[i].Penalty)
		if expected < lowest || bestBlocked && !past.inBackoff {
			best, lowest, bestBlocked = i, expected, past.inBackoff
		}
	}
	return best
}

// random returns a random number with a mean of 0 and a standard deviation of about 1.
func (p *costPolicy) random() float64 {
	return 3.46 * (float64(p.expect.options.IntN(sampleSteps))/sampleSteps - 0.5)
}

func (p *costPolicy) SentFor(now time.Time, request cost.Request, id ident.ServerID) {
	p.expect.Sent(now, id)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	var outlook cost.Outlook
	switch {
	case s.outlookAt.Equal(now):
		outlook = s.outlook
	case s.work.Reports(now):
		estimate := p.model.Estimate(now, request)
		outlook = s.work.Outlook(p.fleet, p.model, now, &estimate)
	default:
	}
	s.work.Sent(now, request, outlook)
}

func (p *costPolicy) AnsweredFor(now time.Time, request cost.Request, id ident.ServerID, sentAt time.Time, sample Sample) {
	p.expect.Answered(now, id, sample)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	outlook := s.work.Ended(request, sentAt)
	s.work.Report(p.fleet, now, cost.Report{Queued: sample.Queued, Slots: sample.Slots, Slowdown: sample.Slowdown, Age: sample.Age})
	if sample.Completed && sample.Slowdown > 0 {
		work, weight := s.work.Work(p.fleet, now.Add(-sample.Age), sample.ServiceTime, outlook.Wait)
		likely := p.model.Estimate(now, request).Work
		p.model.Observe(now, request, work, weight)
		s.work.Answered(p.fleet, sample.ServiceTime, outlook, likely)
	}
}

// AbandonedFor treats the elapsed time as a lower limit of the cost.
func (p *costPolicy) AbandonedFor(now time.Time, request cost.Request, id ident.ServerID, sentAt time.Time) {
	p.expect.Abandoned(now, id, now.Sub(sentAt))
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	outlook := s.work.Ended(request, sentAt)
	if !s.work.Reports(now) {
		return
	}
	if work, weight := s.work.Work(p.fleet, now, now.Sub(sentAt), outlook.Wait); work > p.model.Estimate(now, request).Work {
		p.model.Observe(now, request, work, weight)
	}
}

func (p *costPolicy) CostFactors(now time.Time, request cost.Request, id ident.ServerID) (total, shard float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.server(id).work.Reports(now) {
		return 1, 1
	}
	estimate := p.model.Estimate(now, request)
	return estimate.Factor, estimate.ShardFactor
}

func (p *costPolicy) Retain(keep func(ident.ServerID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect.Retain(keep)
	coll.Retain(p.servers, keep)
}

// server returns what is known of a server. The caller holds mu.
func (p *costPolicy) server(id ident.ServerID) *costServer {
	known := p.servers[id]
	if known == nil {
		known = &costServer{history: p.expect.server(id)}
		p.servers[id] = known
	}
	return known
}

// CostState is what is believed of servers and routes.
type CostState struct {
	// ByCost counts the choices by likely cost, and ByExpect those among servers that
	// don't report their slowdown.
	ByCost   uint64 `json:"by_cost"`
	ByExpect uint64 `json:"by_expect"`
	// Reporting is the number of servers that report their slowdown.
	Reporting int             `json:"reporting"`
	Fleet     cost.FleetState `json:"fleet"`
	// Servers holds the servers that report their slowdown, and Routes those whose cost is
	// learned. Both are absent from a summary.
	Servers map[ident.ServerID]cost.ServerState `json:"servers,omitempty"`
	Routes  []cost.RouteState                   `json:"routes,omitempty"`
}

func (p *costPolicy) CostSummary(now time.Time) CostState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := CostState{ByCost: p.byCost, ByExpect: p.byExpect, Fleet: p.fleet.State()}
	for _, s := range p.servers {
		if s.work.Reports(now) {
			state.Reporting++
		}
	}
	return state
}

func (p *costPolicy) CostState(now time.Time) CostState {
	state := p.CostSummary(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	state.Servers, state.Routes = map[ident.ServerID]cost.ServerState{}, p.model.Routes()
	for id, s := range p.servers {
		if s.work.Reports(now) {
			state.Servers[id] = s.work.State(p.fleet, p.model, now)
		}
	}
	return state
}
