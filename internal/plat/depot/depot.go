// Package depot is the edge towards a key-value store with ranges, watches,
// transactions and leases, in which backend servers and VMs register and
// operators write the configuration.
package depot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

var (
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("depot: no such lease")
	// ErrCompacted means that the history after a revision is gone; the keys
	// have to be read again.
	ErrCompacted = errors.New("depot: history is compacted")
	// ErrUnavailable means that the store did not carry out the call.
	ErrUnavailable = errors.New("depot: unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("depot: outcome unknown")
)

// LeaseID names a lease. 0 means none.
type LeaseID uint64

// Item is the state of one key. A deleted key has Deleted set and no value.
type Item struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	Deleted  bool
}

// Batch is a set of items and the revision of the store at which they were
// read, or up to which they tell all changes.
type Batch struct {
	Items    []Item
	Revision ident.Revision
}

// Write sets a key. Lease is 0 for a key that stays until it is deleted. Delete names
// another key that is deleted at once with it, if any.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete string
}

// Depot is the store. Implementations are safe for concurrent use; every call
// ends when its context does.
type Depot interface {
	// Range returns all items whose key begins with prefix. Items may be newer
	// than Batch.Revision. A stale reading is cheap and may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) (Batch, error)
	// Watch returns the changes after a revision to keys that begin with prefix
	// as soon as there is one, or an empty batch after wait. It fails with
	// ErrCompacted or ErrUnavailable.
	Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) (Batch, error)
	// Put writes unconditionally. It fails with ErrNoLease, ErrUnavailable or
	// ErrUnknown.
	Put(ctx context.Context, write Write) (ident.Revision, error)
	// Delete deletes a key. It fails with ErrUnavailable or ErrUnknown.
	Delete(ctx context.Context, key string) error
	// Grant returns a new lease. It fails with ErrUnavailable or ErrUnknown.
	Grant(ctx context.Context, length time.Duration) (LeaseID, error)
	// Renew extends a lease by its length. It fails with ErrNoLease or
	// ErrUnavailable.
	Renew(ctx context.Context, lease LeaseID) error
}
