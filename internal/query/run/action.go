package run

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// maxActionSends is the number of times that an action is offered to homes
// that did not take it.
const maxActionSends = 8

// Action is the Machine of a non-idempotent action. It is sent to the home of
// its key, and again only after it certainly did not reach a home or was
// certainly not run by it.
type Action struct {
	deps  Deps
	spec  Spec
	out   outbox
	ended bool

	// open is set while the home may have the action.
	open    bool
	sends   int
	home    view.Member
	retryAt time.Time
}

// NewAction returns the machine of an action.
func NewAction(deps Deps, spec Spec) *Action {
	return &Action{deps: deps, spec: spec}
}

// Start sends the action to its home.
func (a *Action) Start(now time.Time) Step {
	a.offer(now)
	return a.finishStep(now)
}

// OnReply takes the answer of the home.
func (a *Action) OnReply(now time.Time, from ident.VMID, answers []msgs.Answer) Step {
	for i := range answers {
		if !a.expects(from, &answers[i]) {
			a.deps.Counter.Count("action_late_answer")
			continue
		}
		a.open = false
		a.onAnswer(now, &answers[i])
	}
	return a.finishStep(now)
}

// OnLost ends the action as unknown unless it certainly did not reach the home.
func (a *Action) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if !a.expects(to, &msgs.Answer{Seq: item.Seq}) {
			continue
		}
		if sent {
			a.end(Result{Outcome: OutcomeUnknown, Reason: "the connection to the home was lost"})
			continue
		}
		a.open = false
		a.retryAt = now.Add(ownerPoll)
	}
	return a.finishStep(now)
}

// OnTimer offers the action again if it is due.
func (a *Action) OnTimer(now time.Time) Step {
	if !a.ended && !a.retryAt.IsZero() && !now.Before(a.retryAt) {
		a.offer(now)
	}
	return a.finishStep(now)
}

// GiveUp ends the action at once.
func (a *Action) GiveUp(_ time.Time, reason string) Step {
	a.endOpen(reason)
	return a.out.take()
}

// NextTimer returns when OnTimer has to be called next.
func (a *Action) NextTimer() time.Time {
	return earlier(a.spec.Deadline, a.retryAt)
}

func (a *Action) finishStep(now time.Time) Step {
	if !now.Before(a.spec.Deadline) {
		a.endOpen(ReasonDeadline)
	}
	return a.out.take()
}

// expects reports whether an answer is to the action as it was last sent.
func (a *Action) expects(from ident.VMID, answer *msgs.Answer) bool {
	return !a.ended && a.open && int64(answer.Seq) == int64(a.sends-1) && a.home.Process.VM == from
}

func (a *Action) onAnswer(now time.Time, answer *msgs.Answer) {
	switch answer.Status {
	case msgs.StatusOK:
		a.end(Result{
			Outcome: OutcomeDone, Version: ident.Version(answer.Version),
			Answered: 1, Of: 1, Body: answer.Body,
		})
	case msgs.StatusNotRun:
		retry := time.Duration(answer.RetryMicros) * time.Microsecond
		a.end(Result{Outcome: OutcomeNotRun, Reason: "refused by the home", RetryAfter: max(retry, defaultRetryAfter)})
	case msgs.StatusWrongOwner:
		a.onWrongOwner(now, ident.VMID(answer.Owner))
	case msgs.StatusWrongVersion:
		a.offer(now)
	default:
		a.end(Result{Outcome: OutcomeUnknown, Reason: "the home could not learn the outcome"})
	}
}

func (a *Action) onWrongOwner(now time.Time, told ident.VMID) {
	a.deps.Counter.Count("action_wrong_owner")
	owner, ok := a.deps.Fleet.Member(told)
	if !ok {
		a.retryAt = now.Add(ownerPoll)
		return
	}
	a.sendTo(now, owner)
}

// offer sends the action to the home as it is known at now.
func (a *Action) offer(now time.Time) {
	a.retryAt = now.Add(ownerPoll)
	server, _, ok := a.deps.Catalog.Home(a.spec.Route)
	if !ok {
		return
	}
	owner, ok := a.deps.Fleet.Owner(server.ID)
	if !ok {
		return
	}
	a.sendTo(now, owner)
}

func (a *Action) sendTo(now time.Time, owner view.Member) {
	server, holding, ok := a.deps.Catalog.Home(a.spec.Route)
	if !ok || !now.Before(a.spec.Deadline) {
		return
	}
	if a.sends >= maxActionSends {
		a.endOpen("no home took the action")
		return
	}
	if holding.Version == 0 {
		holding.Shard = uint32(server.Shard)
	}
	a.retryAt = time.Time{}
	a.home, a.open = owner, true
	item := msgs.Item{Seq: uint32(a.sends), Shard: holding.Shard}
	a.sends++
	a.out.query(owner, a.message(now, holding.Version), item)
}

func (a *Action) message(now time.Time, version uint64) msgs.Query {
	return msgs.Query{
		ID:           a.spec.ID,
		Kind:         msgs.KindAction,
		Class:        uint8(a.spec.Class),
		Service:      string(a.spec.Service),
		Version:      version,
		BudgetMicros: budgetMicros(now, a.spec.Deadline),
		Action:       a.spec.Action,
		Key:          a.spec.Key,
		Body:         a.spec.Body,
	}
}

// endOpen ends the action without an answer.
func (a *Action) endOpen(reason string) {
	if a.open {
		a.end(Result{Outcome: OutcomeUnknown, Reason: reason})
		return
	}
	a.end(Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: defaultRetryAfter})
}

func (a *Action) end(result Result) {
	if a.ended {
		return
	}
	a.ended, a.open = true, false
	a.out.step.Result = &result
}
