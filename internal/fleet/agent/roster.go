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

// gossipRetention is the time for which unchanged gossip entries about processes that are
// not members are kept.
const gossipRetention = time.Minute

// roster is the state derived from the membership value, the gossip and the
// configuration: the live members, the monitors and the preferred owners. It is
// rebuilt when one of its sources changes.
type roster struct {
	// members holds the live processes, sorted by VM; byVM indexes them. A
	// process is taken for live unless enough members accuse it.
	members []view.Member
	byVM    map[ident.VMID]view.Member
	// monitors are the members that watch this process for failures.
	monitors []view.Member
	// listedMonitors are the monitors chosen from all members in the membership
	// value, live or not. A process that hears none of them must not assume
	// that it is the only one left.
	listedMonitors []view.Member
	// candidates are the members that may own groups.
	candidates []view.Member
	groups     []view.Group
	// plan holds the preferred owner of each group.
	plan map[ident.GroupID]ident.VMID
	// replannedSince holds, for groups held by this process, the time since
	// which the plan has preferred another owner.
	replannedSince map[ident.GroupID]time.Time
	// fleetSize is the number of members by which majorities of accusers are
	// counted.
	fleetSize int
}

// isAlive reports whether the process is a live member.
func (r *roster) isAlive(p ident.Process) bool {
	return r.byVM[p.VM].Process == p
}

// rebuildRoster recomputes the roster and what depends on it.
func (a *Agent) rebuildRoster(now time.Time) {
	old := a.roster
	r := roster{byVM: a.aliveMembers(), replannedSince: map[ident.GroupID]time.Time{}}
	r.fleetSize = max(len(a.membership.Members), len(r.byVM))
	for _, vm := range sortedKeys(r.byVM) {
		r.members = append(r.members, r.byVM[vm])
	}
	accused := a.gossip.Suspected()
	trusted := slices.DeleteFunc(slices.Clone(r.members), func(m view.Member) bool {
		return accused.Has(m.Process) && m.Process != a.self.Process
	})
	r.monitors = place.Monitors(trusted, a.self.Process.VM)
	r.listedMonitors = place.Monitors(a.membership.List(), a.self.Process.VM)
	r.candidates, r.groups = place.Candidates(r.members, a.config), a.groupList
	r.plan = a.plan(r)
	a.roster = r
	a.updateDetector(trusted, accused, now)
	a.routeToFormerOwners(old, now)
	for group, l := range a.leases {
		if since, ok := old.replannedSince[group]; ok && l.holding != nil && r.plan[group] != a.self.Process.VM {
			r.replannedSince[group] = since
		}
	}
	a.viewDirty = true
}

// plan returns the preferred owners. It reuses the previous plan if neither the
// candidates nor the groups changed.
func (a *Agent) plan(r roster) map[ident.GroupID]ident.VMID {
	old := a.roster
	sameGroups := len(r.groups) == len(old.groups) && (len(r.groups) == 0 || &r.groups[0] == &old.groups[0])
	if sameGroups && slices.Equal(r.candidates, old.candidates) && old.plan != nil {
		return old.plan
	}
	return place.Plan(r.candidates, r.groups)
}

// aliveMembers returns the members of the membership value and the announced
// processes without the dead ones. This process itself is always included.
func (a *Agent) aliveMembers() map[ident.VMID]view.Member {
	byVM := map[ident.VMID]view.Member{}
	for vm, r := range a.membership.Members {
		byVM[vm] = r.Member
	}
	size := max(len(byVM), 1)
	for _, m := range a.gossip.Announced() {
		known, ok := byVM[m.Process.VM]
		if a.formerMembers.Has(m.Process) || ok && known.Process.Incarnation > m.Process.Incarnation {
			continue
		}
		m.Leaving = m.Leaving || known.Process == m.Process && known.Leaving
		byVM[m.Process.VM] = m
	}
	for vm, m := range byVM {
		if a.gossip.Dead(m.Process, size) {
			delete(byVM, vm)
		}
	}
	byVM[a.self.Process.VM] = a.self
	return byVM
}

