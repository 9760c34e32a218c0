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

// requestMetrics counts requests, attempts and answer bytes.
type requestMetrics struct {
	set      *metrics.Set
	inFlight atomic.Int64
	// outcomes holds the counters used so far by outcomeKey, and durations the
	// histograms used so far by the name of the route.
	outcomes, durations sync.Map
	// refusals holds the counters of refusals by admission, by refusalKey.
	refusals sync.Map
	// repeats holds the counters of attempts beyond the first, by repeatKey.
	repeats sync.Map
	// ownZone and otherZones count the traffic to backend servers in this VM's zone and
	// in others.
	ownZone, otherZones traffic
}

// traffic counts attempts and the bytes of their answers.
type traffic struct {
	attempts, bytes *metrics.Counter
}

// repeatKey identifies a counter of attempts beyond the first.
type repeatKey struct {
	service ident.ServiceID
	outcome string
}

// refusalKey identifies a counter of refusals by admission.
type refusalKey struct {
	class  ident.Class
	reason string
}

// Outcomes of attempts beyond the first.
const (
	repeatSent   = "sent"
	repeatDenied = "denied"
)

// outcomeKey identifies a counter of requests.
type outcomeKey struct {
	route, kind string
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	m := &requestMetrics{set: set, ownZone: newTraffic(set, "own"), otherZones: newTraffic(set, "other")}
	set.NewGauge("samphirestair_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

func newTraffic(set *metrics.Set, zone string) traffic {
	return traffic{
		attempts: set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_attempts_total{zone=%q}`, zone)),
		bytes:    set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_answer_bytes_total{zone=%q}`, zone)),
	}
}

// traffic returns the counters for attempts inside the zone of this VM, or to other
// zones.
func (m *requestMetrics) traffic(crosses bool) *traffic {
	if crosses {
		return &m.otherZones
	}
	return &m.ownZone
}

// begin counts a request as in flight until the returned function is called.
func (m *requestMetrics) begin() func() {
	m.inFlight.Add(1)
	return func() { m.inFlight.Add(-1) }
}

func (m *requestMetrics) observe(route *routes.Route, kind string, took time.Duration) {
	getOrCreate(&m.outcomes, outcomeKey{route.Name, kind}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_requests_total{route=%q,outcome=%q}`, route.Name, kind))
	}).Inc()
	getOrCreate(&m.durations, route.Name, func() *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf(`samphirestair_request_seconds{route=%q}`, route.Name))
	}).Update(took.Seconds())
}

// countRepeat counts an attempt beyond the first that was sent or denied.
func (m *requestMetrics) countRepeat(service ident.ServiceID, outcome string) {
	getOrCreate(&m.repeats, repeatKey{service, outcome}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_repeats_total{service=%q,outcome=%q}`, service, outcome))
	}).Inc()
}

// countRefusal counts a request that admission refused.
func (m *requestMetrics) countRefusal(class ident.Class, reason string) {
	getOrCreate(&m.refusals, refusalKey{class, reason}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`samphirestair_admission_refusals_total{class="%d",reason=%q}`, class, reason))
	}).Inc()
}

// getOrCreate returns the value of a key, which create makes on first use.
func getOrCreate[K comparable, V any](values *sync.Map, key K, create func() V) V {
	if value, ok := values.Load(key); ok {
		return value.(V)
	}
	value := create()
	values.Store(key, value)
	return value
}
