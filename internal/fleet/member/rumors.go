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
	// accuserTarget is the number of accusers that make a member believed dead.
	accuserTarget = 2
	// rumorSpread is the time for which a rumor is passed on after it changed.
	rumorSpread = 5 * time.Second
	// rumorBatch bounds the rumors in one message.
	rumorBatch = 16
)

// GossipEntry is what the fleet says about a process beside the membership value. A
// higher life overrides a lower one; within a life the accusers add up.
type GossipEntry struct {
	Process     ident.Process `json:"process"`
	Version     uint64        `json:"life,omitempty"`
	SuspectedBy []ident.VMID  `json:"accusers,omitempty"`
	// Member announces a process that the membership value may not list yet.
	Member *view.Member `json:"member,omitempty"`
}

// Gossip merges what is heard about other processes.
type Gossip struct {
	self  ident.Process
	life  uint64
	known map[ident.Process]*heard
}

// heard is a rumor with the time of its last change.
type heard struct {
	rumor   GossipEntry
	changed time.Time
}

// NewGossip returns the rumors of a process that has heard nothing.
func NewGossip(self ident.Process) *Gossip {
	return &Gossip{self: self, known: map[ident.Process]*heard{}}
}

// Suspect notes that this process suspects p and reports whether that is new.
func (r *Gossip) Suspect(p ident.Process, now time.Time) bool {
	life := uint64(0)
	if h, ok := r.known[p]; ok {
		life = h.rumor.Version
	}
	return r.Merge(GossipEntry{Process: p, Version: life, SuspectedBy: []ident.VMID{r.self.VM}}, now)
}

// WithdrawSuspicion takes back this process's own suspicion of p, which it hears again.
// It reports whether there was one.
func (r *Gossip) WithdrawSuspicion(p ident.Process, now time.Time) bool {
	h, ok := r.known[p]
	if !ok || !slices.Contains(h.rumor.SuspectedBy, r.self.VM) {
		return false
	}
	h.rumor = GossipEntry{Process: p, Version: h.rumor.Version + 1, Member: h.rumor.Member}
	h.changed = now
	return true
}

// Announce makes this process known to those that do not find it in the
// membership value.
func (r *Gossip) Announce(m view.Member, now time.Time) {
	r.known[r.self] = &heard{rumor: GossipEntry{Process: r.self, Version: r.life, Member: &m}, changed: now}
}

// Merge takes a rumor and reports whether it changed anything. An accusation of
// this process itself is answered by a higher life.
func (r *Gossip) Merge(rumor GossipEntry, now time.Time) bool {
	if rumor.Process == r.self {
		return r.refute(rumor, now)
	}
	h, ok := r.known[rumor.Process]
	if !ok {
		h = &heard{rumor: GossipEntry{Process: rumor.Process}}
		r.known[rumor.Process] = h
	}
	merged := merge(h.rumor, rumor)
	if ok && equalRumors(merged, h.rumor) {
		return false
	}
	h.rumor, h.changed = merged, now
	return true
}

// Suspected returns the processes that have any accuser.
func (r *Gossip) Suspected() coll.Set[ident.Process] {
	accused := coll.NewSet[ident.Process]()
	for p, h := range r.known {
		if len(h.rumor.SuspectedBy) > 0 {
			accused.Add(p)
		}
	}
	return accused
}

// Dead reports whether enough members of a fleet of the given size accuse p.
func (r *Gossip) Dead(p ident.Process, size int) bool {
	h, ok := r.known[p]
	return ok && len(h.rumor.SuspectedBy) >= max(1, min(accuserTarget, size-1))
}

// SuspectedByOthers reports whether another process than this one accuses p.
func (r *Gossip) SuspectedByOthers(p ident.Process) bool {
	h, ok := r.known[p]
	return ok && slices.ContainsFunc(h.rumor.SuspectedBy, func(vm ident.VMID) bool { return vm != r.self.VM })
}

// Announced returns the members that were announced and not accused.
func (r *Gossip) Announced() []view.Member {
	var members []view.Member
	for _, h := range r.known {
		if h.rumor.Member != nil && len(h.rumor.SuspectedBy) == 0 {
			members = append(members, *h.rumor.Member)
		}
	}
	return members
}

// Recent returns the rumors to pass on, the newest first.
func (r *Gossip) Recent(now time.Time) []GossipEntry {
	var recent []*heard
	for _, h := range r.known {
		if now.Sub(h.changed) < rumorSpread {
			recent = append(recent, h)
		}
	}
	slices.SortFunc(recent, func(a, b *heard) int { return b.changed.Compare(a.changed) })
	rumors := make([]GossipEntry, 0, min(len(recent), rumorBatch))
	for _, h := range recent[:min(len(recent), rumorBatch)] {
		rumors = append(rumors, h.rumor)
	}
	return rumors
}

// All returns every rumor for a dump of the state.
func (r *Gossip) All() []GossipEntry {
	var all []GossipEntry
	for _, h := range r.known {
		all = append(all, h.rumor)
	}
	return all
}

// Entry returns what is said about p.
func (r *Gossip) Entry(p ident.Process) (GossipEntry, bool) {
	h, ok := r.known[p]
	if !ok {
		return GossipEntry{}, false
	}
	return h.rumor, true
}

// Forget drops rumors that have not changed for the retention and that keep
// reports as no longer needed.
func (r *Gossip) Forget(needed func(ident.Process) bool, retention time.Duration, now time.Time) {
	maps.DeleteFunc(r.known, func(p ident.Process, h *heard) bool {
		return now.Sub(h.changed) > retention && !needed(p)
	})
}

func (r *Gossip) refute(rumor GossipEntry, now time.Time) bool {
	if len(rumor.SuspectedBy) == 0 || rumor.Version < r.life {
		r.life = max(r.life, rumor.Version)
		return false
	}
	r.life = rumor.Version + 1
	own := GossipEntry{Process: r.self, Version: r.life}
	if h, ok := r.known[r.self]; ok {
		own.Member = h.rumor.Member
	}
	r.known[r.self] = &heard{rumor: own, changed: now}
	return true
}

func merge(a, b GossipEntry) GossipEntry {
	merged := a
	switch {
	case b.Version > a.Version:
		merged.Version, merged.SuspectedBy = b.Version, b.SuspectedBy
	case b.Version == a.Version:
		accusers := coll.NewSet(a.SuspectedBy...)
		for _, vm := range b.SuspectedBy {
			accusers.Add(vm)
		}
		merged.SuspectedBy = coll.Sorted(accusers)
	}
	if b.Member != nil {
		merged.Member = b.Member
	}
	return merged
}

func equalRumors(a, b GossipEntry) bool {
	sameMember := a.Member == b.Member || a.Member != nil && b.Member != nil && *a.Member == *b.Member
	return a.Version == b.Version && slices.Equal(a.SuspectedBy, b.SuspectedBy) && sameMember
}
