package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/boot"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// defaultTouch is the time in which a VM has to notice that its connection
	// to the store went silent, and to catch up.
	defaultTouch = 4 * time.Second
	// touchPart is the part of that time for which one watch waits. The rest
	// is for the late answer, and for a reading of all keys by a slow store.
	touchPart = 0.5
	// defaultGather is the pause after a watch that told changes, in which
	// further changes gather. It bounds the calls during a storm, and is a
	// third of the tightest bound on a change, 3 s.
	defaultGather = time.Second
	// standbyWait and standbyGather are the same for a VM that serves no
	// callers. It follows the VMs that serve alone, so that it can name them, and
	// reads all keys before it serves.
	// The wait is below the time for which a store keeps its history, 20 s: a longer one
	// ends with a reading of all keys.
	standbyWait   = 15 * time.Second
	standbyGather = 5 * time.Second
	// confirmWait is that of the watch after a stale reading, which only tells what
	// changed since.
	confirmWait = time.Millisecond
	// firstReadTimeout bounds the first reading of all keys, and each one that
	// follows a failed one may take twice as long, up to lastReadTimeout. A
	// store that is two orders of magnitude slow answers within the first; a
	// call to a silent one is never answered, so that a short bound finds its
	// return soon.
	firstReadTimeout = 600 * time.Millisecond
	lastReadTimeout  = 2400 * time.Millisecond
	// backlogItems and backlogBytes are the sizes from which the answer to a watch is
	// probably not all that changed: a store tells at most some hundred changes, or a
	// megabyte, at once.
	backlogItems = 100
	backlogBytes = 128 << 10
	// minRetry and maxRetry bound the pause after a failed call. It is drawn at
	// random, so that VMs do not call together when the store returns.
	minRetry = 150 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// tickEvery is the time between two looks for overdue registrations.
	tickEvery = 200 * time.Millisecond
	// stallLimit is the time without a tick, or in suspension, after which the
	// beliefs have to be confirmed before they are used. A busy VM whose share of
	// the processor is used up stands still for a tenth of a second.
	stallLimit = 1500 * time.Millisecond
	// watchAll is the prefix of all keys.
	watchAll = ""
)

// FollowerOptions tunes a Follower. The zero value gives the defaults.
type FollowerOptions struct {
	// CatchUpTime is the time in which the VM has to notice that its connection to the
	// store went silent, and to catch up.
	CatchUpTime time.Duration
	// BatchDelay is the pause after a watch that told changes.
	BatchDelay time.Duration
	// Peers are asked while the store has not answered since the start. nil means that
	// there are none.
	Peers Peers
	// Suspended returns the time for which the machine has been suspended. nil
	// means boot.Suspended.
	Suspended func() time.Duration
}

// Peers are other VMs that may know what is in force.
type Peers interface {
	// FetchSnapshot returns the beliefs of another VM, and their age.
	FetchSnapshot(ctx context.Context) (*Snapshot, time.Duration, error)
}

