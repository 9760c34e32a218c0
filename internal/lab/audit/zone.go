package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("zone", checkZone)
}

// checkZone checks that backend servers in a zone that operators have taken out
// receive no new work.
func checkZone(h *History, t *tally) {
	windows := h.commandWindows(trace.VerbZoneOut, trace.VerbZoneIn)
	h.checkNoWorkDuring(t, windows, func(sub *trace.SubRequest) string { return string(sub.Zone) })
}
