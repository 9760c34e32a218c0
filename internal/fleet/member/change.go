package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// targetVoters is the number of voters of a group, unless the fleet has fewer
// members.
const targetVoters = 3

// Kind is the kind of a change.
type Kind string

const (
	// Join adds a member, or changes its addresses.
	Join Kind = "join"
	// Leave marks a member as leaving.
	Leave Kind = "leave"
	// Remove removes a member after it left or failed.
	Remove Kind = "remove"
	// DropPrev drops the previous voters of a group.
	DropPrev Kind = "settle"
)

// Change is one change of the membership value. Changes are idempotent. Join,
// Leave and Remove use Member, DropPrev uses Group and the Epoch of its voters.
type Change struct {
	Kind   Kind          `json:"kind"`
	Member view.Member   `json:"member,omitzero"`
	Group  ident.GroupID `json:"group,omitempty"`
	Epoch  uint64        `json:"epoch,omitempty"`
}

// Inputs are the inputs of Apply beside the changes.
type Inputs struct {
	// Groups lists the groups of the configuration.
	Groups []ident.GroupID
	// Listed holds the VMs on the platform's VM list.
	Listed coll.Set[ident.VMID]
	// Forming is set in a fleet that has just started, while more members are
	// expected to join. New groups get no voters until it is false.
	Forming bool
}

// Apply applies the changes, updates the voters of the groups and returns the new
// value and whether it differs from v. It does not modify v.
func Apply(v *Value, changes []Change, inputs Inputs) (*Value, bool) {
	next := v.Clone()
	next.Epoch++
	changed := false
	for _, c := range changes {
		changed = next.apply(c) || changed
	}
	changed = next.updateListed(inputs.Listed) || changed
	changed = next.updateVoters(inputs) || changed
	if !changed {
		return v, false
	}
	return next, true
}

func (v *Value) apply(c Change) bool {
	switch c.Kind {
	case Join:
		return v.join(c.Member)
	case Leave:
		return v.leave(c.Member.Process)
	case Remove:
		return v.remove(c.Member.Process)
	case DropPrev:
		return v.settle(c.Group, c.Epoch)
	default:
		return false
	}
}

func (v *Value) join(m view.Member) bool {
	known, ok := v.Members[m.Process.VM]
	if ok && (known.Member == m || known.Member.Process.Incarnation > m.Process.Incarnation) {
		return false
	}
	joined := v.Epoch
	if ok && known.Member.Process == m.Process {
		joined = known.Joined
	}
	v.Members[m.Process.VM] = Record{Member: m, Joined: joined}
	return true
}

func (v *Value) leave(p ident.Process) bool {
	r, ok := v.Members[p.VM]
	if !ok || r.Member.Process != p || r.Member.Leaving {
		return false
	}
	r.Member.Leaving = true
	v.Members[p.VM] = r
	return true
}

func (v *Value) remove(p ident.Process) bool {
	if !v.Has(p) {
		return false
	}
	delete(v.Members, p.VM)
	return true
}

func (v *Value) settle(group ident.GroupID, epoch uint64) bool {
	e := v.Groups[group]
	if e.Epoch != epoch || len(e.Prev) == 0 {
		return false
	}
	v.Groups[group] = lease.VoterConfig{Epoch: epoch + 1, Voters: e.Voters}
	return true
}

// updateListed adds the members that appear in the platform's list to v.Listed, and
// removes VMs that are neither members nor voters. It reports whether v changed.
func (v *Value) updateListed(listed coll.Set[ident.VMID]) bool {
	changed := false
	for vm := range v.Members {
		if listed.Has(vm) && !v.Listed.Has(vm) {
			v.Listed.Add(vm)
			changed = true
		}
	}
	inUse := v.referenced()
	for vm := range v.Listed {
		if !inUse.Has(vm) {
			v.Listed.Remove(vm)
			changed = true
		}
	}
	return changed
}

