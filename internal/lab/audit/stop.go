package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("stop", checkStop)
}

// stop is a planned stop of a process with its begin and end, in nanoseconds
// since the Unix epoch.
type stop struct {
	trace.Stop
	from, to int64
}

// checkStop checks that every attempt that was in flight at a process during
// the process's planned stop got an answer.
func checkStop(h *History, t *tally) {
	stops := h.plannedStops()
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Failure == trace.FailureNoConnection {
			continue
		}
		for _, s := range stops {
			if a.Address != s.Address || a.end < s.from || a.start > s.to {
				continue
			}
			t.countEvent()
			if a.Failure == trace.FailureConnectionLost || a.Failure == trace.FailureTimeout {
				t.violationf("attempt %s: %s at %s, %s stops from %d to %d",
					a.ID, a.Failure, a.Address, s.VM, s.from, s.to)
			}
		}
	}
}

func (h *History) plannedStops() []stop {
	var stops []stop
	for _, event := range h.eventsOfKind(trace.KindStop) {
		s := event.Stop
		if !s.Ended && s.Planned {
			stops = append(stops, stop{Stop: *s, from: event.At, to: never})
			continue
		}
		for i := range stops {
			if s.Ended && stops[i].VM == s.VM && stops[i].to == never {
				stops[i].to = event.At
			}
		}
	}
	return stops
}
