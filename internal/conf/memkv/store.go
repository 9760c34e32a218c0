// Package memkv implements an in-memory key-value store with fault injection. It
// replaces the platform's key-value service in tests.
package memkv

import (
	"context"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// Effect is how a call is handled.
type Effect int

const (
	// Served means that the call is carried out and answered.
	Served Effect = iota
	// Refused means that the call fails with store.ErrUnavailable.
	Refused
	// Dropped means that a write is not carried out and fails with
	// store.ErrUnknown. Other calls fail with store.ErrUnavailable.
	Dropped
	// AnswerLost means that a write is carried out and fails with
	// store.ErrUnknown. Other calls fail with store.ErrUnavailable.
	AnswerLost
)

// Op is the kind of a call.
type Op int

// Kinds of calls.
const (
	Get Op = iota
	Swap
	Watch
)

// Plan returns the effect for a call. The calls of one Store are serialized, but a
// plan used by several stores may be called concurrently.
type Plan func(op Op, key string) Effect

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	plan     Plan
	entries  map[string]store.Entry
	revision ident.Revision
	// changed is closed and replaced to wake all watches.
	changed chan struct{}
	// wait is the maximum duration of watches, or 0 for no limit.
	wait time.Duration
}

var _ store.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// SetPlan replaces the plan. A nil plan serves every call. Watches in progress
// apply the new plan.
func (s *Store) SetPlan(plan Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.notifyWatches()
}

// SetWait sets the maximum duration of watches that begin afterwards. 0 means no
// limit.
func (s *Store) SetWait(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = wait
}

// Restore simulates a restore from an empty backup: it removes all entries and
// resets the revision to 0.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]store.Entry{}
	s.revision = 0
	s.notifyWatches()
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.effect(Get, key) != Served {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.entries[key], nil
}

// Swap implements store.Store.
func (s *Store) Swap(_ context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := s.effect(Swap, key)
	switch effect {
	case Refused:
		return 0, store.ErrUnavailable
	case Dropped:
		return 0, store.ErrUnknown
	}
	revision, err := s.swap(key, expect, value)
	if effect == AnswerLost {
		return 0, store.ErrUnknown
	}
	return revision, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after ident.Revision) (store.Entry, error) {
	ended, stop := s.timer()
	defer stop()
	for {
		entry, changed, err := s.readAfter(key, after)
		if err != nil || entry.Revision > after {
			return entry, err
		}
		select {
		case <-ctx.Done():
			return store.Entry{}, store.ErrUnavailable
		case <-ended:
			return store.Entry{}, store.ErrUnchanged
		case <-changed:
		}
	}
}

// timer returns a channel that receives at the maximum duration of a watch,
// and a function that stops the timer. The channel is nil if there is no limit.
func (s *Store) timer() (<-chan time.Time, func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait == 0 {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(s.wait)
	return timer.C, timer.Stop
}

// readAfter returns the entry if its revision is above the given one. Otherwise it
// returns an empty entry and the channel that is closed at the next change.
func (s *Store) readAfter(key string, after ident.Revision) (store.Entry, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.effect(Watch, key) != Served {
		return store.Entry{}, nil, store.ErrUnavailable
	}
	entry := s.entries[key]
	if entry.Revision <= after {
		return store.Entry{}, s.changed, nil
	}
	return entry, nil, nil
}

// swap performs a compare-and-swap. s.mu must be held.
func (s *Store) swap(key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	if s.entries[key].Revision != expect {
		return 0, store.ErrConflict
	}
	s.revision++
	s.entries[key] = store.Entry{Value: append([]byte(nil), value...), Revision: s.revision}
	s.notifyWatches()
	return s.revision, nil
}

// effect returns the planned effect of a call. s.mu must be held.
func (s *Store) effect(op Op, key string) Effect {
	if s.plan == nil {
		return Served
	}
	return s.plan(op, key)
}

// notifyWatches wakes all watches. s.mu must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
