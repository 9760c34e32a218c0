package audit

import (
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// window is a time span during which a zone or backend server, the subject, may
// receive no new work. Its ends are in nanoseconds since the Unix epoch.
type window struct {
	subject  string
	from, to int64
}

func (w window) contains(at int64) bool {
	return at > w.from && at < w.to
}

// commandWindows returns a window for each accepted command with the verb out,
// from changeGrace after the command until the next command with the verb in
// for the same subject.
func (h *History) commandWindows(out, in trace.Verb) []window {
	var windows []window
	commands := h.eventsOfKind(trace.KindCommand)
	for i, event := range commands {
		c := event.Command
		if c.Verb == out && c.Result == trace.ResultAccepted {
			to := windowEnd(commands[i+1:], c.Subject, in)
			windows = append(windows, window{subject: c.Subject, from: event.At + changeGrace, to: to})
		}
	}
	return windows
}

// windowEnd returns the time from which the first command with the given verb
// and subject may have taken effect, or never if there is none. A command whose
// result is unknown may have taken effect.
func windowEnd(commands []*trace.Event, subject string, verb trace.Verb) int64 {
	for _, event := range commands {
		c := event.Command
		if c.Verb == verb && c.Subject == subject && c.Result != trace.ResultRejected {
			return c.IssuedAt
		}
	}
	return never
}

// checkNoWorkDuring counts each sub-request received during any window as an
// event, and as a violation if its subject is that of the window.
func (h *History) checkNoWorkDuring(t *tally, windows []window, subject func(*trace.SubRequest) string) {
	for _, event := range h.eventsOfKind(trace.KindReceived) {
		during := false
		for _, w := range windows {
			if !w.contains(event.At) {
				continue
			}
			during = true
			if subject(event.SubRequest) == w.subject {
				t.violationf("at %d %s (%s) received request %s, out since %d",
					event.At, event.SubRequest.Server, event.SubRequest.Zone, event.SubRequest.Request, w.from-changeGrace)
			}
		}
		if during {
			t.countEvent()
		}
	}
}

// serviceOf returns the service of a backend server from the server's ID, which
// has the form SERVICE/SERVER.
func serviceOf(id ident.ServerID) ident.ServiceID {
	service, _, _ := strings.Cut(string(id), "/")
	return ident.ServiceID(service)
}
