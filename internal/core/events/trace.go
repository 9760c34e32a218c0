package events

import (
	"log/slog"
	"time"
)

// traceBudget is the number of lines a second for each kind of decision about
// single requests. It bounds the volume under load.
const traceLinesPerSecond = 25

// traceWindow is the time in which lines of one kind are counted.
type traceWindow struct {
	start   time.Time
	lines   int
	dropped int
}

// Trace counts a decision about one request and logs it with the id of the
// request. Beyond a budget of lines a second for each kind it is counted only;
// the number of lines that were left out is logged with the next one.
func (r *Recorder) Trace(kind, id, reason string, attrs ...slog.Attr) {
	if r == nil {
		return
	}
	r.Count(kind)
	dropped, ok := r.takeTraceLine(kind, time.Now())
	if !ok {
		return
	}
	if dropped > 0 {
		attrs = append(attrs, slog.Int("dropped", dropped))
	}
	r.log(kind, id, reason, attrs)
}

// spendLine reports whether a line of the given kind may be logged, and how many
// were left out before it.
func (r *Recorder) takeTraceLine(kind string, now time.Time) (dropped int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.traces == nil {
		r.traces = map[string]*traceWindow{}
	}
	w := r.traces[kind]
	if w == nil {
		w = &traceWindow{}
		r.traces[kind] = w
	}
	if now.Sub(w.start) >= time.Second {
		w.start, w.lines = now, 0
	}
	if w.lines >= traceLinesPerSecond {
		w.dropped++
		return 0, false
	}
	w.lines++
	dropped, w.dropped = w.dropped, 0
	return dropped, true
}
