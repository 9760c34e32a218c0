package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("cold", checkCold)
}

// checkCold checks that the number of concurrent requests at a backend server
// never exceeds the server's limit during its cold start.
func checkCold(h *History, t *tally) {
	for _, event := range h.eventsOfKind(trace.KindReceived) {
		w := event.Work
		if !w.Cold {
			continue
		}
		t.countEvent()
		if w.Running > w.Bears {
			t.violationf("at %d %s (boot %s) had %d requests at once in cold start, bears %d",
				event.At, w.Server, w.Boot, w.Running, w.Bears)
		}
	}
}
