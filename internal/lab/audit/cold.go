package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("cold", checkCold)
}

// checkCold checks that the number of concurrent requests at a backend server
// never exceeds the server's limit during its cold start.
func checkCold(h *History, t *tally) {
	for _, event := range h.eventsOfKind(trace.KindReceived) {
		sub := event.SubRequest
		if !sub.Cold {
			continue
		}
		t.countEvent()
		if sub.Concurrent > sub.ConcurrencyLimit {
			t.violationf("at %d %s (boot %s) had %d requests at once in cold start, bears %d",
				event.At, sub.Server, sub.Boot, sub.Concurrent, sub.ConcurrencyLimit)
		}
	}
}
