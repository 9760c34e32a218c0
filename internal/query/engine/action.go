package engine

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// maxRetirements is the number of StatusWrongVersion answers after which
	// an action is ended as not run.
	maxRetirements = 8
	// probeInterval is the minimum time between two rounds of probes that an
	// action sends to learn the index versions of the servers.
	probeInterval = 100 * time.Millisecond
	// maxProbeRedirects limits the probes per round that are sent again to the
	// owner named in a StatusWrongOwner answer.
	maxProbeRedirects = 4
)

// Action is the Machine of a non-idempotent action. It learns the index version
// if none is known and sends the action to the owner of its Home server. It
// sends again only if the previous attempt certainly did not reach the owner,
// or the owner certainly did not run it.
type Action struct {
	deps  Deps
	spec  Spec
	out   outbox
	ended bool
	// size is the size of the answer.
	size int

	// pending is the attempt that has no answer yet, or nil.
	pending     *actionAttempt
	lastSeq     uint32
	retryAt     time.Time
	nextProbeAt time.Time
	// retiredPlacement is the last placement answered with StatusWrongVersion:
	// none of its replicas holds the version any more. retirements counts such
	// answers.
	retiredPlacement placement
	retirements      int
	// redirected is set while the pending attempt went to the owner named in
	// a StatusWrongOwner answer. Such an attempt is not redirected again,
	// because two VMs may name each other during a handover.
	redirected bool
	// probeRedirects counts the redirected probes of the current round.
	probeRedirects int
}

// actionAttempt is the action as it was sent to a VM. An answer must match its
// query ID, seq and receiver.
type actionAttempt struct {
	queryID   uint64
	seq       uint32
	receiver  ident.VMID
	placement placement
}

// placement is the index version and the replicas at which the receiver was
// asked to run the action.
type placement struct {
	version  ident.Version
	replicas []*svcdoc.Server
}

// NewAction returns the Machine of an action. Call Start once before any other
// method.
func NewAction(deps Deps, spec Spec) *Action {
	return &Action{deps: deps, spec: spec, out: outbox{requestID: spec.ID}}
}

// Start sends the action to its home, or probes if the index version is not
// known.
func (a *Action) Start(now time.Time) Step {
	a.trySend(now)
	return a.finishStep(now)
}

// OnReply handles the answer to the pending attempt; other answers are counted
// and ignored. Without a pending attempt it handles answers to probes, whose
// index versions are already in the Catalog.
func (a *Action) OnReply(now time.Time, from ident.VMID, reply msgs.Reply) Step {
	if a.pending == nil {
		a.redirectProbes(now, reply.Answers)
		a.trySend(now)
		return a.finishStep(now)
	}
	for i := range reply.Answers {
		if !a.matchesPending(from, reply.ID, reply.Answers[i].Seq) {
			a.deps.Counter.Count("action_late_answer")
			continue
		}
		a.onAnswer(now, &reply.Answers[i])
	}
	return a.finishStep(now)
}

// OnLost ends the action as unknown if the lost query may have reached its
// receiver, and otherwise schedules another attempt.
func (a *Action) OnLost(now time.Time, to ident.VMID, query msgs.Query, sent bool) Step {
	for _, item := range query.Items {
		if !a.matchesPending(to, query.ID, item.Seq) {
			continue
		}
		if sent {
			a.end(Result{Outcome: OutcomeUnknown, Reason: "the connection to the home was lost"})
			continue
		}
		a.pending = nil
		a.retryAt = now.Add(ownerPollInterval)
	}
	return a.finishStep(now)
}

// OnTimer sends the action again if its retry time has come, and ends it at the
// deadline.
func (a *Action) OnTimer(now time.Time) Step {
	if !a.retryAt.IsZero() && !now.Before(a.retryAt) {
		a.trySend(now)
	}
	return a.finishStep(now)
}

// Abort ends the action at once: as unknown if an attempt is pending, otherwise
// as not run.
func (a *Action) Abort(_ time.Time, reason string) Step {
	a.endWithoutAnswer(reason)
	return a.out.flush()
}

// NextTimer returns the time of the next retry or the deadline.
func (a *Action) NextTimer() time.Time {
	return earlier(a.spec.Deadline, a.retryAt)
}

func (a *Action) finishStep(now time.Time) Step {
	if !now.Before(a.spec.Deadline) {
		a.endWithoutAnswer(ReasonDeadline)
	}
	return a.out.flush()
}

// matchesPending reports whether a message belongs to the pending attempt.
func (a *Action) matchesPending(from ident.VMID, queryID uint64, seq uint32) bool {
	p := a.pending
	return p != nil && p.queryID == queryID && p.seq == seq && p.receiver == from
}

func (a *Action) onAnswer(now time.Time, answer *msgs.Answer) {
	answered := a.pending
	a.pending = nil
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
		a.onWrongVersion(now, answered.placement)
	default:
		a.end(Result{Outcome: OutcomeUnknown, Reason: "the home could not learn the outcome"})
	}
}

