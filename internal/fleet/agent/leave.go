package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// leavePollInterval is the time between two checks of Leave whether it is done.
const leavePollInterval = 100 * time.Millisecond

// Leave prepares a planned stop. It marks the process as leaving, which removes
// it from address lists and from the preferred owners, waits until it owns no
// group and is a voter of none, and removes it from the membership value. It fails
// if ctx ends before. The process stays reachable until Run ends.
func (a *Agent) Leave(ctx context.Context) error {
	if err := a.do(ctx, a.startLeave); err != nil {
		return err
	}
	for {
		done := false
		if err := a.do(ctx, func() { done = a.canLeave() }); err != nil {
			return err
		}
		if done {
			break
		}
		select {
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "agent: leave")
		}
	}
	return a.removeSelf(ctx)
}

// startLeave marks this process as leaving, informs the other members and ends its
// attempts to acquire leases.
func (a *Agent) startLeave() {
	now := time.Now()
	a.leaving = true
	a.self.Leaving = true
	a.record("leave_began", a.self.Process.String(), "planned stop")
	a.sendLeave(now)
	a.gossip.Announce(a.self, now)
	a.onGossipChanged(now)
	for _, l := range a.leases {
		if l.holding == nil && l.holder.Active() {
			a.sendRelease(l, noop)
		}
	}
}

// canLeave reports whether this process owns no group and is a voter of none. It
// doesn't wait for its voter roles while the key-value service is down, because
// they cannot be moved then. If no VM is left that could own a group, it releases
// all groups and reports true.
func (a *Agent) canLeave() bool {
	noCandidates := len(a.roster.candidates) == 0
	if noCandidates {
		a.releaseAll()
	}
	for _, l := range a.leases {
		if l.holding != nil {
			return false
		}
	}
	if time.Since(a.lastStoreContact) > 2*a.options.IsolationTimeout || noCandidates {
		return true
	}
	for _, e := range a.membership.Groups {
		if slices.Contains(e.All(), a.self.Process) {
			return false
		}
	}
	return true
}

// releaseAll releases all groups when no VM is left that could own them.
func (a *Agent) releaseAll() {
	for group, l := range a.leases {
		a.dropGroup(group, l)
	}
}

// removeSelf removes this process from the membership value, so that its monitors
// don't suspect a failure after it has stopped. A failed write is only logged.
func (a *Agent) removeSelf(ctx context.Context) error {
	var remove member.Change
	var registrar view.Member
	var found bool
	err := a.do(ctx, func() {
		remove = member.Change{Kind: member.Remove, Member: a.self}
		a.left = true
		a.viewDirty = true
		registrar, found = member.Registrar(a.membership, func(m view.Member) bool {
			return a.roster.isAlive(m.Process) && m.Process != a.self.Process
		})
	})
	if err != nil {
		return err
	}
	if found && a.sendChangeRequest(registrar, []member.Change{remove}) {
		return nil
	}
	_, _, err = a.writeMembership([]member.Change{remove}, member.Inputs{})
	if err != nil {
		a.deps.Logger.Info("failed to remove this process from the membership value", "error", err)
	}
	return nil
}
