// Package depsrv is a fake of the platform's store. It keeps keys, leases and a
// history in memory. Tests can make it unavailable or slow, and make it lose answers
// or its history.
package depsrv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// Faults are the faults of the store that are in effect. The zero value is a healthy
// store.
type Faults struct {
	// Down makes each call fail without effect.
	Down bool
	// LoseAnswers makes writes take effect and return depot.ErrUnknown.
	LoseAnswers bool
	// Delay is added to each call.
	Delay time.Duration
	// StaleCopies are the states that stale reads return, one for each page. The last one is
	// that of all further pages, too. Empty means the current state.
	StaleCopies []*Copy
	// HangWatches leaves watches that begin while it is set without an answer, until
	// the caller gives up.
	HangWatches bool
}

// Store is the fake store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	items   map[string]stored
	leases  map[uint64]*lease
	history []depot.Item
	// compacted is the revision up to which the history is lost.
	compacted depot.Position
	// revision holds the era of the store, too.
	revision  depot.Position
	lastLease uint64
	faults    Faults
	// pageItems is the maximum number of items on a page of a range, or 0.
	pageItems int
	changed   chan struct{}
	calls     int
	// staleReads counts the pages of stale ranges, rangeReads those of all ranges, and reads
	// the calls that the store's rate of reads limits.
	staleReads, rangeReads, reads int
}

var _ depot.Depot = (*Store)(nil)

type stored struct {
	item  depot.Item
	lease uint64
}

type lease struct {
	length time.Duration
	until  time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items:   map[string]stored{},
		leases:  map[uint64]*lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetPageItems sets the maximum number of items on a page of a range. 0 means no limit.
func (s *Store) SetPageItems(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = count
}

// Compact discards the history, so that watches from earlier revisions fail with
// depot.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// DeleteKey deletes a key and leaves its lease alive.
func (s *Store) DeleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Set writes a key, as the platform's operators and backend servers do.
func (s *Store) Set(key string, value []byte) depot.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(depot.Write{Key: key, Value: value})
}

// Keys returns all keys in ascending order.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Items returns all items in ascending order of their keys. No fault affects it.
func (s *Store) Items() []depot.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	items := make([]depot.Item, 0, len(s.items))
	for _, one := range s.items {
		items = append(items, one.item)
	}
	slices.SortFunc(items, func(a, b depot.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// Value returns the value of a key, or nil if there is none. No fault affects it.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return s.items[key].item.Value
}

// Calls returns the number of calls so far, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// StaleReads returns the number of pages so far of ranges that allowed stale data.
func (s *Store) StaleReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleReads
}

// RangeReads returns the number of pages of ranges so far.
func (s *Store) RangeReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeReads
}

// Reads returns the number of calls so far that count against the store's rate of reads: pages of
// ranges that are not stale, watches and renewals of leases.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Range implements depot.Depot.
func (s *Store) Range(ctx context.Context, prefix string, stale bool) (depot.Batch, error) {
	if err := s.beginCall(ctx); err != nil {
		return depot.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	pages := depot.NewPages(stale)
	for number, after := 0, ""; ; number++ {
		page, more := s.page(prefix, after, number, stale)
		if err := pages.Add(page); err != nil {
			return depot.Batch{}, err
		}
		if !more {
			return pages.Batch(), nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// page returns the page with a number of a range, which holds the keys after a key, and whether
// more follow. Like the platform's store it states the current revision, also on a stale page.
func (s *Store) page(prefix, after string, number int, stale bool) (page depot.Batch, more bool) {
	s.rangeReads++
	items := s.items
	if stale {
		s.staleReads++
		if copies := s.faults.StaleCopies; len(copies) > 0 {
			items = copies[min(number, len(copies)-1)].items
		}
	} else {
		s.reads++
	}
	page.Revision = s.revision
	for key, one := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, one.item)
		}
	}
	slices.SortFunc(page.Items, func(a, b depot.Item) int { return strings.Compare(a.Key, b.Key) })
	if s.pageItems > 0 && len(page.Items) > s.pageItems {
		page.Items, more = page.Items[:s.pageItems], true
	}
	return page, more
}

// Watch implements depot.Depot.
func (s *Store) Watch(ctx context.Context, prefix string, after depot.Position, wait time.Duration) (depot.Batch, error) {
	if err := s.beginCall(ctx); err != nil {
		return depot.Batch{}, err
	}
	s.countRead()
	deadline := time.Now().Add(wait)
	if s.hangsWatches() {
		sleep.For(ctx, wait+hangTimeout)
		return depot.Batch{}, depot.ErrUnavailable
	}
	for begun := time.Now(); ; {
		if time.Since(begun) > maxWatchTime {
			return depot.Batch{}, depot.ErrCompacted
		}
		batch, changed, err := s.changesAfter(prefix, after)
		left := time.Until(deadline)
		if err != nil || len(batch.Items) > 0 || left <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-time.After(min(left, expiryPoll)):
		case <-ctx.Done():
			return depot.Batch{}, depot.ErrUnavailable
		}
	}
}

