package agent

import (
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// rumorRetention is the time for which rumors about former members are kept.
const rumorRetention = time.Minute

// roster is what follows from the membership value, the rumors and the
// configuration. It is rebuilt when one of them changes.
type roster struct {
	// members holds the processes believed alive, in the order of their names.
	members []view.Member
	byVM    map[ident.VMID]view.Member
	// monitors watch this process.
	monitors []view.Member
	// lastMonitors are the monitors among all members of the value, whether
	// they are believed alive or not. A process that hears none of them must
	// not take itself for the only one left.
	lastMonitors []view.Member
	candidates   []view.Member
	groups       []view.Group
	plan         map[ident.GroupID]ident.VMID
	// planned notes since when the plan names another owner for a held group.
	planned map[ident.GroupID]time.Time
	size    int
}

// has reports whether the process is believed alive.
func (r *roster) has(p ident.Process) bool {
	return r.byVM[p.VM].Process == p
}

// rebuild computes the roster anew.
func (a *Agent) rebuild(now time.Time) {
	old := a.roster
	r := roster{byVM: a.believed(), planned: map[ident.GroupID]time.Time{}}
	r.size = max(len(a.value.Members), len(r.byVM))
	for _, vm := range sortedKeys(r.byVM) {
		r.members = append(r.members, r.byVM[vm])
	}
	accused := a.rumors.Suspected()
	trusted := slices.DeleteFunc(slices.Clone(r.members), func(m view.Member) bool {
		return accused.Has(m.Process) && m.Process != a.self.Process
	})
	r.monitors = place.Monitors(trusted, a.self.Process.VM)
	r.lastMonitors = place.Monitors(a.value.List(), a.self.Process.VM)
	r.candidates, r.groups = place.Candidates(r.members, a.config), a.ordered
	r.plan = a.plan(r)
	a.roster = r
	a.watchMembers(trusted, accused, now)
	a.keepRoutes(old, now)
	for group, t := range a.tenures {
		if since, ok := old.planned[group]; ok && t.holding != nil && r.plan[group] != a.self.Process.VM {
			r.planned[group] = since
		}
	}
	a.dirty = true
}

// plan returns the preferred owners, which change only with the candidates and
// the groups.
func (a *Agent) plan(r roster) map[ident.GroupID]ident.VMID {
	old := a.roster
	sameGroups := len(r.groups) == len(old.groups) && (len(r.groups) == 0 || &r.groups[0] == &old.groups[0])
	if sameGroups && slices.Equal(r.candidates, old.candidates) && old.plan != nil {
		return old.plan
	}
	return place.Plan(r.candidates, r.groups)
}

// believed returns the members of the value and the announced processes,
// without those believed dead.
func (a *Agent) believed() map[ident.VMID]view.Member {
	byVM := map[ident.VMID]view.Member{}
	for vm, r := range a.value.Members {
		byVM[vm] = r.Member
	}
	size := max(len(byVM), 1)
	for _, m := range a.rumors.Announced() {
		known, ok := byVM[m.Process.VM]
		if a.departed.Has(m.Process) || ok && known.Process.Incarnation > m.Process.Incarnation {
			continue
		}
		m.Leaving = m.Leaving || known.Process == m.Process && known.Leaving
		byVM[m.Process.VM] = m
	}
	for vm, m := range byVM {
		if a.rumors.Dead(m.Process, size) {
			delete(byVM, vm)
		}
	}
	byVM[a.self.Process.VM] = a.self
	return byVM
}

// watchMembers tells the detector whom to watch: the trusted members that this
// process monitors, and those that are accused.
func (a *Agent) watchMembers(trusted []view.Member, accused coll.Set[ident.Process], now time.Time) {
	watched := place.Monitored(trusted, a.self.Process.VM)
	if !a.joined {
		watched = nil
	}
	for p := range accused {
		if r, ok := a.value.Members[p.VM]; ok && r.Member.Process == p && p != a.self.Process && a.joined {
			watched = append(watched, r.Member)
		}
	}
	a.detector.Watch(watched, now)
}

// setValue adopts a membership value unless it is older.
func (a *Agent) setValue(v *member.Value, revision ident.Revision) {
	if v.Epoch <= a.value.Epoch {
		return
	}
	a.recordChanges(a.value, v)
	a.value, a.revision = v, max(a.revision, revision)
	a.self.Leaving = a.self.Leaving || v.Has(a.self.Process) && v.Members[a.self.Process.VM].Member.Leaving
	for _, r := range v.Members {
		a.departed.Remove(r.Member.Process)
		a.noteProcess(r.Member.Process)
		a.peer(r.Member.Process).addr = r.Member.Control
	}
	now := time.Now()
	for group, e := range v.Groups {
		a.voter.SetEpoch(group, e.Epoch)
		if t, ok := a.tenures[group]; ok {
			t.holder.SetVoterConfig(e, now)
		}
	}
	a.noteGone(now)
	if v.Has(a.self.Process) {
		a.joined = true
	}
	a.upkeep = true
	a.rebuild(now)
	a.contend(now)
}

func (a *Agent) recordChanges(before, after *member.Value) {
	for vm, r := range after.Members {
		if old, ok := before.Members[vm]; !ok || old.Member.Process != r.Member.Process {
			a.record("member_joined", r.Member.Process.String(), "listed in the membership value")
		} else if r.Member.Leaving && !old.Member.Leaving {
			a.record("member_leaving", r.Member.Process.String(), "marked in the membership value")
		}
	}
	for vm, r := range before.Members {
		if after.Members[vm].Member.Process != r.Member.Process {
			a.departed.Add(r.Member.Process)
		}
		if _, ok := after.Members[vm]; !ok {
			a.record("member_removed", r.Member.Process.String(), "dropped from the membership value")
		}
	}
}

// noteProcess notes the newest incarnation of a VM.
func (a *Agent) noteProcess(p ident.Process) {
	if p.Incarnation > a.newest[p.VM] {
		a.newest[p.VM] = p.Incarnation
	}
}

// noteGone tells the holders which voters have ended for good.
func (a *Agent) noteGone(now time.Time) {
	ended := member.Ended(a.value, nil)
	for _, e := range a.value.Groups {
		for _, p := range e.All() {
			dropped := a.missing[p.VM] >= missesToDrop && a.value.Listed.Has(p.VM)
			if a.newest[p.VM] > p.Incarnation || dropped {
				ended.Add(p)
			}
		}
	}
	for p := range ended {
		if _, known := a.gone[p]; known || p == a.self.Process {
			continue
		}
		a.gone[p] = now
		a.record("process_gone", p.String(), "replaced by a newer process or dropped from the VM list")
	}
	for _, t := range a.tenures {
		for p, at := range a.gone {
			t.holder.MarkEnded(p, at)
		}
	}
}

func (a *Agent) forgetRumors(now time.Time) {
	a.rumors.Forget(func(p ident.Process) bool {
		return a.value.Has(p) || p == a.self.Process
	}, rumorRetention, now)
}
