package run

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// maxActionSends is the number of times that an action is offered to homes
// that did not take it.
const maxActionSends = 8

// Action is the Machine of a non-idempotent action. It is sent to the home of
// its key, and again only after it certainly did not reach a home or was
// certainly not run by it. Before that it learns the index version of the
// home's server.
type Action struct {
	deps  Deps
	spec  Spec
	out   outbox
	ended bool

	// waiting is the message that has no answer yet.
	waiting *inquiry
	seq     uint32
	sends   int
	retryAt time.Time
}

// inquiry is a message to the home.
type inquiry struct {
	message uint64
	seq     uint32
	to      ident.VMID
	// probe is set if the message only asks for index versions.
	probe bool
}

// NewAction returns the machine of an action.
func NewAction(deps Deps, spec Spec) *Action {
	return &Action{deps: deps, spec: spec, out: outbox{request: spec.ID}}
}

// Start sends the action to its home.
func (a *Action) Start(now time.Time) Step {
	a.offer(now)
	return a.finishStep(now)
}

// OnReply takes the answer of the home.
func (a *Action) OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step {
	for i := range reply.Answers {
		answer := &reply.Answers[i]
		if !a.expects(from, reply.ID, answer.Seq) {
			a.deps.Counter.Count("action_late_answer")
			continue
		}
		probe := a.waiting.probe
		a.waiting = nil
		if probe {
			a.onProbeAnswered(now)
			continue
		}
		a.onAnswer(now, answer)
	}
	return a.finishStep(now)
}

// OnLost ends the action as unknown unless it certainly did not reach the home.
func (a *Action) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if !a.expects(to, query.ID, item.Seq) {
			continue
		}
		if sent && !a.waiting.probe {
			a.end(Result{Outcome: OutcomeUnknown, Reason: "the connection to the home was lost"})
			continue
		}
		a.waiting = nil
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

// expects reports whether an answer is to the message that waits for one.
func (a *Action) expects(from ident.VMID, message uint64, seq uint32) bool {
	w := a.waiting
	return !a.ended && w != nil && w.message == message && w.seq == seq && w.to == from
}

// onProbeAnswered offers the action if the version is known by now.
func (a *Action) onProbeAnswered(now time.Time) {
	if _, holding, ok := a.deps.Catalog.Home(a.spec.Route); ok && holding.Version != 0 {
		a.offer(now)
		return
	}
	a.retryAt = now.Add(ownerPoll)
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
		a.onWrongVersion(now)
	default:
		a.end(Result{Outcome: OutcomeUnknown, Reason: "the home could not learn the outcome"})
	}
}

// onWrongOwner offers the action to the owner that the answer names.
func (a *Action) onWrongOwner(now time.Time, told ident.VMID) {
	a.deps.Counter.Count("action_wrong_owner")
	owner, known := a.deps.Fleet.Member(told)
	_, holding, ok := a.deps.Catalog.Home(a.spec.Route)
	if !known || !ok || holding.Version == 0 {
		a.retryAt = now.Add(ownerPoll)
		return
	}
	a.send(now, owner, holding)
}

// onWrongVersion asks for the versions of the home's server once more.
func (a *Action) onWrongVersion(now time.Time) {
	server, owner, _, ok := a.home()
	if !ok || a.sends >= maxActionSends {
		a.retryAt = now.Add(ownerPoll)
		return
	}
	a.probe(now, owner, server)
}

// offer sends the action to the home as it is known at now, or first asks for
// the index version of the home's server.
func (a *Action) offer(now time.Time) {
	a.retryAt = now.Add(ownerPoll)
	server, owner, holding, ok := a.home()
	switch {
	case !ok:
	case holding.Version == 0:
		a.probe(now, owner, server)
	default:
		a.send(now, owner, holding)
	}
}

func (a *Action) home() (*svcdoc.Server, view.Member, msgs.Holding, bool) {
	server, holding, ok := a.deps.Catalog.Home(a.spec.Route)
	if !ok {
		return nil, view.Member{}, holding, false
	}
	owner, ok := a.deps.Fleet.Owner(server.ID)
	return server, owner, holding, ok
}

func (a *Action) send(now time.Time, owner view.Member, holding msgs.Holding) {
	if !now.Before(a.spec.Deadline) {
		return
	}
	if a.sends >= maxActionSends {
		a.endOpen("no home took the action")
		return
	}
	a.sends++
	message := probeMessage(now, &a.spec)
	message.Kind, message.Version = msgs.KindAction, holding.Version
	message.Action, message.Key, message.Body = a.spec.Action, a.spec.Key, a.spec.Body
	a.ask(owner, message, msgs.Item{Shard: holding.Shard}, false)
}

func (a *Action) probe(now time.Time, owner view.Member, server *svcdoc.Server) {
	item := msgs.Item{Server: string(server.ID), Shard: uint32(server.Shard)}
	a.ask(owner, probeMessage(now, &a.spec), item, true)
}

// ask sends a message that the action then waits for.
func (a *Action) ask(owner view.Member, message msgs.Query, item msgs.Item, probe bool) {
	a.retryAt = time.Time{}
	item.Seq = a.seq
	a.seq++
	a.waiting = &inquiry{
		message: a.out.query(owner, message, item), seq: item.Seq, to: owner.Process.VM, probe: probe,
	}
}

// endOpen ends the action without an answer.
func (a *Action) endOpen(reason string) {
	if a.waiting != nil && !a.waiting.probe {
		a.end(Result{Outcome: OutcomeUnknown, Reason: reason})
		return
	}
	a.end(Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: defaultRetryAfter})
}

func (a *Action) end(result Result) {
	if a.ended {
		return
	}
	a.ended, a.waiting = true, nil
	a.out.step.Result = &result
}
