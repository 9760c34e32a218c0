package audit

import (
	"math"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

const (
	// changeGrace is the time within which an operator's change, or the begin of
	// a backend server's drain, must have taken effect on all processes, in
	// nanoseconds.
	changeGrace = int64(3 * time.Second)
	// maxClockSkew is the largest difference between the clocks of two
	// processes on one machine, in nanoseconds.
	maxClockSkew = int64(20 * time.Millisecond)
	// never is the end time of what has not ended within the history.
	never = int64(math.MaxInt64)
)

// History holds the events of a run and the indexes that checkers share. It is
// immutable after New and therefore safe for concurrent use.
type History struct {
	events   []trace.Event
	attempts []attempt
	// finished holds the events of finished sub-requests by search or lookup.
	finished map[readKey][]*trace.Event
	// executions holds the events of executions by action.
	executions map[actionKey][]*trace.Event
}

// attempt is one attempt of a caller with its start and end, in nanoseconds
// since the Unix epoch. The end is never if the history doesn't show it.
type attempt struct {
	trace.Attempt
	start, end int64
}

// answered reports whether the attempt ended with an answer.
func (a *attempt) answered() bool {
	return a.end != never && a.Failure == ""
}

// readKey identifies a search or lookup: text is the query of a search or the
// key of a lookup. Callers give each attempt a text of its own.
type readKey struct {
	service ident.ServiceID
	op      trace.Op
	text    string
}

// actionKey identifies an action request; key is its idempotency key. All
// attempts of the request share it.
type actionKey struct {
	service ident.ServiceID
	action  string
	key     string
}

// New returns the history of the given events, which must be ordered by time.
func New(events []trace.Event) *History {
	h := &History{
		events:     events,
		finished:   map[readKey][]*trace.Event{},
		executions: map[actionKey][]*trace.Event{},
	}
	started := map[string]int{}
	for i := range events {
		h.add(&events[i], started)
	}
	return h
}

// add indexes an event. The map started holds the index in h.attempts by the
// ID of the attempt.
func (h *History) add(event *trace.Event, started map[string]int) {
	switch event.Kind {
	case trace.KindStarted:
		started[event.Attempt.ID] = len(h.attempts)
		h.attempts = append(h.attempts, attempt{Attempt: *event.Attempt, start: event.At, end: never})
	case trace.KindEnded:
		if i, ok := started[event.Attempt.ID]; ok {
			h.attempts[i].Attempt, h.attempts[i].end = *event.Attempt, event.At
		}
	case trace.KindFinished:
		s := subRequestReadKey(event.SubRequest)
		h.finished[s] = append(h.finished[s], event)
	case trace.KindExecution:
		k := actionKey{event.Execution.Service, event.Execution.Action, event.Execution.Key}
		h.executions[k] = append(h.executions[k], event)
	}
}

func subRequestReadKey(sub *trace.SubRequest) readKey {
	text := sub.Key
	if sub.Op == trace.OpSearch {
		text = sub.Query
	}
	return readKey{service: serviceOf(sub.Server), op: sub.Op, text: text}
}

func (a *attempt) readKey() readKey {
	text := a.Key
	if a.Op == trace.OpSearch {
		text = a.Query
	}
	return readKey{service: a.Service, op: a.Op, text: text}
}

func (a *attempt) actionKey() actionKey {
	return actionKey{a.Service, a.Action, a.Key}
}

// mergedSearches returns the search attempts with the outcome full or partial,
// whose answers are merged from those of shards.
func (h *History) mergedSearches() []*attempt {
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

// eventsOfKind returns the events of one kind, ordered by time.
func (h *History) eventsOfKind(kind trace.Kind) []*trace.Event {
	var found []*trace.Event
	for i := range h.events {
		if h.events[i].Kind == kind {
			found = append(found, &h.events[i])
		}
	}
	return found
}
