package lease

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// RecoverState merges the state that the voters stored from earlier holders. It
// has to be called once each time Check returns Acquired.
func (h *Holder) RecoverState(now time.Time) RecoveredState {
	recovered := RecoveredState{}
	latest := &StoredState{}
	states := h.unexpiredStates(now)
	for _, state := range states {
		if state.HandoverTerm > latest.HandoverTerm || state.HandoverTerm == latest.HandoverTerm && state.HandoverSeq > latest.HandoverSeq {
			latest = state
		}
		if state.EndedAgo > 0 && now.Add(-state.EndedAgo).After(recovered.PreviousUntil) {
			recovered.PreviousUntil = now.Add(-state.EndedAgo)
		}
		h.addStored(state, now)
	}
	if !h.includesAllClaims(states) {
		h.completeSince = now
	}
	recovered.HandoverState, recovered.Claims, recovered.CompleteSince = latest.HandoverState, h.Claims(), h.completeSince
	return recovered
}

// addStored adds the claims that a voter stored to those of the holder.
func (h *Holder) addStored(state *StoredState, now time.Time) {
	for key, record := range state.Claims {
		if _, known := h.claims[key]; !known {
			h.claims[key] = claim{record: record, at: now}
		}
	}
	if state.CompleteSince.After(h.completeSince) {
		h.completeSince = state.CompleteSince
	}
}

// unexpiredStates returns the stored states of the voters whose promises have
// not ended. Other voters may have stored newer claims of another holder since.
func (h *Holder) unexpiredStates(now time.Time) map[ident.Process]*StoredState {
	states := map[ident.Process]*StoredState{}
	for p, state := range h.states {
		if now.Before(h.grants[p]) {
			states[p] = state
		}
	}
	return states
}

// includesAllClaims reports whether the given voters intersect every majority of
// the list of voters that stored the earlier claims.
func (h *Holder) includesAllClaims(states map[ident.Process]*StoredState) bool {
	list := h.config.Prev
	if len(list) == 0 {
		list = h.config.Voters
	}
	count := 0
	for _, p := range list {
		if _, ok := states[p]; ok {
			count++
		}
	}
	return count > len(list)-majority(len(list))
}
