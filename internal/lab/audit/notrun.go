package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("notrun", checkNotRun)
}

// checkNotRun checks that no request was executed that was answered with
// "not run".
func checkNotRun(h *History, t *tally) {
	notRun := h.notRunActions()
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.answered() || a.Outcome != trace.OutcomeNotRun {
			continue
		}
		t.countEvent()
		if a.Op == trace.OpAction {
			h.checkNotRunAction(a, notRun[a.actionKey()], t)
			continue
		}
		h.checkNotRunRead(a, t)
	}
}

// checkNotRunRead checks a search or lookup. Because each attempt has a text of
// its own, any execution under its readKey belongs to the attempt.
func (h *History) checkNotRunRead(a *attempt, t *tally) {
	for _, event := range h.finished[a.readKey()] {
		if event.SubRequest.Begun {
			t.violationf("attempt %s: not run, but %s ran it", a.ID, event.SubRequest.Server)
			return
		}
	}
}

// checkNotRunAction checks an action. All attempts of an action share its key,
// so an execution after the answer "not run" is allowed unless notRun is set:
// another attempt may have caused it.
func (h *History) checkNotRunAction(a *attempt, notRun bool, t *tally) {
	for _, event := range h.executions[a.actionKey()] {
		if notRun || event.At < a.end-maxClockSkew {
			t.violationf("attempt %s: not run, but %s ran key %s at %d",
				a.ID, event.Execution.Server, a.Key, event.At)
			return
		}
	}
}

// notRunActions reports for each action whether none of its attempts can have
// executed it: each was answered with "not run" or found no connection.
func (h *History) notRunActions() map[actionKey]bool {
	notRun := map[actionKey]bool{}
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Op != trace.OpAction {
			continue
		}
		key := a.actionKey()
		before, seen := notRun[key]
		unexecuted := a.answered() && a.Outcome == trace.OutcomeNotRun || a.Failure == trace.FailureNoConnection
		notRun[key] = unexecuted && (before || !seen)
	}
	return notRun
}
