package course

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// maxRetired is the number of index versions that an action tries.
	maxRetired = 8
	// probeEvery is the time between two questions of an action for the index
	// versions of the servers.
	probeEvery = 100 * time.Millisecond
	// maxProbeRedirects is the number of named owners that one round of probes
	// follows.
	maxProbeRedirects = 4
)

// Action is the Machine of a non-idempotent action. It is sent to the home of
// its key, and again only after it certainly did not reach a home or was
// certainly not run by it. Before that it learns the index version.
type Action struct {
	deps  Deps
	spec  Spec
	out   outbox
	ended bool

	// waiting is the offer that has no answer yet.
	waiting *offer
	seq     uint32
	retryAt time.Time
	probeAt time.Time
	// retired is the last place that no replica served any more, and
	// retirements counts them.
	retired     place
	retirements int
	// redirected is set while the offer went to an owner that another VM
	// named. During a handover two VMs may name each other.
	redirected bool
	// redirects counts the probes that followed a named owner since the last
	// round of probes.
	redirects int
}

// offer is the action as it was sent to a home.
type offer struct {
	message uint64
	seq     uint32
	to      ident.VMID
	place   place
}

// place is where the home was asked to run the action.
type place struct {
	version  ident.Version
	replicas []*svcdoc.Server
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

// OnReply takes the answer of the home. Answers to probes have been learned
// from before.
func (a *Action) OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step {
	if a.waiting == nil {
		a.redirectProbes(now, reply.Answers)
		a.offer(now)
		return a.finishStep(now)
	}
	for i := range reply.Answers {
		if !a.expects(from, reply.ID, reply.Answers[i].Seq) {
			a.deps.Counter.Count("action_late_answer")
			continue
		}
		a.onAnswer(now, &reply.Answers[i])
	}
	return a.finishStep(now)
}

// OnLost ends the action as unknown unless it certainly did not reach the home.
func (a *Action) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if !a.expects(to, query.ID, item.Seq) {
			continue
		}
		if sent {
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
	if !a.retryAt.IsZero() && !now.Before(a.retryAt) {
		a.offer(now)
	}
	return a.finishStep(now)
}

// Abort ends the action at once.
func (a *Action) Abort(_ time.Time, reason string) Step {
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

// expects reports whether an answer is to the offer that waits for one.
func (a *Action) expects(from ident.VMID, message uint64, seq uint32) bool {
	w := a.waiting
	return w != nil && w.message == message && w.seq == seq && w.to == from
}

func (a *Action) onAnswer(now time.Time, answer *msgs.Answer) {
	offered := a.waiting
	a.waiting = nil
	switch answer.Status {
	case msgs.StatusOK:
		a.end(Result{
			Outcome: OutcomeDone, Version: ident.Version(answer.Version),
			AnsweredShards: 1, TotalShards: 1, Body: answer.Body,
		})
	case msgs.StatusNotRun:
		retry := time.Duration(answer.RetryMicros) * time.Microsecond
		a.end(Result{
			Outcome: OutcomeNotRun, Reason: "refused by the home",
			Overloaded: isOverload(answer), RetryAfter: max(retry, defaultRetryAfter),
		})
	case msgs.StatusWrongOwner:
		a.onWrongOwner(now, ident.VMID(answer.Owner))
	case msgs.StatusWrongVersion:
		a.onWrongVersion(now, offered.place)
	default:
		a.end(Result{Outcome: OutcomeUnknown, Reason: "the home could not learn the outcome"})
	}
}

// onWrongOwner offers the action to the owner that the answer names.
func (a *Action) onWrongOwner(now time.Time, told ident.VMID) {
	a.deps.Counter.Count("action_wrong_owner")
	home, ok := a.deps.Catalog.Home(a.spec.Route)
	owner, known := a.deps.Fleet.Member(told)
	if !ok || !known || a.redirected || !a.usable(home) {
		a.retryAt = now.Add(ownerPoll)
		return
	}
	a.send(now, owner, home)
	a.redirected = true
}

// onWrongVersion asks for the index versions again.
func (a *Action) onWrongVersion(now time.Time, retired place) {
	a.retirements++
	if a.retirements >= maxRetired {
		a.endOpen("the index version changes too often")
		return
	}
	a.retired, a.probeAt = retired, time.Time{}
	a.offer(now)
}

// offer sends the action to the home as it is known at now, or first asks for
// the index versions of the servers.
func (a *Action) offer(now time.Time) {
	if a.ended {
		return
	}
	a.retryAt = now.Add(ownerPoll)
	home, ok := a.deps.Catalog.Home(a.spec.Route)
	if !ok {
		return
	}
	if !a.usable(home) {
		a.probe(now)
		return
	}
	if owner, ok := a.deps.Fleet.Owner(home.Server); ok {
		a.send(now, owner, home)
	}
}

// usable reports whether the home can run the action at a replica that it was
// not told of when all had dropped the version.
func (a *Action) usable(home Home) bool {
	if home.Version == 0 {
		return false
	}
	return slices.ContainsFunc(home.Replicas, func(server *svcdoc.Server) bool {
		return home.Version != a.retired.version || !slices.Contains(a.retired.replicas, server)
	})
}

func (a *Action) send(now time.Time, owner view.Member, home Home) {
	if !now.Before(a.spec.Deadline) {
		return
	}
	a.retryAt = time.Time{}
	a.redirected = false
	message := probeMessage(now, &a.spec)
	message.Kind, message.Version = msgs.KindAction, uint64(home.Version)
	message.Action, message.Key, message.Body = a.spec.Action, a.spec.Key, a.spec.Body
	item := msgs.Item{Seq: a.nextSeq(), Shard: uint32(home.DocumentShard)}
	a.waiting = &offer{
		message: a.out.query(owner, message, item), seq: item.Seq, to: owner.Process.VM,
		place: place{version: home.Version, replicas: home.Replicas},
	}
	for _, server := range home.Replicas {
		a.out.query(owner, message, msgs.Item{Server: string(server.ID), Shard: uint32(home.VersionShard)})
	}
}

// probe asks for the index versions of all servers, at most once per
// probeEvery.
func (a *Action) probe(now time.Time) {
	if now.Before(a.probeAt) {
		return
	}
	if !a.probeAt.IsZero() {
		// The last round of probes has told which replicas are left.
		a.retired = place{}
	}
	a.probeAt = now.Add(probeEvery)
	a.redirects = 0
	for _, server := range a.deps.Catalog.Servers() {
		if owner, ok := a.deps.Fleet.Owner(server.ID); ok {
			item := msgs.Item{Seq: a.nextSeq(), Server: string(server.ID), Shard: uint32(server.Shard)}
			a.out.query(owner, probeMessage(now, &a.spec), item)
		}
	}
}

// redirectProbes asks the owners that answers to probes name.
func (a *Action) redirectProbes(now time.Time, answers []msgs.Answer) {
	for i := range answers {
		answer := &answers[i]
		owner, known := a.deps.Fleet.Member(ident.VMID(answer.Owner))
		if a.ended || !known || answer.Status != msgs.StatusWrongOwner || a.redirects >= maxProbeRedirects {
			continue
		}
		a.redirects++
		item := msgs.Item{Seq: a.nextSeq(), Server: answer.Server, Shard: answer.Shard}
		a.out.query(owner, probeMessage(now, &a.spec), item)
	}
}

func (a *Action) nextSeq() uint32 {
	a.seq++
	return a.seq
}

// endOpen ends the action without an answer.
func (a *Action) endOpen(reason string) {
	if a.waiting != nil {
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