// Follower keeps a Book up to date. Its goroutine is the only one that touches
// the book; others read the published view.
type Follower struct {
	depot   depot.Depot
	book    *State
	options FollowerOptions

	view atomic.Pointer[View]
	// confirmed tells of the last call that was answered.
	confirmed atomic.Pointer[confirmation]
	// aliveAt is the last moment at which the process was seen running, and
	// stalledAt the end of the last time in which it stood still.
	aliveAt, stalledAt atomic.Pointer[time.Time]
	notes              chan note
	// registered is the VM's own registration in the store, if there is one.
	registered atomic.Pointer[Member]
	// active is set unless the VM stands by while others serve callers.
	active atomic.Bool
	// resumed is set if the VM stood by before it started again and goes on so.
	resumed atomic.Bool
	// fresh is set once the beliefs were up to date since the VM became active.
	fresh atomic.Bool
	// lost is set while the store does not answer.
	lost atomic.Bool
	// refresh ends a wait so that all keys are read.
	refresh chan struct{}
	// loaded is closed once the beliefs were up to date, or the VM is known to stand by.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// confirmation is the start of a call to the store, and the time for which the
// machine had been suspended by then.
type confirmation struct {
	at        time.Time
	suspended time.Duration
}

// note is something that the control goroutine has to enter in the book.
type note struct {
	// asked is the start of the call.
	asked confirmation
	batch coll.Option[depot.Batch]
	// whole marks a reading of all keys that begin with prefix.
	whole  bool
	prefix string
	// confirms is set if the beliefs are up to date with the batch.
	confirms bool
	// snapshot is what another VM told in place of the store.
	snapshot *Snapshot
	err      error
}

// NewFollower returns a follower for book, which it owns from then on.
func NewFollower(d depot.Depot, book *State, options FollowerOptions) *Follower {
	options.CatchUpTime = coll.Positive(options.CatchUpTime, defaultTouch)
	options.BatchDelay = coll.Positive(options.BatchDelay, defaultGather)
	if options.Suspended == nil {
		options.Suspended = boot.Suspended
	}
	f := &Follower{depot: d, book: book, options: options, notes: make(chan note)}
	f.active.Store(true)
	f.refresh, f.loaded = make(chan struct{}, 1), make(chan struct{})
	f.view.Store(book.View())
	return f
}

// View returns the latest beliefs. It is safe for concurrent use.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Age returns the time since the beliefs were last known to be up to date. known is
// false before the first reading. It is safe for concurrent use.
func (f *Follower) Age(now time.Time) (age time.Duration, known bool) {
	last := f.confirmed.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(last.at) + max(f.options.Suspended()-last.suspended, 0), true
}

// ConfirmedSinceStall reports whether the beliefs may be used: the VM has not stood still since
// they were confirmed. If it has, they are brought up to date. It is safe for
// concurrent use.
func (f *Follower) ConfirmedSinceStall(now time.Time) bool {
	f.alive(now)
	last := f.confirmed.Load()
	if last == nil {
		return false
	}
	stalledAt := f.stalledAt.Load()
	stalled := stalledAt != nil && last.at.Before(*stalledAt)
	if !stalled && f.options.Suspended()-last.suspended <= stallLimit {
		return true
	}
	f.readAgain()
	return false
}

// alive notes that the process runs, and whether it stood still before.
func (f *Follower) alive(now time.Time) {
	last := f.aliveAt.Swap(&now)
	if last != nil && now.Sub(*last) > stallLimit {
		f.stalledAt.Store(&now)
	}
}

// readAgain ends a wait so that all keys are read.
func (f *Follower) readAgain() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// asking returns the start of a call that is made now.
func (f *Follower) asking() confirmation {
	return confirmation{at: time.Now(), suspended: f.options.Suspended()}
}

// ResumedStandby reports whether the VM goes on standing by as before it started again. It is
// safe for concurrent use.
func (f *Follower) ResumedStandby() bool {
	return f.resumed.Load()
}

// OwnRegistration returns the VM's own registration in the store as far as it is known, or nil. It is
// safe for concurrent use.
func (f *Follower) OwnRegistration() *Member {
	return f.registered.Load()
}

// RecordOwnWrite enters the VM's own registration, so that it is known without a watch.
func (f *Follower) RecordOwnWrite(ctx context.Context, item depot.Item) {
	f.send(ctx, note{batch: coll.Some(depot.Batch{Items: []depot.Item{item}, Revision: item.Revision})})
}

// Loaded returns a channel that is closed once the beliefs were up to date, or the VM is
// known to stand by.
func (f *Follower) Loaded() <-chan struct{} {
	return f.loaded
}

// UpToDate reports whether all changes have been followed since a reading of all
// keys, as a VM needs to serve callers. It is safe for concurrent use.
func (f *Follower) UpToDate() bool {
	return f.fresh.Load()
}

// StoreDown reports whether the store does not answer. It is safe for concurrent
// use.
func (f *Follower) StoreDown() bool {
	return f.lost.Load()
}

// SetFollowAll says whether the VM serves callers. A VM that begins to serve reads
// all keys at once; one that stands by learns of changes with some delay. It is
// safe for concurrent use.
func (f *Follower) SetFollowAll(active bool) {
	if f.active.Swap(active) == active {
		return
	}
	f.fresh.Store(false)
	if active {
		f.readAgain()
	}
}

// ReportCall notes the outcome of a call to the store that another part made.
func (f *Follower) ReportCall(ctx context.Context, err error) {
	f.send(ctx, note{err: err})
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var reading conc.WaitGroup
	reading.Go(func() { f.read(ctx) })
	defer reading.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-f.notes:
			f.enter(n)
			f.publish()
			if n.confirms || n.whole && n.prefix != watchAll {
				f.loadedOnce.Do(func() { close(f.loaded) })
			}
		case <-ticker.C:
			now := time.Now()
			f.alive(now)
			f.book.RemoveExpired(now)
			f.publish()
		}
	}
}

func (f *Follower) enter(n note) {
	now := time.Now()
	if n.snapshot != nil {
		if f.book.AdoptSnapshot(now, n.snapshot) {
			f.confirmed.Store(&n.asked)
		}
		return
	}
	if n.err != nil && !errors.Is(n.err, depot.ErrCompacted) && !errors.Is(n.err, depot.ErrNoLease) {
		f.book.StoreFailed(now, n.err.Error())
		return
	}
	f.book.StoreAnswered(now)
	if batch, ok := n.batch.Get(); ok {
		if n.whole {
			f.book.Load(now, n.prefix, batch)
		} else {
			f.book.Apply(now, batch)
		}
		if n.confirms {
			f.confirmed.Store(&n.asked)
			f.fresh.Store(f.active.Load())
		}
	}
}

func (f *Follower) publish() {
	f.view.Store(f.book.View())
	f.registered.Store(f.book.OwnRegistration())
	f.lost.Store(f.book.IsStoreDown())
}

func (f *Follower) send(ctx context.Context, n note) {
	select {
	case f.notes <- n:
	case <-ctx.Done():
	}
}
