package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

// requestMetrics holds the request metrics by service, kind and outcome. It is
// safe for concurrent use. It records nothing if set is nil.
type requestMetrics struct {
	set   *metrics.Set
	cache sync.Map
}

type metricKey struct {
	service ident.ServiceID
	kind    msgs.Kind
	outcome engine.Outcome
}

// metricSet holds the metrics of one service, kind and outcome.
type metricSet struct {
	duration *metrics.Histogram
	answered *metrics.Counter
	shards   *metrics.Counter
}

// observe records a finished request.
func (m *requestMetrics) observe(service ident.ServiceID, kind msgs.Kind, result *engine.Result, took time.Duration) {
	if m.set == nil {
		return
	}
	set := m.get(metricKey{service: service, kind: kind, outcome: result.Outcome})
	set.duration.Update(took.Seconds())
	set.answered.Add(result.AnsweredShards)
	set.shards.Add(result.TotalShards)
}

func (m *requestMetrics) get(key metricKey) *metricSet {
	if known, ok := m.cache.Load(key); ok {
		return known.(*metricSet)
	}
	labels := fmt.Sprintf("{service=%q,kind=%q,outcome=%q}", string(key.service), kindName(key.kind), key.outcome.String())
	created := &metricSet{
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
