package member

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

const (
	// suspectersForDead is the number of members that have to suspect a process
	// for it to count as dead.
	suspectersForDead = 2
	// gossipPeriod is the time for which an entry is sent on after it changed.
	gossipPeriod = 5 * time.Second
	// maxSentEntries is the maximum number of entries in one message.
	maxSentEntries = 16
)

// GossipEntry is what members gossip about a process, in addition to the
// membership value. An entry with a higher Version replaces one with a lower. Of
// entries with the same Version the members in SuspectedBy are united.
type GossipEntry struct {
	Process     ident.Process `json:"process"`
	Version     uint64        `json:"life,omitempty"`
	SuspectedBy []ident.VMID  `json:"accusers,omitempty"`
	// Member describes a process that may not be in the membership value yet.
	Member *view.Member `json:"member,omitempty"`
}

// Gossip holds the merged gossip entries of all processes. It is not safe for
// concurrent use.
type Gossip struct {
	self    ident.Process
	version uint64
	entries map[ident.Process]*entryState
}

// entryState is an entry and the time of its last change.
type entryState struct {
	entry   GossipEntry
	changed time.Time
}

// NewGossip returns an empty Gossip for the process self.
func NewGossip(self ident.Process) *Gossip {
	return &Gossip{self: self, entries: map[ident.Process]*entryState{}}
}

// Suspect records that this process suspects p and reports whether the suspicion
// is new.
func (g *Gossip) Suspect(p ident.Process, now time.Time) bool {
	latest := uint64(0)
	if state, ok := g.entries[p]; ok {
		latest = state.entry.Version
	}
	return g.Merge(GossipEntry{Process: p, Version: latest, SuspectedBy: []ident.VMID{g.self.VM}}, now)
}

// WithdrawSuspicion clears all suspicions of p with a higher version, if this
// process suspects p. It is called when a message from p arrives, and reports
// whether this process did suspect p.
func (g *Gossip) WithdrawSuspicion(p ident.Process, now time.Time) bool {
	state, ok := g.entries[p]
	if !ok || !slices.Contains(state.entry.SuspectedBy, g.self.VM) {
		return false
	}
	state.entry = GossipEntry{Process: p, Version: state.entry.Version + 1, Member: state.entry.Member}
	state.changed = now
	return true
}

// Announce makes this process known to members whose membership value does not
// contain it.
func (g *Gossip) Announce(m view.Member, now time.Time) {
	g.entries[g.self] = &entryState{entry: GossipEntry{Process: g.self, Version: g.version, Member: &m}, changed: now}
}

// Merge merges a received entry and reports whether it changed anything. A
// suspicion of this process itself is refuted by a higher version.
func (g *Gossip) Merge(entry GossipEntry, now time.Time) bool {
	if entry.Process == g.self {
		return g.refute(entry, now)
	}
	state, ok := g.entries[entry.Process]
	if !ok {
		state = &entryState{entry: GossipEntry{Process: entry.Process}}
		g.entries[entry.Process] = state
	}
	merged := mergeEntries(state.entry, entry)
	if ok && equalEntries(merged, state.entry) {
		return false
	}
	state.entry, state.changed = merged, now
	return true
}

// Suspected returns the processes that at least one member suspects.
func (g *Gossip) Suspected() coll.Set[ident.Process] {
	suspected := coll.NewSet[ident.Process]()
	for p, state := range g.entries {
		if len(state.entry.SuspectedBy) > 0 {
			suspected.Add(p)
		}
	}
	return suspected
}

// Dead reports whether enough members of a fleet of the given size suspect p for
// it to count as dead: two, or fewer if there are no two other members.
func (g *Gossip) Dead(p ident.Process, size int) bool {
	state, ok := g.entries[p]
	return ok && len(state.entry.SuspectedBy) >= max(1, min(suspectersForDead, size-1))
}

// SuspectedByOthers reports whether a VM other than this one suspects p.
func (g *Gossip) SuspectedByOthers(p ident.Process) bool {
	state, ok := g.entries[p]
	return ok && slices.ContainsFunc(state.entry.SuspectedBy, func(vm ident.VMID) bool { return vm != g.self.VM })
}

// Announced returns the announced members that nobody suspects.
func (g *Gossip) Announced() []view.Member {
	var members []view.Member
	for _, state := range g.entries {
		if state.entry.Member != nil && len(state.entry.SuspectedBy) == 0 {
			members = append(members, *state.entry.Member)
		}
	}
	return members
}

// Recent returns the entries to send on, the last changed ones first.
func (g *Gossip) Recent(now time.Time) []GossipEntry {
	var recent []*entryState
	for _, state := range g.entries {
		if now.Sub(state.changed) < gossipPeriod {
			recent = append(recent, state)
		}
	}
	slices.SortFunc(recent, func(a, b *entryState) int { return b.changed.Compare(a.changed) })
	toSend := make([]GossipEntry, 0, min(len(recent), maxSentEntries))
	for _, state := range recent[:min(len(recent), maxSentEntries)] {
		toSend = append(toSend, state.entry)
	}
	return toSend
}

// All returns all entries, for the state page.
func (g *Gossip) All() []GossipEntry {
	var all []GossipEntry
	for _, state := range g.entries {
		all = append(all, state.entry)
	}
	return all
}

// Entry returns the entry of p, if there is one.
func (g *Gossip) Entry(p ident.Process) (GossipEntry, bool) {
	state, ok := g.entries[p]
	if !ok {
		return GossipEntry{}, false
	}
	return state.entry, true
}

// Forget drops the entries that have not changed for the retention and whose
// process is not needed.
func (g *Gossip) Forget(needed func(ident.Process) bool, retention time.Duration, now time.Time) {
	maps.DeleteFunc(g.entries, func(p ident.Process, state *entryState) bool {
		return now.Sub(state.changed) > retention && !needed(p)
	})
}

func (g *Gossip) refute(entry GossipEntry, now time.Time) bool {
	if len(entry.SuspectedBy) == 0 || entry.Version < g.version {
		g.version = max(g.version, entry.Version)
		return false
	}
	g.version = entry.Version + 1
	own := GossipEntry{Process: g.self, Version: g.version}
	if state, ok := g.entries[g.self]; ok {
		own.Member = state.entry.Member
	}
	g.entries[g.self] = &entryState{entry: own, changed: now}
	return true
}

func mergeEntries(a, b GossipEntry) GossipEntry {
	merged := a
	switch {
	case b.Version > a.Version:
		merged.Version, merged.SuspectedBy = b.Version, b.SuspectedBy
	case b.Version == a.Version:
		suspecters := coll.NewSet(a.SuspectedBy...)
		for _, vm := range b.SuspectedBy {
			suspecters.Add(vm)
		}
		merged.SuspectedBy = coll.Sorted(suspecters)
	}
	if b.Member != nil {
		merged.Member = b.Member
	}
	return merged
}

func equalEntries(a, b GossipEntry) bool {
	sameMember := a.Member == b.Member || a.Member != nil && b.Member != nil && *a.Member == *b.Member
	return a.Version == b.Version && slices.Equal(a.SuspectedBy, b.SuspectedBy) && sameMember
}
