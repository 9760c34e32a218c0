// Package events records the decisions of a process: each one becomes a log
// line, a counter, and an entry in a short history that operators can read.
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
	// usualAttrs is the number of attributes that most lines have at most.
	typicalAttrs = 12
)

// Decision is one decision that changed what callers or backend servers see.
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
	// counters holds the counter of each kind.
	counters sync.Map

	mu      sync.Mutex
	history []Decision
	samples map[sampleKey]time.Time
	traces  map[string]*traceWindow
}

// New returns a recorder that writes to the given logger and metrics set.
func New(logger *slog.Logger, set *metrics.Set) *Recorder {
	return &Recorder{logger: logger, set: set}
}

// Record records a decision. kind is a short fixed word such as "lease_taken",
// subject names what it concerns, reason says why. attrs go to the log line.
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

// Count counts an event of the given kind without a log line. It is meant for
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

// History returns the latest decisions, oldest first.
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
