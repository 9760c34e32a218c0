package events

import (
	"log/slog"
	"time"
)

// traceLinesPerSecond is the largest number of log lines per second for each kind of
// decision about single requests. It bounds the size of the log under load.
const traceLinesPerSecond = 25

// traceWindow counts the lines of one kind in the second from start. dropped counts
// those left out since the last line.
type traceWindow struct {
	start   time.Time
	lines   int
	dropped int
}

// Trace counts a decision about one request and logs it with the id of the
// request. Above traceLinesPerSecond lines of a kind, decisions are only counted;
// the next line states the number of lines left out as "dropped".
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

// takeTraceLine reports whether a line of the given kind may be logged at now, and the
// number of lines left out before it.
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
