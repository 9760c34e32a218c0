package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("stop", checkStop)
}

// stop is a planned stop of a process.
type stop struct {
	trace.Stop
	from, to int64
}

// checkStop checks that no attempt that was under way at a process during its
// planned stop was left without an answer.
func checkStop(h *History, t *tally) {
	stops := h.plannedStops()
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Failure == trace.FailureRefused {
			continue
		}
		for _, s := range stops {
			if a.Address != s.Address || a.end < s.from || a.start > s.to {
				continue
			}
			t.seen()
			if a.Failure == trace.FailureCut || a.Failure == trace.FailureSilent {
				t.violationf("attempt %s: %s at %s, %s stops from %d to %d",
					a.ID, a.Failure, a.Address, s.VM, s.from, s.to)
			}
		}
	}
}

func (h *History) plannedStops() []stop {
	var stops []stop
	for _, event := range h.kind(trace.KindStop) {
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
