// Package store is the client of the platform's key-value service.
package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

var (
	// ErrConflict means that the revision of the key was not the expected one; the
	// write did not take effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service did not execute the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrUnchanged means that the wait of a watch ended without a change.
	ErrUnchanged = errors.New("store: unchanged")
)

// Entry is the value of a key. Revision is 0 if the key is absent.
type Entry struct {
	Value    []byte
	Revision ident.Revision
}

// Store is the key-value service. Implementations are safe for concurrent use.
// Every call returns when its context ends.
type Store interface {
	// Get returns the entry of key. It fails with ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap is a compare-and-swap: it writes value if the revision of key is expect
	// (0: the key is absent) and returns the new revision. It fails with ErrConflict, ErrUnavailable or
	// ErrUnknown.
	Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error)
	// Watch waits until the revision of key is above after and returns the
	// entry. It fails with ErrUnchanged or ErrUnavailable.
	Watch(ctx context.Context, key string, after ident.Revision) (Entry, error)
}