// onWrongOwner sends the action to the owner named in the answer, or schedules
// another attempt if that attempt was itself redirected or the owner is not
// known.
func (a *Action) onWrongOwner(now time.Time, named ident.VMID) {
	a.deps.Counter.Count("action_wrong_owner")
	home, ok := a.deps.Catalog.Home(a.spec.Route)
	owner, known := a.deps.Fleet.Member(named)
	if !ok || !known || a.redirected || !a.hasUsableReplica(home) {
		a.retryAt = now.Add(ownerPollInterval)
		return
	}
	a.send(now, owner, home)
	a.redirected = true
}

// onWrongVersion sends the action to another version or replica if one is
// known, and otherwise probes the servers at once.
func (a *Action) onWrongVersion(now time.Time, retired placement) {
	a.retirements++
	if a.retirements >= maxRetirements {
		a.endWithoutAnswer("the index version changes too often")
		return
	}
	a.retiredPlacement, a.nextProbeAt = retired, time.Time{}
	a.trySend(now)
}

// trySend sends the action to the current owner of its home server, or probes
// if no usable replica is known. If neither is possible, OnTimer tries again.
func (a *Action) trySend(now time.Time) {
	if a.ended {
		return
	}
	a.retryAt = now.Add(ownerPollInterval)
	home, ok := a.deps.Catalog.Home(a.spec.Route)
	if !ok {
		return
	}
	if !a.hasUsableReplica(home) {
		a.probe(now)
		return
	}
	if owner, ok := a.deps.Fleet.Owner(home.Server); ok {
		a.send(now, owner, home)
	}
}

// hasUsableReplica reports whether an index version is known and at least one of
// its replicas is not part of retiredPlacement.
func (a *Action) hasUsableReplica(home Home) bool {
	if home.Version == 0 {
		return false
	}
	return slices.ContainsFunc(home.Replicas, func(server *svcdoc.Server) bool {
		return home.Version != a.retiredPlacement.version || !slices.Contains(a.retiredPlacement.replicas, server)
	})
}

// send sends the action to owner. The first item identifies the attempt; one
// more item per replica lists where the owner may run it.
func (a *Action) send(now time.Time, owner view.Member, home Home) {
	if !now.Before(a.spec.Deadline) {
		return
	}
	a.retryAt = time.Time{}
	a.redirected = false
	query := probeTemplate(now, &a.spec)
	query.Kind, query.Version = msgs.KindAction, uint64(home.Version)
	query.Action, query.Key, query.Body = a.spec.Action, a.spec.Key, a.spec.Body
	item := msgs.Item{Seq: a.nextSeq(), Shard: uint32(home.DocumentShard)}
	a.pending = &actionAttempt{
		queryID: a.out.addItem(owner, query, item), seq: item.Seq, receiver: owner.Process.VM,
		placement: placement{version: home.Version, replicas: home.Replicas},
	}
	for _, server := range home.Replicas {
		a.out.addItem(owner, query, msgs.Item{Server: string(server.ID), Shard: uint32(home.VersionShard)})
	}
}

// probe asks the owners of all servers for their index versions, at most once
// per probeInterval.
func (a *Action) probe(now time.Time) {
	if now.Before(a.nextProbeAt) {
		return
	}
	if !a.nextProbeAt.IsZero() {
		// The last round of probes reported which replicas still hold the version.
		a.retiredPlacement = placement{}
	}
	a.nextProbeAt = now.Add(probeInterval)
	a.probeRedirects = 0
	for _, server := range a.deps.Catalog.Servers() {
		if owner, ok := a.deps.Fleet.Owner(server.ID); ok {
			item := msgs.Item{Seq: a.nextSeq(), Server: string(server.ID), Shard: uint32(server.Shard)}
			a.out.addItem(owner, probeTemplate(now, &a.spec), item)
		}
	}
}

// redirectProbes sends probes that were answered with StatusWrongOwner again, to
// the owners named in the answers.
func (a *Action) redirectProbes(now time.Time, answers []msgs.Answer) {
	for i := range answers {
		answer := &answers[i]
		owner, known := a.deps.Fleet.Member(ident.VMID(answer.Owner))
		if a.ended || !known || answer.Status != msgs.StatusWrongOwner || a.probeRedirects >= maxProbeRedirects {
			continue
		}
		a.probeRedirects++
		item := msgs.Item{Seq: a.nextSeq(), Server: answer.Server, Shard: answer.Shard}
		a.out.addItem(owner, probeTemplate(now, &a.spec), item)
	}
}

func (a *Action) nextSeq() uint32 {
	a.lastSeq++
	return a.lastSeq
}

// endWithoutAnswer ends the action as unknown if an attempt is pending, and
// otherwise as not run.
func (a *Action) endWithoutAnswer(reason string) {
	if a.pending != nil {
		a.end(Result{Outcome: OutcomeUnknown, Reason: reason})
		return
	}
	a.end(Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: defaultRetryAfter})
}

// Size implements Machine.
func (a *Action) Size() int {
	return a.size
}

func (a *Action) end(result Result) {
	if a.ended {
		return
	}
	a.ended, a.pending, a.size = true, nil, len(result.Body)
	a.out.step.Result = &result
}
