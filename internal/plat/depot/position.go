package depot

import (
	"log/slog"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/core/events"
)

// Era counts how often the store came back from an older copy. Revisions and lease ids of
// an era are given out again in later ones. 0 means that the store doesn't tell.
type Era uint32

// Start returns the position before all revisions of the era.
func (e Era) Start() Position {
	return Position(uint64(e) << revisionBits)
}

// Position is a revision of the store together with its era. Positions are ordered: those
// of a later era come after all of earlier ones. 0 is before all positions.
type Position uint64

// revisionBits is the number of low bits of a position that hold the revision.
const revisionBits = 40

// NewPosition returns the position of a revision in an era. It fails if they are too
// large.
func NewPosition(era Era, revision uint64) (Position, error) {
	if era >= 1<<(64-revisionBits) || revision >= 1<<revisionBits {
		return 0, errors.Newf("depot: revision %d of era %d is too large", revision, era)
	}
	return era.Start() | Position(revision), nil
}

// Era returns the era of the position.
func (p Position) Era() Era {
	return Era(p >> revisionBits)
}

// Revision returns the revision that the store uses within the era.
func (p Position) Revision() uint64 {
	return uint64(p) & (1<<revisionBits - 1)
}

// Lease identifies a lease. The zero value means none.
type Lease struct {
	ID  uint64
	Era Era
}

// EraTracker tracks the era of the store from its answers. The zero value knows none yet.
// It is safe for concurrent use.
type EraTracker struct {
	mu     sync.Mutex
	known  Era
	events *events.Recorder
}

// LogTo makes the tracker log eras that can't be read.
func (t *EraTracker) LogTo(recorder *events.Recorder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = recorder
}

// Current returns the latest era, or 0 while none is known.
func (t *EraTracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// HasEnded reports whether a lease ended because the store came back from an older copy.
func (t *EraTracker) HasEnded(lease Lease) bool {
	return lease != Lease{} && lease.Era != t.Current()
}

// Observe returns the era of an answer, given the era that it states as text. An answer
// without one, or with one that can't be read, counts as one of the latest era. outdated is
// set if an answer of a later era was seen before.
func (t *EraTracker) Observe(text string) (era Era, outdated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if text == "" {
		return t.known, false
	}
	stated, err := strconv.ParseUint(text, 10, 64-revisionBits)
	if err != nil {
		t.events.Sample("store_era_unreadable", "store", "not the number of an era", slog.String("text", text))
		return t.known, false
	}
	t.known = max(t.known, Era(stated))
	return Era(stated), Era(stated) < t.known
}
