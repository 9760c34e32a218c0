package story

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/coord"
)

// replicationTime is the time until a majority of voters has stored a record.
const replicationTime = 2 * time.Millisecond

// voters is a fake quorum that stores the claims of all groups in memory. It
// implements coord.Replicator.
type voters struct {
	transcript *Transcript
	mu         sync.Mutex
	records    map[string][]byte
}

var _ coord.Replicator = (*voters)(nil)

// Replicate implements coord.Replicator.
func (v *voters) Replicate(_ context.Context, _ ident.GroupID, _ uint64, key string, record []byte) error {
	time.Sleep(replicationTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.records[key]; known {
		v.transcript.Logf("voters", "keep the outcome of the key")
	} else {
		v.transcript.Logf("voters", "keep the claim of the key")
	}
	v.records[key] = record
	return nil
}

// Claims implements coord.Replicator.
func (v *voters) Claims(ident.GroupID) map[string][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.records)
}

// ClaimsCompleteSince implements coord.Replicator.
func (v *voters) ClaimsCompleteSince(ident.GroupID) time.Time { return time.Time{} }
