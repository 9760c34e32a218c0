package audit

import (
	"math"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

const (
	// grace is the time within which a change must be in force everywhere.
	grace = int64(3 * time.Second)
	// skew is the largest difference between the clocks of two processes of
	// one machine.
	skew = int64(20 * time.Millisecond)
	// never is the time of events that have not occurred.
	never = int64(math.MaxInt64)
)

// History is a history with the indexes that checkers share. It is not changed
// after New and so is safe for concurrent use.
type History struct {
	events   []trace.Event
	attempts []attempt
	// finished holds the finished sub-requests of each search or lookup.
	finished map[subject][]*trace.Event
	// runs holds the executions of each action.
	runs map[actionKey][]*trace.Event
}

// attempt is one attempt of a caller with its times. An attempt that has not
// ended ends never.
type attempt struct {
	trace.Attempt
	start, end int64
}

// answered reports whether the attempt ended with an answer.
func (a *attempt) answered() bool {
	return a.end != never && a.Failure == ""
}

// subject names what a read asks a service for.
type subject struct {
	service ident.ServiceID
	op      trace.Op
	text    string
}

// actionKey names one action.
type actionKey struct {
	service ident.ServiceID
	action  string
	key     string
}

// New returns the history of the given events, which are in the order of time.
func New(events []trace.Event) *History {
	h := &History{
		events:   events,
		finished: map[subject][]*trace.Event{},
		runs:     map[actionKey][]*trace.Event{},
	}
	open := map[string]int{}
	for i := range events {
		h.add(&events[i], open)
	}
	return h
}

func (h *History) add(event *trace.Event, open map[string]int) {
	switch event.Kind {
	case trace.KindStarted:
		open[event.Attempt.ID] = len(h.attempts)
		h.attempts = append(h.attempts, attempt{Attempt: *event.Attempt, start: event.At, end: never})
	case trace.KindEnded:
		if i, ok := open[event.Attempt.ID]; ok {
			h.attempts[i].Attempt, h.attempts[i].end = *event.Attempt, event.At
		}
	case trace.KindFinished:
		s := workSubject(event.Work)
		h.finished[s] = append(h.finished[s], event)
	case trace.KindRun:
		k := actionKey{event.Run.Service, event.Run.Action, event.Run.Key}
		h.runs[k] = append(h.runs[k], event)
	}
}

func workSubject(w *trace.Work) subject {
	text := w.Key
	if w.Op == trace.OpSearch {
		text = w.Query
	}
	return subject{service: serviceOf(w.Server), op: w.Op, text: text}
}

func (a *attempt) subject() subject {
	text := a.Key
	if a.Op == trace.OpSearch {
		text = a.Query
	}
	return subject{service: a.Service, op: a.Op, text: text}
}

func (a *attempt) actionKey() actionKey {
	return actionKey{a.Service, a.Action, a.Key}
}

// searches returns the attempts that ended with a merged answer.
func (h *History) searches() []*attempt {
	var found []*attempt
	for i := range h.attempts {
		a := &h.attempts[i]
		merged := a.Outcome == trace.OutcomeFull || a.Outcome == trace.OutcomePartial
		if a.Op == trace.OpSearch && a.answered() && merged {
			found = append(found, a)
		}
	}
	return found
}

// kind returns the events of one kind.
func (h *History) kind(kind trace.Kind) []*trace.Event {
	var found []*trace.Event
	for i := range h.events {
		if h.events[i].Kind == kind {
			found = append(found, &h.events[i])
		}
	}
	return found
}
