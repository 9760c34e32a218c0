package audit

import (
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func init() {
	checkers.Register("whole", checkWhole)
}

// checkWhole checks that each answer belongs to its own request, and that a
// full answer to a search has the best hits of all shards in order.
func checkWhole(h *History, t *tally) {
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.answered() {
			continue
		}
		t.seen()
		if a.Echo != a.ID {
			t.violationf("attempt %s: answer to request %q", a.ID, a.Echo)
			continue
		}
		checkKey(a, t)
		checkHits(a, t)
	}
}

// checkKey checks that the answer to a lookup or an action belongs to its key.
// The answer to an action that ran before may be lost.
func checkKey(a *attempt, t *tally) {
	complete := a.Outcome == trace.OutcomeFull || a.Outcome == trace.OutcomeDone
	missing := a.EchoKey == "" && a.Op == trace.OpLookup && complete
	foreign := a.EchoKey != "" && a.EchoKey != a.Key
	if missing || foreign {
		t.violationf("attempt %s: key %q, answer to key %q", a.ID, a.Key, a.EchoKey)
	}
}

func checkHits(a *attempt, t *tally) {
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
	expected := server.Merged(a.Service, doc, a.Of, a.Limit)
	if !sameHits(a.Hits, expected) {
		t.violationf("attempt %s: the hits are not the best %d of %d shards", a.ID, a.Limit, a.Of)
	}
}

func sameHits(got []trace.Hit, expected []server.Hit) bool {
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
