package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("cold", checkCold)
}

// checkCold checks that servers in cold start receive no more requests at once
// than they bear.
func checkCold(h *History, t *tally) {
	for _, event := range h.kind(trace.KindReceived) {
		w := event.Work
		if !w.Cold {
			continue
		}
		t.seen()
		if w.Running > w.Bears {
			t.violationf("at %d %s (boot %s) had %d requests at once in cold start, bears %d",
				event.At, w.Server, w.Boot, w.Running, w.Bears)
		}
	}
}
