package agent

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// acquireInterval is the time between the requests of an attempt to acquire
	// a lease, and the minimum delay after a lease was lost.
	acquireInterval = 100 * time.Millisecond
	// otherHolderTimeout is the time after which an attempt is given up if
	// another process holds the lease.
	otherHolderTimeout = 400 * time.Millisecond
	// otherHolderRetryDelay is the time from the end of another process's lease to
	// the next attempt, to which a random part of acquireInterval is added.
	otherHolderRetryDelay = 20 * time.Millisecond
	settleInterval        = time.Second
)

// groupLease is the state of a group's lease that this process holds or tries to
// acquire.
type groupLease struct {
	holder *lease.Holder
	// holding is the published lease; nil while the lease is not held.
	holding        *view.Holding
	attemptStarted time.Time
	// lastRequested is the time at which requests were last queued.
	lastRequested time.Time
	// nextAttempt is the earliest time of the next attempt.
	nextAttempt time.Time
	// settleRequested is the time at which the registrar was last asked to drop
	// the previous voters.
	settleRequested time.Time
	heldSince       time.Time
	// reason says why the current attempt was started.
	reason string
	// handingOver is set from the request to a successor until the lease is
	// released or the handover has failed.
	handingOver bool
}

// leaseOf returns the lease state of a group, creating it if necessary.
func (a *Agent) leaseOf(group ident.GroupID, now time.Time) *groupLease {
	l, ok := a.leases[group]
	if ok {
		return l
	}
	l = &groupLease{holder: lease.NewHolder(group, a.self.Process, a.options.Lease)}
	if e, known := a.membership.Groups[group]; known {
		l.holder.SetVoterConfig(e, now)
	}
	for p, at := range a.endedSince {
		l.holder.MarkEnded(p, at)
	}
	a.leases[group] = l
	return l
}

// acquirePreferred starts to acquire the groups whose preferred owner is this VM.
func (a *Agent) acquirePreferred(now time.Time) {
	if !a.joined || a.leaving || a.left || a.isolated {
		return
	}
	for group, vm := range a.roster.plan {
		if vm == a.self.Process.VM {
			a.acquire(group, "preferred owner", now)
		}
	}
}

// acquire starts an attempt to acquire a group's lease, unless the lease is held,
// an attempt is in progress, or it is too early for the next one.
func (a *Agent) acquire(group ident.GroupID, reason string, now time.Time) {
	if _, known := a.membership.Groups[group]; !known {
		return
	}
	l := a.leaseOf(group, now)
	if l.holder.Active() || now.Before(l.nextAttempt) {
		return
	}
	a.startAttempt(group, l, reason, now)
}

// startAttempt starts to request the lease with a new term.
func (a *Agent) startAttempt(group ident.GroupID, l *groupLease, reason string, now time.Time) {
	l.holder.Start()
	l.attemptStarted, l.reason = now, reason
	a.queueRequests(group, l, now)
}

// queueRequests queues the requests of a lease to all voters. They are sent at the
// end of the current task, together with those of other groups.
func (a *Agent) queueRequests(group ident.GroupID, l *groupLease, now time.Time) {
	l.lastRequested = now
	for _, p := range l.holder.Peers() {
		a.queuedRequests[p] = append(a.queuedRequests[p], group)
	}
}

// sendQueuedRequests sends one heartbeat with all queued requests to each voter.
func (a *Agent) sendQueuedRequests(now time.Time) {
	if len(a.queuedRequests) == 0 {
		return
	}
	queued := a.queuedRequests
	a.queuedRequests = map[ident.Process][]ident.GroupID{}
	for p, groups := range queued {
		a.sendLeaseRequests(p, groups, now)
	}
}

// checkLeases processes grants and timeouts of all leases and continues attempts.
func (a *Agent) checkLeases(now time.Time) {
	for group, l := range a.leases {
		if !l.holder.Active() {
			continue
		}
		a.checkLease(group, l, now)
		if l.holding == nil && l.holder.Active() {
			a.continueAttempt(group, l, now)
		}
	}
}

// checkLease publishes a lease that was acquired, extends one that was renewed and
// withdraws one that lapsed.
func (a *Agent) checkLease(group ident.GroupID, l *groupLease, now time.Time) {
	switch l.holder.Check(now) {
	case lease.Acquired:
		a.onAcquired(group, l, now)
	case lease.Lost:
		a.onLapsed(group, l, now)
	case lease.Unchanged:
		if until := l.holder.Until(now); l.holding != nil && !until.Equal(l.holding.Until()) {
			l.holding.Renew(until)
		}
	}
}