func (s *Store) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
}

// hangTimeout is the time after the end of its wait at which the caller of an
// unanswered watch gives up.
const hangTimeout = 700 * time.Millisecond

func (s *Store) hangsWatches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.HangWatches
}

// expiryPoll is the interval at which a watch checks for expired leases.
const expiryPoll = 100 * time.Millisecond

// maxWatchTime is the longest time for which a watch may wait. After it the history
// that the watch needs counts as compacted.
const maxWatchTime = 20 * time.Second

// maxEvents is the largest number of changes in one answer to a watch.
const maxEvents = 500

// changesAfter returns the changes after a revision of the keys with a prefix, and a
// channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after depot.Position) (depot.Batch, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if s.faults.Down {
		return depot.Batch{}, nil, depot.ErrUnavailable
	}
	if after < s.compacted || after.Era() != s.revision.Era() || after > s.revision {
		return depot.Batch{}, nil, depot.ErrCompacted
	}
	batch := depot.Batch{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision <= after || !strings.HasPrefix(item.Key, prefix) {
			continue
		}
		if len(batch.Items) == maxEvents {
			batch.Revision = batch.Items[maxEvents-1].Revision
			break
		}
		batch.Items = append(batch.Items, item)
	}
	return batch, s.changed, nil
}

// Put implements depot.Depot.
func (s *Store) Put(ctx context.Context, write depot.Write) (depot.Position, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if write.Lease != (depot.Lease{}) && !s.hasLease(write.Lease) {
		return 0, depot.ErrNoLease
	}
	if required, ok := write.Require.Get(); ok && s.items[required.Key].item.Revision != required.Revision {
		return 0, depot.ErrConflict
	}
	if write.Delete != "" {
		s.remove(write.Delete)
	}
	for _, other := range write.Others {
		s.write(depot.Write{Key: other.Key, Value: other.Value})
	}
	return s.write(write), s.writeError()
}

// Delete implements depot.Depot.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return s.writeError()
}

// Grant implements depot.Depot.
func (s *Store) Grant(ctx context.Context, length time.Duration) (depot.Lease, error) {
	if err := s.beginCall(ctx); err != nil {
		return depot.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{length: length, until: time.Now().Add(length)}
	return depot.Lease{ID: s.lastLease, Era: s.revision.Era()}, s.writeError()
}

// Renew implements depot.Depot.
func (s *Store) Renew(ctx context.Context, id depot.Lease) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if !s.hasLease(id) {
		return depot.ErrNoLease
	}
	s.reads++
	known := s.leases[id.ID]
	known.until = time.Now().Add(known.length)
	return nil
}

func (s *Store) hasLease(l depot.Lease) bool {
	return l.Era == s.revision.Era() && s.leases[l.ID] != nil
}

// beginCall counts a call, delays it, and returns an error if the store is down or ctx
// ends.
func (s *Store) beginCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 && !sleep.For(ctx, faults.Delay) {
		return depot.ErrUnavailable
	}
	if faults.Down {
		return depot.ErrUnavailable
	}
	return nil
}

// writeError returns the error of a write that has taken effect.
func (s *Store) writeError() error {
	if s.faults.LoseAnswers {
		return depot.ErrUnknown
	}
	return nil
}

func (s *Store) write(w depot.Write) depot.Position {
	s.revision++
	item := depot.Item{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision}
	s.items[w.Key] = stored{item: item, lease: w.Lease.ID}
	s.record(item)
	return s.revision
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(depot.Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) record(item depot.Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the expired leases and deletes their keys.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		for key, one := range s.items {
			if one.lease == id {
				s.remove(key)
			}
		}
	}
}