// updateDetector sets the members that the failure detector watches: the trusted
// members that this process monitors, and all accused members.
func (a *Agent) updateDetector(trusted []view.Member, accused coll.Set[ident.Process], now time.Time) {
	watched := place.Monitored(trusted, a.self.Process.VM)
	if !a.joined {
		watched = nil
	}
	for p := range accused {
		if r, ok := a.membership.Members[p.VM]; ok && r.Member.Process == p && p != a.self.Process && a.joined {
			watched = append(watched, r.Member)
		}
	}
	a.detector.Watch(watched, now)
}

// setMembership adopts a membership value if its epoch is newer.
func (a *Agent) setMembership(v *member.Value, revision ident.Revision) {
	if v.Epoch <= a.membership.Epoch {
		return
	}
	a.recordMemberChanges(a.membership, v)
	a.membership, a.membershipRevision = v, max(a.membershipRevision, revision)
	a.self.Leaving = a.self.Leaving || v.Has(a.self.Process) && v.Members[a.self.Process.VM].Member.Leaving
	for _, r := range v.Members {
		a.formerMembers.Remove(r.Member.Process)
		a.noteIncarnation(r.Member.Process)
		a.peer(r.Member.Process).addr = r.Member.Control
	}
	now := time.Now()
	for group, e := range v.Groups {
		a.voter.SetEpoch(group, e.Epoch)
		if l, ok := a.leases[group]; ok {
			l.holder.SetVoterConfig(e, now)
		}
	}
	a.noteEndedProcesses(now)
	if v.Has(a.self.Process) {
		a.joined = true
	}
	a.upkeepNeeded = true
	a.rebuildRoster(now)
	a.acquirePreferred(now)
}

// recordMemberChanges records the members that joined, are leaving or were removed.
func (a *Agent) recordMemberChanges(before, after *member.Value) {
	for vm, r := range after.Members {
		if old, ok := before.Members[vm]; !ok || old.Member.Process != r.Member.Process {
			a.record("member_joined", r.Member.Process.String(), "listed in the membership value")
		} else if r.Member.Leaving && !old.Member.Leaving {
			a.record("member_leaving", r.Member.Process.String(), "marked in the membership value")
		}
	}
	for vm, r := range before.Members {
		if after.Members[vm].Member.Process != r.Member.Process {
			a.formerMembers.Add(r.Member.Process)
		}
		if _, ok := after.Members[vm]; !ok {
			a.record("member_removed", r.Member.Process.String(), "dropped from the membership value")
		}
	}
}

// noteIncarnation updates the newest known incarnation of a VM.
func (a *Agent) noteIncarnation(p ident.Process) {
	if p.Incarnation > a.newestIncarnation[p.VM] {
		a.newestIncarnation[p.VM] = p.Incarnation
	}
}

// noteEndedProcesses records voters that have ended for good, and passes them to
// all lease holders, which stop counting them as voters one lease length later.
func (a *Agent) noteEndedProcesses(now time.Time) {
	ended := member.Ended(a.membership, nil)
	for _, e := range a.membership.Groups {
		for _, p := range e.All() {
			dropped := a.missingLists[p.VM] >= listsUntilDropped && a.membership.Listed.Has(p.VM)
			if a.newestIncarnation[p.VM] > p.Incarnation || dropped {
				ended.Add(p)
			}
		}
	}
	for p := range ended {
		if _, known := a.endedSince[p]; known || p == a.self.Process {
			continue
		}
		a.endedSince[p] = now
		a.record("process_gone", p.String(), "replaced by a newer process or dropped from the VM list")
	}
	for _, l := range a.leases {
		for p, at := range a.endedSince {
			l.holder.MarkEnded(p, at)
		}
	}
}

// forgetGossip drops old gossip entries about processes that are not members.
func (a *Agent) forgetGossip(now time.Time) {
	a.gossip.Forget(func(p ident.Process) bool {
		return a.membership.Has(p) || p == a.self.Process
	}, gossipRetention, now)
}
