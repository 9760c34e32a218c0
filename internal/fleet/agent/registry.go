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
	swapAttempts = 4
	// formingFor is the time after its start for which a registrar expects more
	// members before it names voters, and formingSize the size of a fleet that
	// need not wait.
	formingFor  = 3 * time.Second
	formingSize = 3
)

// registrar returns the member that writes changes for all.
func (a *Agent) registrar() (view.Member, bool) {
	return member.Registrar(a.value, func(m view.Member) bool { return a.roster.has(m.Process) })
}

func (a *Agent) isRegistrar() bool {
	r, ok := a.registrar()
	return ok && r.Process == a.self.Process
}

// sendChange passes a change to the registrar.
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

// handleChange accepts changes of other processes for the next write. A process
// that is not a member itself, or whose last call of the key-value service
// failed, accepts none.
func (a *Agent) handleChange(r changeRequest) changeReply {
	if !a.value.Has(a.self.Process) || a.left || a.storeDown {
		return changeReply{}
	}
	now := time.Now()
	for _, c := range r.Changes {
		if c.Kind == member.Join {
			a.noteProcess(c.Member.Process)
		}
		a.batch.Add(c, now)
	}
	return changeReply{Accepted: true}
}

// removeDead lets the registrar remove members that are believed dead, and mark
// those that the platform is about to stop.
func (a *Agent) removeDead(now time.Time) {
	if !a.isRegistrar() {
		return
	}
	for vm, r := range a.value.Members {
		p := r.Member.Process
		if !a.roster.has(p) && a.rumors.Dead(p, a.roster.size) {
			a.batch.Add(member.Change{Kind: member.Remove, Member: r.Member}, now)
		}
		if a.leavingVMs.Has(vm) && !r.Member.Leaving {
			a.batch.Add(member.Change{Kind: member.Leave, Member: r.Member}, now)
		}
	}
	if a.upkeep {
		a.upkeep = false
		if _, changed := member.Apply(a.value, nil, a.facts()); changed {
			a.batch.Add(member.Change{}, now)
		}
	}
}

func (a *Agent) facts() member.Inputs {
	groups := make([]ident.GroupID, len(a.ordered))
	for i, g := range a.ordered {
		groups[i] = g.ID
	}
	forming := len(a.value.Members) < formingSize && time.Since(a.started) < formingFor
	if forming {
		a.upkeep = true
	}
	return member.Inputs{Groups: groups, Listed: a.listed.Clone(), Forming: forming}
}

// writeChanges starts the write of the changes that are due.
func (a *Agent) writeChanges(now time.Time) {
	changes, due := a.batch.Take(now)
	if !due {
		return
	}
	facts := a.facts()
	a.calls.Go(func() {
		value, revision, err := a.swap(changes, facts)
		a.post(func() { a.written(value, revision, err) })
	})
}

func (a *Agent) written(value *member.Value, revision ident.Revision, err error) {
	now := time.Now()
	a.batch.Done(err == nil, now)
	if err != nil {
		a.deps.Logger.Warn("membership value not written", "error", err, "pending", len(a.batch.Pending()))
		a.storeDown = true
		a.passOn()
		return
	}
	a.heardStore(now)
	a.setValue(value, revision)
}

// passOn asks another member to write the pending changes, because the
// key-value service may be out of reach for this process only.
func (a *Agent) passOn() {
	changes := a.batch.Pending()
	for _, m := range a.randomMembers(1) {
		call(a, m.Control, methodChange, changeRequest{changes}, func(r changeReply, err error) {
			if err == nil && r.Accepted {
				a.batch.Drop(changes)
			}
		})
	}
}

// swap applies the changes to the value in the key-value service. After a
// conflict or an unknown outcome it reads the value back and applies them again,
// which changes nothing if they took effect.
func (a *Agent) swap(changes []member.Change, facts member.Inputs) (*member.Value, ident.Revision, error) {
	var last error
	for range swapAttempts {
		value, revision, err := a.swapOnce(changes, facts)
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

func (a *Agent) swapOnce(changes []member.Change, facts member.Inputs) (*member.Value, ident.Revision, error) {
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

// setListed takes the platform's list of VMs.
func (a *Agent) setListed(listed, leaving coll.Set[ident.VMID]) {
	a.listed, a.leavingVMs = listed, leaving
	for vm := range a.value.Listed {
		if listed.Has(vm) {
			delete(a.missing, vm)
			continue
		}
		a.missing[vm]++
	}
	a.upkeep = true
	a.noteGone(time.Now())
}
