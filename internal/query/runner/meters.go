package runner

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

// meters counts requests by route and outcome.
type meters struct {
	set      *metrics.Set
	inFlight atomic.Int64
	// outcomes holds the counters and times the histograms that were used, by
	// outcomeKey and by the name of the route.
	outcomes, times sync.Map
	// repeats holds the counters of attempts beyond the first, by repeatKey.
	repeats sync.Map
	// near and far count what is read in the VM's own zone and in others.
	near, far traffic
}

// traffic counts attempts, and the bytes of the answers to them.
type traffic struct {
	attempts, bytes *metrics.Counter
}

// repeatKey names one counter of attempts beyond the first.
type repeatKey struct {
	service ident.ServiceID
	outcome string
}

// Outcomes of attempts beyond the first.
const (
	repeatSent   = "sent"
	repeatDenied = "denied"
)

// outcomeKey names one counter.
type outcomeKey struct {
	route, kind string
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{set: set, near: newTraffic(set, "own"), far: newTraffic(set, "other")}
	set.NewGauge("samphirestair_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

func newTraffic(set *metrics.Set, zone string) traffic {
	return traffic{
		attempts: set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_attempts_total{zone=%q}`, zone)),
		bytes:    set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_answer_bytes_total{zone=%q}`, zone)),
	}
}

// traffic returns the counters of an attempt.
func (m *meters) traffic(crosses bool) *traffic {
	if crosses {
		return &m.far
	}
	return &m.near
}

// enter counts a request under way. The returned function ends it.
func (m *meters) enter() func() {
	m.inFlight.Add(1)
	return func() { m.inFlight.Add(-1) }
}

func (m *meters) observe(route *routes.Route, kind string, took time.Duration) {
	known(&m.outcomes, outcomeKey{route.Name, kind}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_requests_total{route=%q,outcome=%q}`, route.Name, kind))
	}).Inc()
	known(&m.times, route.Name, func() *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf(`samphirestair_request_seconds{route=%q}`, route.Name))
	}).Update(took.Seconds())
}

// repeat counts an attempt beyond the first that was sent, or not.
func (m *meters) repeat(service ident.ServiceID, outcome string) {
	known(&m.repeats, repeatKey{service, outcome}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_repeats_total{service=%q,outcome=%q}`, service, outcome))
	}).Inc()
}

// known returns the value of a key, which create makes on its first use.
func known[K comparable, V any](values *sync.Map, key K, create func() V) V {
	if value, ok := values.Load(key); ok {
		return value.(V)
	}
	value := create()
	values.Store(key, value)
	return value
}
