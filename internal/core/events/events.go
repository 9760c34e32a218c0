// Package events records the decisions of a process: each one is written as a log
// line, counted in a metric, and kept in a short history for operators.
package events

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// historySize is the number of decisions kept for operators.
	historySize = 200
	// typicalAttrs is the initial capacity for the attributes of a line. Most lines
	// have at most as many.
	typicalAttrs = 12
)

// Decision is one decision that changed what callers or backend servers observe.
type Decision struct {
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
}

// Recorder records decisions. It is safe for concurrent use. A nil Recorder
// discards them.
type Recorder struct {
	logger *slog.Logger
	set    *metrics.Set
	// counters holds the *metrics.Counter of each kind.
	counters sync.Map

	mu      sync.Mutex
	history []Decision
	// samples holds the time of the last log line of each sample.
	samples map[sampleKey]time.Time
	// traces holds the current window of each kind.
	traces map[string]*traceWindow
}

// New returns a recorder that writes to the given logger and metrics set.
func New(logger *slog.Logger, set *metrics.Set) *Recorder {
	return &Recorder{logger: logger, set: set}
}

// Record records a decision. kind is a fixed identifier such as "lease_taken",
// subject identifies what the decision concerns, such as a VM, and reason says why
// it was made. attrs are added to the log line only.
func (r *Recorder) Record(kind, subject, reason string, attrs ...slog.Attr) {
	if r == nil {
		return
	}
	r.Count(kind)
	r.addToHistory(Decision{At: time.Now(), Kind: kind, Subject: subject, Reason: reason})
	r.log(kind, subject, reason, attrs)
}

func (r *Recorder) log(kind, subject, reason string, attrs []slog.Attr) {
	var buffer [typicalAttrs]slog.Attr
	allAttrs := append(buffer[:0], slog.String("subject", subject), slog.String("reason", reason))
	for _, attr := range attrs {
		allAttrs = append(allAttrs, formatDuration(attr))
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, kind, allAttrs...)
}

// Count counts an event of the given kind without logging it. It is meant for
// events that are too frequent to log.
func (r *Recorder) Count(kind string) {
	if r == nil {
		return
	}
	counter, ok := r.counters.Load(kind)
	if !ok {
		counter, _ = r.counters.LoadOrStore(kind, r.set.GetOrCreateCounter(fmt.Sprintf("samphirestair_decisions_total{kind=%q}", kind)))
	}
	counter.(*metrics.Counter).Inc()
}

// History returns a copy of the latest decisions, oldest first.
func (r *Recorder) History() []Decision {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Decision(nil), r.history...)
}

func (r *Recorder) addToHistory(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, d)
	if len(r.history) > historySize {
		r.history = r.history[len(r.history)-historySize:]
	}
}
