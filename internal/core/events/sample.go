package events

import (
	"log/slog"
	"time"
)

const (
	// sampleInterval is the shortest time between two log lines of events with the
	// same sampleKey.
	sampleInterval = time.Second
	// maxSamples bounds the number of keys whose last log line is remembered. All are
	// deleted when it is reached.
	maxSamples = 1000
)

// sampleKey identifies events of which at most one in each sampleInterval is logged.
type sampleKey struct {
	kind, subject, reason string
}

// Sample counts an event like Count, and records it like Record at most once a
// second for each kind, subject and reason. It is meant for decisions about
// single requests.
func (r *Recorder) Sample(kind, subject, reason string, attrs ...slog.Attr) {
	if r == nil {
		return
	}
	if r.sampleDue(sampleKey{kind: kind, subject: subject, reason: reason}, time.Now()) {
		r.Record(kind, subject, reason, attrs...)
		return
	}
	r.Count(kind)
}

// sampleDue reports whether an event with the given key is to be logged at now, and
// if so stores now as the time of its last log line.
func (r *Recorder) sampleDue(s sampleKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.samples[s]; ok && now.Sub(last) < sampleInterval {
		return false
	}
	if r.samples == nil || len(r.samples) >= maxSamples {
		r.samples = map[sampleKey]time.Time{}
	}
	r.samples[s] = now
	return true
}
