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

// voterTarget is the number of voters of a group in a fleet that has as many
// members.
const voterTarget = 3

// Kind says what a change does.
type Kind string

const (
	// Join adds a member, or changes its addresses.
	Join Kind = "join"
	// Leave marks a member as leaving.
	Leave Kind = "leave"
	// Remove takes a process off the members, after its departure or failure.
	Remove Kind = "remove"
	// DropPrev drops the previous voters of a group.
	DropPrev Kind = "settle"
)

// Change is one change of the membership value. Applying it twice does what
// applying it once does.
type Change struct {
	Kind   Kind          `json:"kind"`
	Member view.Member   `json:"member,omitzero"`
	Group  ident.GroupID `json:"group,omitempty"`
	Epoch  uint64        `json:"epoch,omitempty"`
}

// Inputs are what a registrar knows beside the changes.
type Inputs struct {
	// Groups lists the groups of the configuration.
	Groups []ident.GroupID
	// Listed holds the VMs on the platform's list.
	Listed coll.Set[ident.VMID]
	// Forming is set while more members are expected to join at once. New
	// groups get their voters afterwards.
	Forming bool
}

// Apply returns the value after the changes and the upkeep of voters, and
// whether it differs from v. v stays as it is.
func Apply(v *Value, changes []Change, facts Inputs) (*Value, bool) {
	next := v.Clone()
	next.Epoch++
	changed := false
	for _, c := range changes {
		changed = next.apply(c) || changed
	}
	changed = next.noteListed(facts.Listed) || changed
	changed = next.maintain(facts) || changed
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

// noteListed notes members that the platform's list shows, and forgets VMs
// that nothing refers to any more.
func (v *Value) noteListed(listed coll.Set[ident.VMID]) bool {
	changed := false
	for vm := range v.Members {
		if listed.Has(vm) && !v.Listed.Has(vm) {
			v.Listed.Add(vm)
			changed = true
		}
	}
	used := v.referenced()
	for vm := range v.Listed {
		if !used.Has(vm) {
			v.Listed.Remove(vm)
			changed = true
		}
	}
	return changed
}

func (v *Value) referenced() coll.Set[ident.VMID] {
	used := coll.NewSet(slices.Collect(maps.Keys(v.Members))...)
	for _, e := range v.Groups {
		for _, p := range e.All() {
			used.Add(p.VM)
		}
	}
	return used
}

// maintain gives new groups their voters and replaces voters that are no
// longer members or are leaving. Lists change only while no previous list is
// left. Entries of former groups stay: their epochs must not start again if the
// group returns.
func (v *Value) maintain(facts Inputs) bool {
	members := v.List()
	if len(members) == 0 {
		return false
	}
	changed := false
	for _, group := range facts.Groups {
		e, known := v.Groups[group]
		if len(e.Prev) > 0 || !known && facts.Forming {
			continue
		}
		voters := place.Voters(members, group, v.keep(e.Voters, members)...)
		if !sameProcesses(voters, e.Voters) {
			v.Groups[group] = lease.VoterConfig{Epoch: e.Epoch + 1, Voters: voters, Prev: e.Voters}
			changed = true
		}
	}
	return changed
}

// keep returns the voters that may stay: members that are not leaving, and of
// one zone no more than an even spread allows.
func (v *Value) keep(voters []ident.Process, members []view.Member) []ident.Process {
	zones := coll.NewSet[ident.Zone]()
	for _, m := range members {
		if !m.Leaving {
			zones.Add(m.Zone)
		}
	}
	limit := (voterTarget + len(zones) - 1) / max(len(zones), 1)
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

// Registrar returns the member that writes changes for all: the one that
// joined first among those that are believed alive.
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

// LastJoined returns the member that joined last. A process that starts asks it if
// the registrar does not answer.
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

// Ended returns the processes that the value refers to and that have ended for
// good: a newer incarnation of their VM is a member, or the platform's list no
// longer shows a VM that it has shown. listed is nil while the list is unknown.
func Ended(v *Value, listed coll.Set[ident.VMID]) coll.Set[ident.Process] {
	ended := coll.NewSet[ident.Process]()
	consider := func(p ident.Process) {
		newer := v.Members[p.VM].Member.Process.Incarnation > p.Incarnation
		dropped := listed != nil && v.Listed.Has(p.VM) && !listed.Has(p.VM)
		if newer || dropped {
			ended.Add(p)
		}
	}
	for _, r := range v.Members {
		consider(r.Member.Process)
	}
	for _, e := range v.Groups {
		for _, p := range e.All() {
			consider(p)
		}
	}
	return ended
}

func sameProcesses(a, b []ident.Process) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(p ident.Process) bool { return !slices.Contains(b, p) })
}
