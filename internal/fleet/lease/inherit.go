package lease

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// RecoverState merges what the voters kept of earlier holders. It is called once,
// after Check has returned Taken.
func (h *Holder) RecoverState(now time.Time) RecoveredState {
	in := RecoveredState{}
	latest := &StoredState{}
	legacies := h.current(now)
	for _, l := range legacies {
		if l.HandoverTerm > latest.HandoverTerm || l.HandoverTerm == latest.HandoverTerm && l.HandoverSeq > latest.HandoverSeq {
			latest = l
		}
		if l.EndedAgo > 0 && now.Add(-l.EndedAgo).After(in.PreviousUntil) {
			in.PreviousUntil = now.Add(-l.EndedAgo)
		}
		h.adopt(l, now)
	}
	if !h.complete(legacies) {
		h.since = now
	}
	in.HandoverState, in.Claims, in.CompleteSince = latest.HandoverState, h.Claims(), h.since
	return in
}

// adopt adds the claims of a legacy to the holder's own.
func (h *Holder) adopt(l *StoredState, now time.Time) {
	for key, record := range l.Claims {
		if _, known := h.claims[key]; !known {
			h.claims[key] = claim{record: record, at: now}
		}
	}
	if l.CompleteSince.After(h.since) {
		h.since = l.CompleteSince
	}
}

// current returns the legacies of the voters whose promises still hold. Others
// may have kept newer claims of another holder since.
func (h *Holder) current(now time.Time) map[ident.Process]*StoredState {
	legacies := map[ident.Process]*StoredState{}
	for p, l := range h.legacies {
		if now.Before(h.grants[p]) {
			legacies[p] = l
		}
	}
	return legacies
}

// complete reports whether the legacies intersect every majority of the list
// in which earlier claims were recorded.
func (h *Holder) complete(legacies map[ident.Process]*StoredState) bool {
	list := h.electorate.Prev
	if len(list) == 0 {
		list = h.electorate.Voters
	}
	count := 0
	for _, p := range list {
		if _, ok := legacies[p]; ok {
			count++
		}
	}
	return count > len(list)-majority(len(list))
}
