package load

import (
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// arrival is one request of a schedule. Number counts from 1.
type arrival struct {
	// After is the time from the start of the run to the intended start of the
	// request.
	After   time.Duration
	Number  int
	Service ident.ServiceID
	Flow    Flow
	Class   string
}

// schedule generates the arrivals of a run: a Poisson process with the total
// rate of all flows, each arrival of which belongs to a random flow, weighted by
// rate. Schedules with equal options are equal. It is not safe for concurrent use.
type schedule struct {
	rand      *rand.Rand
	flows     []arrival
	totalRate float64
	classes   []string
	end       time.Duration
	now       time.Duration
	count     int
}

func newSchedule(options Options) *schedule {
	s := &schedule{
		rand:    rand.New(rand.NewPCG(options.Seed, 0)),
		classes: options.Classes,
		end:     options.Duration,
	}
	for _, mix := range options.Mixes {
		for _, flow := range mix.Flows {
			s.flows = append(s.flows, arrival{Service: mix.Service, Flow: flow})
			s.totalRate += flow.Rate
		}
	}
	return s
}

// next returns the next arrival, or false at the end of the run.
func (s *schedule) next() (arrival, bool) {
	if s.totalRate <= 0 {
		return arrival{}, false
	}
	s.now += time.Duration(s.rand.ExpFloat64() / s.totalRate * float64(time.Second))
	if s.now >= s.end {
		return arrival{}, false
	}
	a := s.drawFlow()
	s.count++
	a.After, a.Number = s.now, s.count
	if len(s.classes) > 0 {
		a.Class = s.classes[s.rand.IntN(len(s.classes))]
	}
	return a, true
}

// drawFlow returns an arrival with the service and flow set.
func (s *schedule) drawFlow() arrival {
	point := s.rand.Float64() * s.totalRate
	for _, flow := range s.flows {
		if point -= flow.Flow.Rate; point < 0 {
			return flow
		}
	}
	return s.flows[len(s.flows)-1]
}
