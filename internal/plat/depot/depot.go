// Package depot defines the interface of a key-value store with ranges, watches,
// transactions and leases. Backend servers and VMs register in it, and operators
// write the configuration to it.
package depot

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

var (
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("depot: no such lease")
	// ErrCompacted means that the store no longer has all changes after a revision;
	// the keys have to be read again.
	ErrCompacted = errors.New("depot: history is compacted")
	// ErrConflict means that the precondition of a write does not hold. The write has no
	// effect.
	ErrConflict = errors.New("depot: precondition does not hold")
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("depot: unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("depot: outcome unknown")
)

// Item is the state of one key. A deleted key has Deleted set and no value.
type Item struct {
	Key      string
	Value    []byte
	Revision Position
	Deleted  bool
}

// Batch is the result of a range or a watch. Items holds all changes up to Revision, of those
// after the start of a watch, and that of a range may hold later ones. A watch from Revision
// returns whatever Items lacks. All items are of the era of Revision.
type Batch struct {
	Items    []Item
	Revision Position
}

// Write sets a key. The key is deleted when Lease ends; without a lease it stays until it
// is deleted. Delete, if not empty, is another key that is deleted in the same
// transaction, and Others are keys that are set in it, without a lease.
type Write struct {
	Key    string
	Value  []byte
	Lease  Lease
	Delete string
	Others []KeyValue
	// Require is a precondition. It is absent if the write is unconditional.
	Require coll.Option[Condition]
}

// KeyValue is a key and its value.
type KeyValue struct {
	Key   string
	Value []byte
}

// Condition requires that the last change of a key was at a revision. Revision 0 requires that
// there is no such key.
type Condition struct {
	Key      string
	Revision Position
}

// Depot is the store. Implementations are safe for concurrent use; every call
// ends when its context does.
type Depot interface {
	// Range returns all items whose key begins with prefix. If stale is set, the store may
	// answer from states that are seconds old, which is cheap. Pages has what that says about
	// Batch.Revision, which the store may no longer have in its history.
	Range(ctx context.Context, prefix string, stale bool) (Batch, error)
	// Watch returns the changes after revision after to keys that begin with prefix.
	// It waits for the first change, and returns an empty batch if there is none
	// within wait. It fails with ErrCompacted, also if the store is in a later era than
	// after, or ErrUnavailable.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Batch, error)
	// Put executes write and returns its revision. It fails with ErrConflict, ErrNoLease, also
	// if the store is in a later era than the lease, ErrUnavailable or ErrUnknown. A write that
	// requires a revision of an earlier era fails with ErrConflict.
	Put(ctx context.Context, write Write) (Position, error)
	// Delete deletes a key. It fails with ErrUnavailable or ErrUnknown.
	Delete(ctx context.Context, key string) error
	// Grant returns a new lease that ends after length unless it is renewed. It fails with
	// ErrUnavailable or ErrUnknown.
	Grant(ctx context.Context, length time.Duration) (Lease, error)
	// Renew extends a lease by its length. It fails with ErrNoLease, also if the store is
	// in a later era than the lease, or ErrUnavailable.
	Renew(ctx context.Context, lease Lease) error
}
