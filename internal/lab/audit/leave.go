package audit

import (
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func init() {
	checkers.Register("leave", checkLeave)
}

// checkLeave checks that backend servers that drain, or that operators have
// taken out, receive no new work.
func checkLeave(h *History, t *tally) {
	windows := h.commandWindows(trace.VerbServerOut, trace.VerbServerIn)
	windows = append(windows, h.drainWindows()...)
	h.checkNoWorkDuring(t, windows, func(sub *trace.SubRequest) string { return string(sub.Server) })
}

// drainWindows returns a window for each drain of a backend server, from
// changeGrace after its begin until its end.
func (h *History) drainWindows() []window {
	var windows []window
	changes := h.eventsOfKind(trace.KindServer)
	for i, event := range changes {
		if event.Server.Change != server.ChangeDrain {
			continue
		}
		w := window{subject: string(event.Server.Server), from: event.At + changeGrace, to: never}
		for _, later := range changes[i+1:] {
			if later.Server.Server == event.Server.Server && later.Server.Change == server.ChangeStay {
				w.to = later.At
				break
			}
		}
		windows = append(windows, w)
	}
	return windows
}
