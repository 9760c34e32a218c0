package agent

import (
	"log/slog"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// quiesceTimeout bounds the time for which a group gets no new work before
	// it is handed over.
	quiesceTimeout = 250 * time.Millisecond
	// quiescePollInterval is the time between two checks whether work still
	// runs.
	quiescePollInterval = 5 * time.Millisecond
	// releaseConfirmTimeout is the time after which the successor is notified
	// of the release even if not all voters have confirmed it.
	releaseConfirmTimeout = 50 * time.Millisecond
)

// handOverGroups starts the handover of held groups whose preferred owner is now
// another VM.
func (a *Agent) handOverGroups(now time.Time) {
	remaining := a.options.MaxHandovers
	for group, l := range a.leases {
		if l.holding == nil || l.handingOver {
			continue
		}
		successor, ok := a.successor(group, now)
		if !ok {
			continue
		}
		if remaining--; remaining < 0 {
			return
		}
		a.startHandover(group, l, successor)
	}
}

// successor returns the member to which a held group should be handed over. It
// reports false until another VM has been the preferred owner for HandoverDelay;
// a process that leaves does not wait.
func (a *Agent) successor(group ident.GroupID, now time.Time) (view.Member, bool) {
	vm, ok := a.roster.plan[group]
	if !ok || vm == a.self.Process.VM {
		delete(a.roster.replannedSince, group)
		return view.Member{}, false
	}
	since, noted := a.roster.replannedSince[group]
	if !noted {
		a.roster.replannedSince[group] = now
		since = now
	}
	if now.Sub(since) < a.options.HandoverDelay && !a.leaving {
		return view.Member{}, false
	}
	m, alive := a.roster.byVM[vm]
	return m, alive
}

// startHandover asks the successor whether it is ready, then pauses the group and
// releases its lease.
func (a *Agent) startHandover(group ident.GroupID, l *groupLease, to view.Member) {
	l.handingOver = true
	call(a, to.Control, methodHandover, handoverRequest{Group: group}, func(r handoverReply, err error) {
		if err != nil || !r.Ready {
			l.handingOver = false
			return
		}
		a.releaseWhenIdle(group, l, to, time.Now().Add(quiesceTimeout))
	})
}

// releaseWhenIdle releases the lease once no work runs at the group's backend
// servers, or at the deadline. The successor has to count work that still runs
// at the release as occupying slots until the work's own deadline, so a short wait
// here avoids a longer one there.
func (a *Agent) releaseWhenIdle(group ident.GroupID, l *groupLease, to view.Member, deadline time.Time) {
	if l.holding == nil || a.leases[group] != l {
		l.handingOver = false
		return
	}
	now := time.Now()
	idle := a.deps.StateTransfer == nil || a.deps.StateTransfer.Pause(group, deadline)
	if !idle && now.Before(deadline) {
		a.runAfter(quiescePollInterval, func() { a.releaseWhenIdle(group, l, to, deadline) })
		return
	}
	l.handingOver = false
	a.releaseToSuccessor(group, l, to)
}

// releaseToSuccessor ends the holding, releases the lease and notifies the
// successor. The order matters: the new view is published before the voters are
// notified, and the successor is notified after all voters have confirmed the
// release or releaseConfirmTimeout has passed.
func (a *Agent) releaseToSuccessor(group ident.GroupID, l *groupLease, to view.Member) {
	l.endHolding()
	l.nextAttempt = time.Now().Add(a.options.HandoverDelay)
	a.setRoute(group, to.Process.VM, learnedOwnerLifetime)
	a.publish(time.Now())
	if a.deps.StateTransfer != nil {
		l.holder.SetHandoverState(a.deps.StateTransfer.Export(group))
	}
	a.record("lease_handed_over", string(group), "another VM is preferred", slog.String("to", string(to.Process.VM)))
	notified := false
	notify := func() {
		if !notified {
			notified = true
			call(a, to.Control, methodHandover, handoverRequest{Group: group, Released: true}, func(handoverReply, error) {})
		}
	}
	a.sendRelease(l, notify)
	a.runAfter(releaseConfirmTimeout, notify)
}

// handleHandover handles the handover request of a group's owner. It starts to
// acquire the lease if the owner has released it.
func (a *Agent) handleHandover(o handoverRequest) handoverReply {
	now := time.Now()
	_, known := a.membership.Groups[o.Group]
	ready := known && a.joined && !a.leaving && !a.isolated && a.roster.plan[o.Group] == a.self.Process.VM
	if !ready || !o.Released {
		return handoverReply{Ready: ready}
	}
	l := a.leaseOf(o.Group, now)
	if l.holding == nil {
		a.startAttempt(o.Group, l, "handed over", now)
	}
	return handoverReply{Ready: true}
}
