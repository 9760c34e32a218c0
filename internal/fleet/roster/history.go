package roster

import "time"

// maxReadHistory bounds the positions that a VM remembers.
const maxReadHistory = 256

// readHistory remembers when each of the latest revisions of the store was first read.
type readHistory struct {
	entries []readEntry
}

type readEntry struct {
	revision uint64
	at       time.Time
}

// add records that the store was at a revision at now.
func (h *readHistory) add(now time.Time, revision uint64) {
	if n := len(h.entries); n > 0 && h.entries[n-1].revision >= revision {
		return
	}
	if len(h.entries) == maxReadHistory {
		h.entries = append(h.entries[:0], h.entries[1:]...)
	}
	h.entries = append(h.entries, readEntry{revision: revision, at: now})
}

// ageAfter returns the age of the earliest known change after a revision, or 0 if none is
// known: changes of that age and younger are lost if the store is at that revision again.
func (h *readHistory) ageAfter(now time.Time, revision uint64) time.Duration {
	for _, e := range h.entries {
		if e.revision > revision {
			return now.Sub(e.at)
		}
	}
	return 0
}
