package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

const (
	maxWriteAttempts = 4
	// formingTimeout is the time after its start during which a registrar waits
	// for more members to join before it names voters.
	formingTimeout = 3 * time.Second
	// formedFleetSize is the number of members from which on a registrar names
	// voters without this wait.
	formedFleetSize = 3
)

// registrar returns the member that writes the membership changes of all members.
func (a *Agent) registrar() (view.Member, bool) {
	return member.Registrar(a.membership, func(m view.Member) bool { return a.roster.isAlive(m.Process) })
}

func (a *Agent) isRegistrar() bool {
	r, ok := a.registrar()
	return ok && r.Process == a.self.Process
}

// sendChange sends a change to the registrar. If this process is the registrar, or
// the registrar doesn't accept the change, this process writes it itself.
func (a *Agent) sendChange(c member.Change, now time.Time) {
	r, ok := a.registrar()
	if !ok || r.Process == a.self.Process {
		a.batch.Add(c, now)
		return
	}
	call(a, r.Control, methodChange, changeRequest{[]member.Change{c}}, func(r changeReply, err error) {
		if err != nil || !r.Accepted {
			a.batch.Add(c, time.Now())
		}
	})
}

func settleChange(group ident.GroupID, epoch uint64) member.Change {
	return member.Change{Kind: member.DropPrev, Group: group, Epoch: epoch}
}

func (a *Agent) sendLeave(now time.Time) {
	a.sendChange(member.Change{Kind: member.Leave, Member: a.self}, now)
}

// handleChange accepts changes of other processes for the next write. It refuses
// them if this process is not a member, has left, or failed in its last call of
// the key-value service.
func (a *Agent) handleChange(r changeRequest) changeReply {
	if !a.membership.Has(a.self.Process) || a.left || a.storeDown {
		return changeReply{}
	}
	now := time.Now()
	for _, c := range r.Changes {
		if c.Kind == member.Join {
			a.noteIncarnation(c.Member.Process)
		}
		a.batch.Add(c, now)
	}
	return changeReply{Accepted: true}
}

// queueMemberUpkeep queues membership changes if this process is the registrar: it
// removes dead members, marks those that the platform is about to stop as leaving,
// and replaces voters where necessary.
func (a *Agent) queueMemberUpkeep(now time.Time) {
	if !a.isRegistrar() {
		return
	}
	for vm, r := range a.membership.Members {
		p := r.Member.Process
		if !a.roster.isAlive(p) && a.gossip.Dead(p, a.roster.fleetSize) {
			a.batch.Add(member.Change{Kind: member.Remove, Member: r.Member}, now)
		}
		if a.leavingVMs.Has(vm) && !r.Member.Leaving {
			a.batch.Add(member.Change{Kind: member.Leave, Member: r.Member}, now)
		}
	}
	if a.upkeepNeeded {
		a.upkeepNeeded = false
		if _, changed := member.Apply(a.membership, nil, a.facts()); changed {
			a.batch.Add(member.Change{}, now)
		}
	}
}

// facts returns the inputs of a membership change other than the changes. While the
// fleet is forming it requests another check of the voters.
func (a *Agent) facts() member.Inputs {
	groups := make([]ident.GroupID, len(a.groupList))
	for i, g := range a.groupList {
		groups[i] = g.ID
	}
	forming := len(a.membership.Members) < formedFleetSize && time.Since(a.started) < formingTimeout
	if forming {
		a.upkeepNeeded = true
	}
	return member.Inputs{Groups: groups, Listed: a.listedVMs.Clone(), Forming: forming}
}

// writePendingChanges starts a write if changes are pending and their delay has
// passed.
func (a *Agent) writePendingChanges(now time.Time) {
	changes, ready := a.batch.Take(now)
	if !ready {
		return
	}
	facts := a.facts()
	a.calls.Go(func() {
		value, revision, err := a.writeMembership(changes, facts)
		a.post(func() { a.handleWriteResult(value, revision, err) })
	})
}

// handleWriteResult adopts a membership value that was written. After a failure the
// changes stay pending and are also offered to another member.
func (a *Agent) handleWriteResult(value *member.Value, revision ident.Revision, err error) {
	now := time.Now()
	a.batch.Done(err == nil, now)
	if err != nil {
		a.deps.Logger.Warn("failed to write the membership value", "error", err, "pending", len(a.batch.Pending()))
		a.storeDown = true
		a.forwardPendingChanges()
		return
	}
	a.setLastStoreContact(now)
	a.setMembership(value, revision)
}

// forwardPendingChanges asks another member to write the pending changes, because
// the key-value service may be unreachable for this process only.
func (a *Agent) forwardPendingChanges() {
	changes := a.batch.Pending()
	for _, m := range a.randomMembers(1) {
		call(a, m.Control, methodChange, changeRequest{changes}, func(r changeReply, err error) {
			if err == nil && r.Accepted {
				a.batch.Drop(changes)
			}
		})
	}
}

// writeMembership applies the changes to the membership value in the key-value
// service and returns the new value with its revision. After a conflict or an
// unknown outcome it reads the value again and retries; this is safe because
// applying changes twice has no further effect.
func (a *Agent) writeMembership(changes []member.Change, facts member.Inputs) (*member.Value, ident.Revision, error) {
	var last error
	for range maxWriteAttempts {
		value, revision, err := a.tryWriteMembership(changes, facts)
		if err == nil {
			return value, revision, nil
		}
		last = err
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			break
		}
	}
	return nil, 0, last
}

// tryWriteMembership makes one attempt of writeMembership by compare-and-swap.
func (a *Agent) tryWriteMembership(changes []member.Change, facts member.Inputs) (*member.Value, ident.Revision, error) {
	ctx, cancel := a.storeContext()
	defer cancel()
	entry, err := a.deps.Store.Get(ctx, member.Key)
	if err != nil {
		return nil, 0, errors.Wrap(err, "agent: read membership value")
	}
	value, err := member.Decode(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	next, changed := member.Apply(value, changes, facts)
	if !changed {
		return value, entry.Revision, nil
	}
	revision, err := a.deps.Store.Swap(ctx, member.Key, entry.Revision, next.Encode())
	if err != nil {
		return nil, 0, errors.Wrap(err, "agent: write membership value")
	}
	return next, revision, nil
}

// setVMList processes a new list of VMs from the platform.
func (a *Agent) setVMList(listed, leaving coll.Set[ident.VMID]) {
	a.listedVMs, a.leavingVMs = listed, leaving
	for vm := range a.membership.Listed {
		if listed.Has(vm) {
			delete(a.missingLists, vm)
			continue
		}
		a.missingLists[vm]++
	}
	a.upkeepNeeded = true
	a.noteEndedProcesses(time.Now())
}
