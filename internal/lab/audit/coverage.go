package audit

import (
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

func init() {
	checkers.Register("coverage", checkCoverage)
}

// statusOK is the HTTP status of a completed sub-request.
const statusOK = 200

// checkCoverage compares the coverage that each answer to a search states with
// the sub-requests that backend servers completed for it.
func checkCoverage(h *History, t *tally) {
	for _, a := range h.mergedSearches() {
		t.countEvent()
		if (a.Outcome == trace.OutcomeFull) != (a.AnsweredShards == a.TotalShards && a.TotalShards > 0) {
			t.violationf("attempt %s: %s with %d of %d shards", a.ID, a.Outcome, a.AnsweredShards, a.TotalShards)
		}
		completed := h.completedShards(a)
		if a.AnsweredShards > len(completed) {
			t.violationf("attempt %s: says that %d shards answered, %d did", a.ID, a.AnsweredShards, len(completed))
		}
		for _, hit := range a.Hits {
			if !completed.Has(hit.Shard) {
				t.violationf("attempt %s: hit %s of a shard that did not answer", a.ID, hit.ID)
				break
			}
		}
		if of := h.shardCount(a); of > 0 && a.TotalShards != of {
			t.violationf("attempt %s: says that version %d has %d shards, it has %d", a.ID, a.Snapshot, a.TotalShards, of)
		}
	}
}

// completedShards returns the shards for which a backend server completed a
// sub-request of the attempt, on the attempt's snapshot and before its end.
func (h *History) completedShards(a *attempt) coll.Set[ident.Shard] {
	shards := coll.NewSet[ident.Shard]()
	for _, event := range h.finished[a.readKey()] {
		sub := event.SubRequest
		if sub.Status == statusOK && sub.Version == a.Snapshot && event.At <= a.end+maxClockSkew {
			shards.Add(sub.Shard)
		}
	}
	return shards
}

// shardCount returns the number of shards of the attempt's snapshot according
// to the backend servers, or 0 if no server finished a sub-request on it.
func (h *History) shardCount(a *attempt) int {
	for _, event := range h.finished[a.readKey()] {
		sub := event.SubRequest
		if sub.Version == a.Snapshot && sub.Status != bknd.StatusWrongVersion {
			return int(sub.Shards)
		}
	}
	return 0
}
