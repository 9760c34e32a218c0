package cost

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRoutes bounds the routes with data of their own; the least recently used one is
	// dropped. It exceeds the 1,400 more routes that have to work.
	maxRoutes = 4096
	// factorCells is the number of tenants, kinds and shards with a factor of their own. It
	// bounds the memory at about 200 KB, however many there are. It is a power of two.
	factorCells = 4096
	// workWeight is the least weight of one sample in the mean work of a route.
	workWeight = 0.02
	// factorWeight is the least weight of one sample in a factor, and factorPrior the
	// number of samples as which the value 1 counts at first.
	factorWeight = 0.02
	factorPrior  = 4
	// factorHalfLife is the time in which a factor that gets no samples loses half of
	// their weight.
	factorHalfLife = time.Minute
	// maxRatio bounds the effect of one sample, since some answers come late for reasons
	// that have nothing to do with work.
	maxRatio = 16
	// minWork bounds estimates from below, so that ratios stay finite.
	minWork = 10 * time.Microsecond
	// unknownWork is the estimate before the first answer.
	unknownWork = 10 * time.Millisecond
)

// Model estimates the work of requests: the time that they take on a server that is as fast
// as usual. It multiplies the mean of the route, a factor of the tenant and kind, and a
// factor of the shard, since a VM sees too few requests of each combination. Factors with
// few samples are close to 1.
type Model struct {
	routes  map[string]*route
	factors []factor
	// all has the data of all routes, which stands for that of unknown ones.
	all *route
}

type route struct {
	work    float64
	samples float64
	usedAt  time.Time
	ratios  ratios
}

// factor is the mean ratio of the cost of some requests to that of their route. A key that
// falls on the cell of another one replaces it once that has lost its weight.
type factor struct {
	key    uint64
	mean   float32
	weight float32
	at     time.Time
}

// Estimate is what is believed of the cost of a request.
type Estimate struct {
	// Work is the mean time that the request takes on a server that is as fast as usual.
	Work time.Duration
	// Factor is the ratio of Work to that of the route, and ShardFactor the part of it that
	// is due to the shard.
	Factor, ShardFactor float64
	ratios              *ratios
}

// NewModel returns a model without data.
func NewModel() *Model {
	return &Model{routes: map[string]*route{}, factors: make([]factor, factorCells), all: &route{ratios: newRatios()}}
}

// Estimate returns the likely cost of a request.
func (m *Model) Estimate(now time.Time, r Request) Estimate {
	known := m.all
	if of := m.routes[r.route]; of != nil {
		known = of
	}
	shard := m.factor(now, r.shard)
	f := m.factor(now, r.kind) * shard
	work := known.work
	if known.samples == 0 {
		work = float64(unknownWork)
	}
	return Estimate{Work: max(time.Duration(work*f), minWork), Factor: f, ShardFactor: shard, ratios: &known.ratios}
}

// remaining returns the mean time that a request takes from now on, at the usual speed, if
// the server has already done the work done.
func (e *Estimate) remaining(done time.Duration) time.Duration {
	return time.Duration(e.ratios.remaining(float64(done)/float64(e.Work)) * float64(e.Work))
}

// Observe records the work of a request. weight, from 0 to 1, is less for values that are
// less certain.
func (m *Model) Observe(now time.Time, r Request, work time.Duration, weight float64) {
	if weight <= 0 {
		return
	}
	known := m.routes[r.route]
	if known == nil {
		known = m.addRoute(now, r.route)
	}
	before := m.Estimate(now, r)
	ratio := min(max(float64(work), float64(minWork))/float64(before.Work), maxRatio)
	known.usedAt = now
	kind := before.Factor / before.ShardFactor
	for _, of := range []*route{known, m.all} {
		of.addWork(ratio*float64(before.Work)/before.Factor, weight)
	}
	if known.samples > 1 {
		known.ratios.add(ratio, weight)
		m.all.ratios.add(ratio, weight)
	}
	m.addFactor(now, r.kind, ratio*kind, weight)
	m.addFactor(now, r.shard, ratio*before.ShardFactor, weight)
}

func (r *route) addWork(work, weight float64) {
	r.samples += weight
	r.work += weight * max(workWeight, 1/(1+r.samples)) * (work - r.work)
	if r.samples <= weight {
		r.work = work
	}
}

// addRoute adds a route, in place of the least recently used one if there are too many.
func (m *Model) addRoute(now time.Time, name string) *route {
	if len(m.routes) >= maxRoutes {
		oldest := ""
		for other, of := range m.routes {
			if oldest == "" || of.usedAt.Before(m.routes[oldest].usedAt) {
				oldest = other
			}
		}
		delete(m.routes, oldest)
	}
	m.routes[name] = &route{usedAt: now, ratios: newRatios()}
	return m.routes[name]
}

func (m *Model) cell(key uint64) *factor {
	return &m.factors[(key>>20)%factorCells]
}

// factor returns the factor of a key, shrunk towards 1 by the prior.
func (m *Model) factor(now time.Time, key uint64) float64 {
	if key == 0 {
		return 1
	}
	cell := m.cell(key)
	if cell.key != key {
		return 1
	}
	weight := cell.weightAt(now)
	return (weight*float64(cell.mean) + factorPrior) / (weight + factorPrior)
}

// weightAt returns the weight of the samples, which shrinks with their age.
func (f *factor) weightAt(now time.Time) float64 {
	age := max(now.Sub(f.at), 0)
	return float64(f.weight) / (1 + float64(age)/float64(factorHalfLife))
}

func (m *Model) addFactor(now time.Time, key uint64, ratio, weight float64) {
	if key == 0 {
		return
	}
	cell := m.cell(key)
	old := cell.weightAt(now)
	if cell.key != key {
		if cell.weight = float32(old - weight); cell.weight > 0 {
			cell.at = now
			return
		}
		*cell, old = factor{key: key}, 0
	}
	total := min(old+weight, 1/factorWeight)
	cell.mean += float32(weight / total * (ratio - float64(cell.mean)))
	cell.weight, cell.at = float32(total), now
}

// RouteState is what is believed of a route, for state dumps.
type RouteState struct {
	Route string `json:"route"`
	// Work is the mean time that a request takes at the usual speed, and Usual the time
	// within which all but few stay.
	Work  string `json:"work"`
	Usual string `json:"usual"`
	// Samples is the weight of all answers that were learned from.
	Samples float64 `json:"samples"`
}

// Routes returns what is believed of all routes, by name.
func (m *Model) Routes() []RouteState {
	states := make([]RouteState, 0, len(m.routes))
	for name, r := range m.routes {
		states = append(states, RouteState{
			Route: name, Work: text(r.work), Usual: text(r.work * r.ratios.usual), Samples: r.samples,
		})
	}
	slices.SortFunc(states, func(a, b RouteState) int { return cmp.Compare(a.Route, b.Route) })
	return states
}

func text(nanoseconds float64) string {
	return time.Duration(nanoseconds).Round(10 * time.Microsecond).String()
}