// continueAttempt repeats the requests of an attempt every acquireInterval. It gives
// the attempt up if another process still holds the lease after otherHolderTimeout.
func (a *Agent) continueAttempt(group ident.GroupID, l *groupLease, now time.Time) {
	other := l.holder.OtherHolder()
	switch {
	case !other.Process.IsZero() && now.Sub(l.attemptStarted) >= otherHolderTimeout:
		a.sendRelease(l, noop)
		l.nextAttempt = other.Until.Add(otherHolderRetryDelay + rand.N(acquireInterval))
		a.setRoute(group, other.Process.VM, learnedOwnerLifetime)
	case now.Sub(l.lastRequested) >= acquireInterval:
		if l.holder.TermRejected() {
			l.holder.Start()
		}
		a.queueRequests(group, l, now)
	}
}

// onAcquired publishes a lease that was just acquired, after the state of the
// previous owner was imported.
func (a *Agent) onAcquired(group ident.GroupID, l *groupLease, now time.Time) {
	inherited := l.holder.RecoverState(now)
	if a.deps.StateTransfer != nil {
		a.deps.StateTransfer.Import(group, inherited.HandoverState, inherited.PreviousUntil)
	}
	l.holding = &view.Holding{Group: a.groupWithoutMoved(group, now), Term: l.holder.Term()}
	l.holding.Renew(l.holder.Until(now))
	l.heldSince = now
	delete(a.routes, group)
	a.viewDirty = true
	if a.deps.StateTransfer != nil {
		l.holder.SetHandoverState(a.deps.StateTransfer.Export(group))
	}
	a.queueRequests(group, l, now)
	reason := l.reason
	if !inherited.CompleteSince.IsZero() {
		reason = fmt.Sprintf("%s; claims before %s may be lost", l.reason, inherited.CompleteSince.UTC().Format(time.RFC3339Nano))
	}
	a.record("lease_taken", string(group), reason, slog.Uint64("term", l.holder.Term()))
}

// endHolding ends the holding at once, also for requests that still use an older
// view.
func (l *groupLease) endHolding() {
	if l.holding != nil {
		l.holding.Renew(time.Time{})
	}
	l.holding = nil
}

// onLapsed withdraws a lease that was not renewed in time.
func (a *Agent) onLapsed(group ident.GroupID, l *groupLease, now time.Time) {
	l.endHolding()
	l.nextAttempt = now.Add(acquireInterval)
	a.viewDirty = true
	a.record("lease_lost", string(group), "no majority of the voters renewed it in time")
}

// sendRelease releases a lease, or ends an attempt, and notifies the voters. done
// runs after all of these calls have ended, whether they succeeded or not.
func (a *Agent) sendRelease(l *groupLease, done func()) {
	peers := l.holder.Peers()
	r := l.holder.Release()
	now := time.Now()
	pending := len(peers)
	for _, p := range peers {
		a.sendHeartbeat(p, []lease.Request{r}, now, func() {
			if pending--; pending == 0 {
				done()
			}
		})
	}
}

// exportHandoverState exports the state of all held groups. The next renewals
// store it at the voters.
func (a *Agent) exportHandoverState() {
	if a.deps.StateTransfer == nil {
		return
	}
	for group, l := range a.leases {
		if l.holding != nil {
			l.holder.SetHandoverState(a.deps.StateTransfer.Export(group))
		}
	}
}

// maintainLeases asks the registrar to drop previous voters that are no longer
// needed, and drops expired claims. It discards the state of groups that this process
// neither holds nor requests and whose preferred owner is another VM.
func (a *Agent) maintainLeases(now time.Time) {
	for group, l := range a.leases {
		if l.holding == nil || now.Sub(l.settleRequested) < settleInterval || !l.holder.CanDropPrev(now) {
			continue
		}
		l.settleRequested = now
		a.sendChange(settleChange(group, l.holder.VoterConfig().Epoch), now)
	}
	for group, l := range a.leases {
		l.holder.Expire(now)
		if !l.holder.Active() && a.roster.plan[group] != a.self.Process.VM {
			delete(a.leases, group)
		}
	}
}

// dropGroup releases the lease of a group and discards its state.
func (a *Agent) dropGroup(group ident.GroupID, l *groupLease) {
	if l.holding != nil {
		a.record("lease_released", string(group), "the group is no longer in the configuration")
	}
	l.endHolding()
	a.sendRelease(l, noop)
	delete(a.leases, group)
}
