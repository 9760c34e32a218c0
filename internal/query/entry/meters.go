package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/course"
)

// meters holds the metrics of requests per service, kind and outcome. It is
// safe for concurrent use and does nothing without a set.
type meters struct {
	set   *metrics.Set
	cache sync.Map
}

type meterKey struct {
	service ident.ServiceID
	kind    msgs.Kind
	outcome course.Outcome
}

// meter is the metrics of one combination.
type meter struct {
	duration *metrics.Histogram
	answered *metrics.Counter
	shards   *metrics.Counter
}

// observe notes a finished request.
func (m *meters) observe(service ident.ServiceID, kind msgs.Kind, result *course.Result, took time.Duration) {
	if m.set == nil {
		return
	}
	meter := m.meter(meterKey{service: service, kind: kind, outcome: result.Outcome})
	meter.duration.Update(took.Seconds())
	meter.answered.Add(result.AnsweredShards)
	meter.shards.Add(result.TotalShards)
}

func (m *meters) meter(key meterKey) *meter {
	if known, ok := m.cache.Load(key); ok {
		return known.(*meter)
	}
	labels := fmt.Sprintf("{service=%q,kind=%q,outcome=%q}", string(key.service), kindName(key.kind), key.outcome.String())
	created := &meter{
		duration: m.set.GetOrCreateHistogram("samphirestair_request_seconds" + labels),
		answered: m.set.GetOrCreateCounter("samphirestair_request_shards_answered_total" + labels),
		shards:   m.set.GetOrCreateCounter("samphirestair_request_shards_total" + labels),
	}
	m.cache.Store(key, created)
	return created
}

func kindName(kind msgs.Kind) string {
	switch kind {
	case msgs.KindSearch:
		return "search"
	case msgs.KindLookup:
		return "lookup"
	default:
		return "action"
	}
}
