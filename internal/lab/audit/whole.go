package audit

import (
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func init() {
	checkers.Register("whole", checkWhole)
}

// checkWhole checks that each answer belongs to the request it was sent for,
// and that a full answer to a search holds the best hits of all shards in order.
func checkWhole(h *History, t *tally) {
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.answered() {
			continue
		}
		t.countEvent()
		if a.EchoedID != a.ID {
			t.violationf("attempt %s: answer to request %q", a.ID, a.EchoedID)
			continue
		}
		checkKey(a, t)
		checkSearchHits(a, t)
	}
}

// checkKey checks that the answer to a lookup or an action names the key of the
// attempt. The key may be absent for an action: the backend server's answer to
// an action that it executed before may be lost.
func checkKey(a *attempt, t *tally) {
	complete := a.Outcome == trace.OutcomeFull || a.Outcome == trace.OutcomeDone
	missing := a.EchoedKey == "" && a.Op == trace.OpLookup && complete
	wrong := a.EchoedKey != "" && a.EchoedKey != a.Key
	if missing || wrong {
		t.violationf("attempt %s: key %q, answer to key %q", a.ID, a.Key, a.EchoedKey)
	}
}

// checkSearchHits checks that all hits belong to the attempt's query, and that
// those of a full answer are the best ones of all shards.
func checkSearchHits(a *attempt, t *tally) {
	for _, hit := range a.Hits {
		if hit.Query != a.Query {
			t.violationf("attempt %s: hit %s belongs to query %q", a.ID, hit.ID, hit.Query)
			return
		}
	}
	if a.Op != trace.OpSearch || a.Outcome != trace.OutcomeFull {
		return
	}
	doc := server.Doc{Version: a.Snapshot, Query: a.Query}
	expected := server.Merged(a.Service, doc, a.TotalShards, a.Limit)
	if !sameHitIDs(a.Hits, expected) {
		t.violationf("attempt %s: the hits are not the best %d of %d shards", a.ID, a.Limit, a.TotalShards)
	}
}

func sameHitIDs(got []trace.Hit, expected []server.Hit) bool {
	if len(got) != len(expected) {
		return false
	}
	for i := range got {
		if got[i].ID != expected[i].ID {
			return false
		}
	}
	return true
}
