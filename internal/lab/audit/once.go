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

// actionOp is an operation of onceModel.
type actionOp int

const (
	opExecuted actionOp = iota
	opAnsweredDone
	opAnsweredNotRun
)

// onceModel is the sequential specification of one action. Its state is whether
// the action was executed. A second execution is illegal, the answer "done"
// requires an earlier execution, and the answer "not run" requires that there
// was none.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran, ok := state.(bool)
		switch input {
		case opExecuted:
			return ok && !ran, true
		case opAnsweredDone:
			return ran, ran
		default:
			return !ran, ran
		}
	},
}

// checkOnce checks that each action was executed at most once and that the
// answers to its attempts agree with that.
func checkOnce(h *History, t *tally) {
	operations := h.actionOperations()
	keys := make([]actionKey, 0, len(operations))
	for key := range operations {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b actionKey) int { return cmp.Compare(a.key, b.key) })
	for _, key := range keys {
		t.countEvent()
		if !porcupine.CheckOperations(onceModel, operations[key]) {
			t.violationf("service %s, action %s, key %s: ran %d times at %v, answers %v",
				key.service, key.action, key.key, len(h.executions[key]), h.executingServers(key), h.outcomesOf(key))
		}
	}
}

// actionOperations returns the executions and answers of each action as
// operations of onceModel. The time of an execution is uncertain by
// maxClockSkew, because backend servers and callers record it in different
// processes.
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
	for key, runs := range h.executions {
		for _, event := range runs {
			operations[key] = append(operations[key], porcupine.Operation{
				ClientId: len(h.attempts), Input: opExecuted, Call: event.At - maxClockSkew, Return: event.At + maxClockSkew,
			})
		}
	}
	return operations
}

// outcomeOperations returns the operation for the answer to an attempt. There
// is none without an answer or for other outcomes than "done" and "not run",
// which don't say whether the action was executed.
func outcomeOperations(a *attempt, client int) []porcupine.Operation {
	op := porcupine.Operation{ClientId: client, Call: a.start, Return: a.end}
	switch {
	case a.answered() && a.Outcome == trace.OutcomeDone:
		op.Input = opAnsweredDone
	case a.answered() && a.Outcome == trace.OutcomeNotRun:
		op.Input = opAnsweredNotRun
	default:
		return nil
	}
	return []porcupine.Operation{op}
}

func (h *History) executingServers(key actionKey) []string {
	var servers []string
	for _, event := range h.executions[key] {
		servers = append(servers, string(event.Execution.Server))
	}
	return servers
}

func (h *History) outcomesOf(key actionKey) []trace.Outcome {
	var outcomes []trace.Outcome
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.Op == trace.OpAction && a.actionKey() == key && a.answered() {
			outcomes = append(outcomes, a.Outcome)
		}
	}
	return outcomes
}
