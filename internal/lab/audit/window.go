package audit

import (
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// window is a time during which a subject may receive no new work.
type window struct {
	subject  string
	from, to int64
}

func (w window) holds(at int64) bool {
	return at > w.from && at < w.to
}

// commandWindows returns the windows from each accepted command of the verb
// out, after the grace, until the next command of the verb in.
func (h *History) commandWindows(out, in trace.Verb) []window {
	var windows []window
	commands := h.kind(trace.KindCommand)
	for i, event := range commands {
		c := event.Command
		if c.Verb == out && c.Result == trace.ResultAccepted {
			to := undoneAt(commands[i+1:], c.Subject, in)
			windows = append(windows, window{subject: c.Subject, from: event.At + grace, to: to})
		}
	}
	return windows
}

// undoneAt returns the time from which the first command of the verb for the
// subject may have taken effect.
func undoneAt(commands []*trace.Event, subject string, verb trace.Verb) int64 {
	for _, event := range commands {
		c := event.Command
		if c.Verb == verb && c.Subject == subject && c.Result != trace.ResultRejected {
			return c.Begun
		}
	}
	return never
}

// checkWindows counts the work that was received during any window as events,
// and as a violation what concerns the window's subject.
func (h *History) checkWindows(t *tally, windows []window, subject func(*trace.Work) string) {
	for _, event := range h.kind(trace.KindReceived) {
		during := false
		for _, w := range windows {
			if !w.holds(event.At) {
				continue
			}
			during = true
			if subject(event.Work) == w.subject {
				t.violationf("at %d %s (%s) received request %s, out since %d",
					event.At, event.Work.Server, event.Work.Zone, event.Work.Request, w.from-grace)
			}
		}
		if during {
			t.seen()
		}
	}
}

// serviceOf returns the service of a server, which its id begins with.
func serviceOf(id ident.ServerID) ident.ServiceID {
	service, _, _ := strings.Cut(string(id), "/")
	return ident.ServiceID(service)
}