func (v *Value) referenced() coll.Set[ident.VMID] {
	inUse := coll.NewSet(slices.Collect(maps.Keys(v.Members))...)
	for _, e := range v.Groups {
		for _, p := range e.All() {
			inUse.Add(p.VM)
		}
	}
	return inUse
}

// updateVoters chooses the voters of new groups and replaces voters that are no
// longer members or are leaving. The voters of a group change only after its
// previous voters have been dropped. Groups that are no longer configured stay in
// the value, so that their epochs don't restart if they return.
func (v *Value) updateVoters(inputs Inputs) bool {
	members := v.List()
	if len(members) == 0 {
		return false
	}
	changed := false
	for _, group := range inputs.Groups {
		e, known := v.Groups[group]
		if len(e.Prev) > 0 || !known && inputs.Forming {
			continue
		}
		voters := place.Voters(members, group, v.retainedVoters(e.Voters, members)...)
		if !sameProcesses(voters, e.Voters) {
			v.Groups[group] = lease.VoterConfig{Epoch: e.Epoch + 1, Voters: voters, Prev: e.Voters}
			changed = true
		}
	}
	return changed
}

// retainedVoters returns the voters that may stay: those that are members, and of
// one zone no more than an even spread over the zones allows.
func (v *Value) retainedVoters(voters []ident.Process, members []view.Member) []ident.Process {
	zones := coll.NewSet[ident.Zone]()
	for _, m := range members {
		if !m.Leaving {
			zones.Add(m.Zone)
		}
	}
	limit := (targetVoters + len(zones) - 1) / max(len(zones), 1)
	count := map[ident.Zone]int{}
	var kept []ident.Process
	for _, p := range voters {
		zone := v.Members[p.VM].Member.Zone
		if v.Has(p) && count[zone] < limit {
			count[zone]++
			kept = append(kept, p)
		}
	}
	return kept
}

// Registrar returns the member that writes the changes of all members: the first
// to have joined of those that are alive, leaving members last. It returns false
// if none is alive.
func Registrar(v *Value, alive func(view.Member) bool) (view.Member, bool) {
	var best Record
	found := false
	for _, r := range v.Members {
		if !alive(r.Member) {
			continue
		}
		if !found || compareRecords(r, best) < 0 {
			best, found = r, true
		}
	}
	return best.Member, found
}

// LastJoined returns the member that joined last; leaving members count as later
// than all others. A starting process sends its changes to it if the registrar
// does not answer.
func LastJoined(v *Value) (view.Member, bool) {
	var best Record
	found := false
	for _, r := range v.Members {
		if !found || compareRecords(r, best) > 0 {
			best, found = r, true
		}
	}
	return best.Member, found
}

func compareRecords(a, b Record) int {
	return cmp.Or(
		compareLeaving(a.Member, b.Member),
		cmp.Compare(a.Joined, b.Joined),
		cmp.Compare(a.Member.Process.VM, b.Member.Process.VM),
	)
}

func compareLeaving(a, b view.Member) int {
	switch {
	case a.Leaving == b.Leaving:
		return 0
	case b.Leaving:
		return -1
	default:
		return 1
	}
}

// Ended returns the members and voters that have ended for good: a newer
// incarnation of their VM is a member, or their VM has disappeared from the
// platform's list. listed is nil while the list is unknown.
func Ended(v *Value, listed coll.Set[ident.VMID]) coll.Set[ident.Process] {
	ended := coll.NewSet[ident.Process]()
	check := func(p ident.Process) {
		newer := v.Members[p.VM].Member.Process.Incarnation > p.Incarnation
		dropped := listed != nil && v.Listed.Has(p.VM) && !listed.Has(p.VM)
		if newer || dropped {
			ended.Add(p)
		}
	}
	for _, r := range v.Members {
		check(r.Member.Process)
	}
	for _, e := range v.Groups {
		for _, p := range e.All() {
			check(p)
		}
	}
	return ended
}

func sameProcesses(a, b []ident.Process) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(p ident.Process) bool { return !slices.Contains(b, p) })
}
