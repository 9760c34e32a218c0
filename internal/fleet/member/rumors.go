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

// Rumor is what the fleet says about a process beside the membership value. A
// higher life overrides a lower one; within a life the accusers add up.
type Rumor struct {
	Process  ident.Process `json:"process"`
	Life     uint64        `json:"life,omitempty"`
	Accusers []ident.VMID  `json:"accusers,omitempty"`
	// Member announces a process that the membership value may not list yet.
	Member *view.Member `json:"member,omitempty"`
}

// Rumors merges what is heard about other processes.
type Rumors struct {
	self  ident.Process
	life  uint64
	known map[ident.Process]*heard
}

// heard is a rumor with the time of its last change.
type heard struct {
	rumor   Rumor
	changed time.Time
}

// NewRumors returns the rumors of a process that has heard nothing.
func NewRumors(self ident.Process) *Rumors {
	return &Rumors{self: self, known: map[ident.Process]*heard{}}
}

// Accuse notes that this process suspects p and reports whether that is new.
func (r *Rumors) Accuse(p ident.Process, now time.Time) bool {
	life := uint64(0)
	if h, ok := r.known[p]; ok {
		life = h.rumor.Life
	}
	return r.Merge(Rumor{Process: p, Life: life, Accusers: []ident.VMID{r.self.VM}}, now)
}

// Withdraw takes back this process's own suspicion of p, which it hears again.
// It reports whether there was one.
func (r *Rumors) Withdraw(p ident.Process, now time.Time) bool {
	h, ok := r.known[p]
	if !ok || !slices.Contains(h.rumor.Accusers, r.self.VM) {
		return false
	}
	h.rumor = Rumor{Process: p, Life: h.rumor.Life + 1, Member: h.rumor.Member}
	h.changed = now
	return true
}

// Announce makes this process known to those that do not find it in the
// membership value.
func (r *Rumors) Announce(m view.Member, now time.Time) {
	r.known[r.self] = &heard{rumor: Rumor{Process: r.self, Life: r.life, Member: &m}, changed: now}
}

// Merge takes a rumor and reports whether it changed anything. An accusation of
// this process itself is answered by a higher life.
func (r *Rumors) Merge(rumor Rumor, now time.Time) bool {
	if rumor.Process == r.self {
		return r.refute(rumor, now)
	}
	h, ok := r.known[rumor.Process]
	if !ok {
		h = &heard{rumor: Rumor{Process: rumor.Process}}
		r.known[rumor.Process] = h
	}
	merged := merge(h.rumor, rumor)
	if ok && equalRumors(merged, h.rumor) {
		return false
	}
	h.rumor, h.changed = merged, now
	return true
}

// Accused returns the processes that have any accuser.
func (r *Rumors) Accused() coll.Set[ident.Process] {
	accused := coll.NewSet[ident.Process]()
	for p, h := range r.known {
		if len(h.rumor.Accusers) > 0 {
			accused.Add(p)
		}
	}
	return accused
}

// Dead reports whether enough members of a fleet of the given size accuse p.
func (r *Rumors) Dead(p ident.Process, size int) bool {
	h, ok := r.known[p]
	return ok && len(h.rumor.Accusers) >= max(1, min(accuserTarget, size-1))
}

// AccusedByOthers reports whether another process than this one accuses p.
func (r *Rumors) AccusedByOthers(p ident.Process) bool {
	h, ok := r.known[p]
	return ok && slices.ContainsFunc(h.rumor.Accusers, func(vm ident.VMID) bool { return vm != r.self.VM })
}

// Announced returns the members that were announced and not accused.
func (r *Rumors) Announced() []view.Member {
	var members []view.Member
	for _, h := range r.known {
		if h.rumor.Member != nil && len(h.rumor.Accusers) == 0 {
			members = append(members, *h.rumor.Member)
		}
	}
	return members
}

// Recent returns the rumors to pass on, the newest first.
func (r *Rumors) Recent(now time.Time) []Rumor {
	var recent []*heard
	for _, h := range r.known {
		if now.Sub(h.changed) < rumorSpread {
			recent = append(recent, h)
		}
	}
	slices.SortFunc(recent, func(a, b *heard) int { return b.changed.Compare(a.changed) })
	rumors := make([]Rumor, 0, min(len(recent), rumorBatch))
	for _, h := range recent[:min(len(recent), rumorBatch)] {
		rumors = append(rumors, h.rumor)
	}
	return rumors
}

// All returns every rumor for a dump of the state.
func (r *Rumors) All() []Rumor {
	var all []Rumor
	for _, h := range r.known {
		all = append(all, h.rumor)
	}
	return all
}

// About returns what is said about p.
func (r *Rumors) About(p ident.Process) (Rumor, bool) {
	h, ok := r.known[p]
	if !ok {
		return Rumor{}, false
	}
	return h.rumor, true
}

// Forget drops rumors that have not changed for the retention and that keep
// reports as no longer needed.
func (r *Rumors) Forget(needed func(ident.Process) bool, retention time.Duration, now time.Time) {
	maps.DeleteFunc(r.known, func(p ident.Process, h *heard) bool {
		return now.Sub(h.changed) > retention && !needed(p)
	})
}

func (r *Rumors) refute(rumor Rumor, now time.Time) bool {
	if len(rumor.Accusers) == 0 || rumor.Life < r.life {
		r.life = max(r.life, rumor.Life)
		return false
	}
	r.life = rumor.Life + 1
	own := Rumor{Process: r.self, Life: r.life}
	if h, ok := r.known[r.self]; ok {
		own.Member = h.rumor.Member
	}
	r.known[r.self] = &heard{rumor: own, changed: now}
	return true
}

func merge(a, b Rumor) Rumor {
	merged := a
	switch {
	case b.Life > a.Life:
		merged.Life, merged.Accusers = b.Life, b.Accusers
	case b.Life == a.Life:
		accusers := coll.NewSet(a.Accusers...)
		for _, vm := range b.Accusers {
			accusers.Add(vm)
		}
		merged.Accusers = coll.Sorted(accusers)
	}
	if b.Member != nil {
		merged.Member = b.Member
	}
	return merged
}

func equalRumors(a, b Rumor) bool {
	sameMember := a.Member == b.Member || a.Member != nil && b.Member != nil && *a.Member == *b.Member
	return a.Life == b.Life && slices.Equal(a.Accusers, b.Accusers) && sameMember
}
