// Package memkv is a key-value service in memory with faults on demand. It
// stands in for the platform's service in tests.
package memkv

import (
	"context"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// Effect is what happens to one call.
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

// Plan decides the effect of a call. It may be called concurrently.
type Plan func(op Op, key string) Effect

// Store is a store.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	plan     Plan
	entries  map[string]store.Entry
	revision ident.Revision
	changed  chan struct{}
	wait     time.Duration
}

var _ store.Store = (*Store)(nil)

// New returns an empty store that serves every call.
func New() *Store {
	return &Store{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// SetPlan replaces the plan. A nil plan serves every call. Waiting watches are
// woken and planned anew.
func (s *Store) SetPlan(plan Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.wake()
}

// SetWait bounds watches that begin afterwards. 0 means no bound.
func (s *Store) SetWait(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = wait
}

// Restore replaces the contents by those of a backup that is empty.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]store.Entry{}
	s.revision = 0
	s.wake()
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
		entry, changed, err := s.look(key, after)
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

// timer returns a channel that fires when the wait of a watch is over.
func (s *Store) timer() (<-chan time.Time, func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait == 0 {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(s.wait)
	return timer.C, timer.Stop
}

func (s *Store) look(key string, after ident.Revision) (store.Entry, chan struct{}, error) {
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

func (s *Store) swap(key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	if s.entries[key].Revision != expect {
		return 0, store.ErrConflict
	}
	s.revision++
	s.entries[key] = store.Entry{Value: append([]byte(nil), value...), Revision: s.revision}
	s.wake()
	return s.revision, nil
}

func (s *Store) effect(op Op, key string) Effect {
	if s.plan == nil {
		return Served
	}
	return s.plan(op, key)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
