package audit

import (
	"cmp"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func init() {
	checkers.Register("once", checkOnce)
}

// onceOp is an operation of the model of one action.
type onceOp int

const (
	opRun onceOp = iota
	opDone
	opNotRun
)

// onceModel is the model of one action: its state says whether it ran. A
// second run is illegal, "done" needs a run before it and "not run" none.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran, ok := state.(bool)
		switch input {
		case opRun:
			return ok && !ran, true
		case opDone:
			return ran, ran
		default:
			return !ran, ran
		}
	},
}

// checkOnce checks that each action ran at most once and that what callers
// were told fits.
func checkOnce(h *History, t *tally) {
	operations := h.actionOperations()
	keys := make([]actionKey, 0, len(operations))
	for key := range operations {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b actionKey) int { return cmp.Compare(a.key, b.key) })
	for _, key := range keys {
		t.seen()
		if !porcupine.CheckOperations(onceModel, operations[key]) {
			t.violationf("service %s, action %s, key %s: ran %d times at %v, answers %v",
				key.service, key.action, key.key, len(h.runs[key]), h.runServers(key), h.answersTo(key))
		}
	}
}

// actionOperations returns the operations on each action.
func (h *History) actionOperations() map[actionKey][]porcupine.Operation {
	operations := map[actionKey][]porcupine.Operation{}
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Op != trace.OpAction {
			continue
		}
		key := a.actionKey()
		operations[key] = append(operations[key], outcomeOperations(a, i)...)
	}
	for key, runs := range h.runs {
		for _, event := range runs {
			operations[key] = append(operations[key], porcupine.Operation{
				ClientId: len(h.attempts), Input: opRun, Call: event.At - skew, Return: event.At + skew,
			})
		}
	}
	return operations
}

// outcomeOperations returns what the outcome of an attempt claims. Without an
// answer, and for "unknown", it claims nothing.
func outcomeOperations(a *attempt, client int) []porcupine.Operation {
	op := porcupine.Operation{ClientId: client, Call: a.start, Return: a.end}
	switch {
	case a.answered() && a.Outcome == trace.OutcomeDone:
		op.Input = opDone
	case a.answered() && a.Outcome == trace.OutcomeNotRun:
		op.Input = opNotRun
	default:
		return nil
	}
	return []porcupine.Operation{op}
}

func (h *History) runServers(key actionKey) []string {
	var servers []string
	for _, event := range h.runs[key] {
		servers = append(servers, string(event.Run.Server))
	}
	return servers
}

func (h *History) answersTo(key actionKey) []trace.Outcome {
	var outcomes []trace.Outcome
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Op == trace.OpAction && a.actionKey() == key && a.answered() {
			outcomes = append(outcomes, a.Outcome)
		}
	}
	return outcomes
}
