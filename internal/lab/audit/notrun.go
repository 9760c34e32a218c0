package audit

import "github.com/samphirestair/samphirestair/internal/lab/trace"

func init() {
	checkers.Register("notrun", checkNotRun)
}

// checkNotRun checks that what was answered with "not run" did not run.
func checkNotRun(h *History, t *tally) {
	refused := h.refusedActions()
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.answered() || a.Outcome != trace.OutcomeNotRun {
			continue
		}
		t.seen()
		if a.Op == trace.OpAction {
			h.checkRefusedAction(a, refused[a.actionKey()], t)
			continue
		}
		h.checkRefusedRead(a, t)
	}
}

// checkRefusedRead uses that each attempt of a read has a text of its own.
func (h *History) checkRefusedRead(a *attempt, t *tally) {
	for _, event := range h.finished[a.subject()] {
		if event.Work.Ran {
			t.violationf("attempt %s: not run, but %s ran it", a.ID, event.Work.Server)
			return
		}
	}
}

// checkRefusedAction allows an execution after the refusal only if another
// attempt of the same action may have caused it.
func (h *History) checkRefusedAction(a *attempt, refused bool, t *tally) {
	for _, event := range h.runs[a.actionKey()] {
		if refused || event.At < a.end-skew {
			t.violationf("attempt %s: not run, but %s ran key %s at %d",
				a.ID, event.Run.Server, a.Key, event.At)
			return
		}
	}
}

// refusedActions returns the actions of which each attempt was answered with
// "not run".
func (h *History) refusedActions() map[actionKey]bool {
	refused := map[actionKey]bool{}
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Op != trace.OpAction {
			continue
		}
		key := a.actionKey()
		before, seen := refused[key]
		notRun := a.answered() && a.Outcome == trace.OutcomeNotRun || a.Failure == trace.FailureRefused
		refused[key] = notRun && (before || !seen)
	}
	return refused
}
