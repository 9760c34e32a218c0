package audit

func init() {
	checkers.Register("snapshot", checkSnapshot)
}

// checkSnapshot checks that all hits of an answer come from the index version
// that the answer states as its snapshot.
func checkSnapshot(h *History, t *tally) {
	for _, a := range h.mergedSearches() {
		if len(a.Hits) == 0 {
			continue
		}
		t.countEvent()
		for _, hit := range a.Hits {
			if hit.Version != a.Snapshot {
				t.violationf("attempt %s: snapshot %d, hit %s is of version %d",
					a.ID, a.Snapshot, hit.ID, hit.Version)
				break
			}
		}
	}
}
