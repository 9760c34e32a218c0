package events

import (
	"log/slog"
	"time"
)

const (
	// sampleEvery is the shortest time between two log lines of one sample.
	sampleInterval = time.Second
	// maxSamples bounds the number of samples remembered.
	maxSamples = 1000
)

// sample identifies events that are logged together.
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

// due reports whether a sample is to be logged at now.
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
