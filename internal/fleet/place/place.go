// Package place computes which backend servers form a group, which VM should own
// a group, which processes vote on its lease, and which VMs monitor a VM. All
// functions are pure and deterministic: every VM with the same members and groups
// computes the same result.
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	voterCount   = 3
	monitorCount = 3

	// The salts make the hashes for voters and monitors independent of those for
	// owners.
	voterSalt   = 0x9e3779b97f4a7c15
	monitorSalt = 0xd1b54a32d192ed03
)

// Voters returns the processes that vote on the lease of a group: 3, or all members
// of a smaller fleet, spread over as many zones as possible. Leaving members are
// chosen only if there are not enough others. Processes in keep stay voters if they
// are members that are not leaving.
func Voters(members []view.Member, group ident.GroupID, keep ...ident.Process) []ident.Process {
	ranked := rankVoters(members, group, keep)
	zones := map[ident.Zone]int{}
	var voters []ident.Process
	for len(voters) < voterCount && len(ranked) > 0 {
		i := nextVoter(ranked, zones)
		voters = append(voters, ranked[i].member.Process)
		zones[ranked[i].member.Zone]++
		ranked = slices.Delete(ranked, i, i+1)
	}
	return voters
}

// rankedMember is a member with the criteria that order the candidates for voters.
type rankedMember struct {
	member view.Member
	kept   bool
	score  uint64
}

func rankVoters(members []view.Member, group ident.GroupID, keep []ident.Process) []rankedMember {
	groupHash := xxhash.Sum64String(string(group)) ^ voterSalt
	ranked := make([]rankedMember, len(members))
	for i, m := range members {
		ranked[i] = rankedMember{
			member: m,
			kept:   slices.Contains(keep, m.Process) && !m.Leaving,
			score:  mix(groupHash, xxhash.Sum64String(string(m.Process.VM))),
		}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(
			coll.CompareBools(b.kept, a.kept),
			coll.CompareBools(a.member.Leaving, b.member.Leaving),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.member.Process.VM, b.member.Process.VM),
		)
	})
	return ranked
}

// nextVoter returns the index of the first candidate in the zone with the fewest
// chosen voters. Kept voters come first, whatever their zone.
func nextVoter(ranked []rankedMember, zones map[ident.Zone]int) int {
	if ranked[0].kept {
		return 0
	}
	best := 0
	for i, r := range ranked {
		if r.member.Leaving != ranked[best].member.Leaving {
			break
		}
		if zones[r.member.Zone] < zones[ranked[best].member.Zone] {
			best = i
		}
	}
	return best
}

// Monitors returns the members that monitor self: its 3 successors on the hash
// ring of VM names, or all others in a smaller fleet.
func Monitors(members []view.Member, self ident.VMID) []view.Member {
	ring := membersAfter(members, self)
	return ring[:min(monitorCount, len(ring))]
}

// Monitored returns the members that self monitors: its 3 predecessors on the hash
// ring.
func Monitored(members []view.Member, self ident.VMID) []view.Member {
	ring := membersAfter(members, self)
	return ring[max(0, len(ring)-monitorCount):]
}

// membersAfter returns all members but self in the order of the hash ring, starting
// after self.
func membersAfter(members []view.Member, self ident.VMID) []view.Member {
	type point struct {
		distance uint64
		member   view.Member
	}
	origin := ringPosition(self)
	points := make([]point, 0, len(members))
	for _, m := range members {
		if m.Process.VM != self {
			points = append(points, point{ringPosition(m.Process.VM) - origin, m})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(a.member.Process.VM, b.member.Process.VM),
		)
	})
	ring := make([]view.Member, len(points))
	for i, p := range points {
		ring[i] = p.member
	}
	return ring
}

func ringPosition(vm ident.VMID) uint64 {
	return mix(xxhash.Sum64String(string(vm)), monitorSalt)
}

// mix combines two hashes with the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
