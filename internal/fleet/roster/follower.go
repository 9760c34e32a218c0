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
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// defaultCatchUpTime is the time within which a VM must notice that its connection to
	// the store is silent, and catch up.
	defaultCatchUpTime = 4 * time.Second
	// watchWaitShare is the part of the catch-up time for which one watch waits. The rest
	// is for the late answer, and for a read of all keys from a slow store.
	watchWaitShare = 0.5
	// defaultBatchDelay is the pause after a watch that returned changes, in which
	// further changes accumulate. It bounds the number of calls during a storm of
	// changes, and is a third of the tightest limit on the delay of a change, 3 s.
	defaultBatchDelay = time.Second
	// standbyWatchWait and standbyBatchDelay are the wait of a watch and the pause after
	// it while the VM stands by. It then watches only the registrations of serving VMs,
	// so that it can name them to callers, and reads all keys before it serves. The wait
	// is below the 20 s for which a store keeps its history: a longer one would end with
	// a read of all keys.
	standbyWatchWait  = 15 * time.Second
	standbyBatchDelay = 5 * time.Second
	// confirmWatchWait is the wait of the watch after a stale read, which only fetches
	// what changed since.
	confirmWatchWait = time.Millisecond
	// minReadTimeout bounds the first read of all keys. After each failure the timeout
	// doubles, up to maxReadTimeout. A store that is a hundred times slower than usual
	// still answers within the first. A call to a silent store is never answered, so a
	// short timeout notices its return soon.
	minReadTimeout = 600 * time.Millisecond
	maxReadTimeout = 2400 * time.Millisecond
	// backlogItems and backlogBytes are the sizes from which an answer to a watch is
	// probably incomplete: a store returns at most some hundred changes, or a megabyte,
	// at once.
	backlogItems = 100
	backlogBytes = 128 << 10
	// minRetryPause and maxRetryPause bound the random pause after a failed call. It is
	// random so that VMs don't all call at once when the store returns.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// maxStandbyRetryPause bounds the pause of a VM that stands by. It is below the time for
	// which the registration of a lost VM that serves is kept, so that replacements are not
	// late. maxPauseDoublings is how often the pause doubles before it reaches the bound.
	maxStandbyRetryPause = 2 * time.Second
	maxPauseDoublings    = 4
	// tickInterval is the time between two removals of expired registrations.
	tickInterval = 200 * time.Millisecond
	// peerCheckDelay is the time after the first read, and between two tries, after which
	// other VMs are asked whether they know a newer configuration. The first datagrams of
	// others have arrived by then. peerCheckTries bounds the number of tries.
	peerCheckDelay = 700 * time.Millisecond
	peerCheckTries = 3
	// stallLimit is the time without a tick, or in suspension, after which the view must
	// be confirmed by the store before it is used. It is longer than the 0.1 s for which
	// a busy VM pauses when it has used up its processor quota.
	stallLimit = 1500 * time.Millisecond
	// allKeys is the prefix of all keys.
	allKeys = ""
)

// FollowerOptions configures a Follower. Zero values select the defaults.
type FollowerOptions struct {
	// CatchUpTime is the time within which the VM must notice that its connection to the
	// store is silent, and catch up.
	CatchUpTime time.Duration
	// BatchDelay is the pause after a watch that returned changes.
	BatchDelay time.Duration
	// Peers provide a snapshot while the store hasn't answered since the start. nil means
	// that there are none.
	Peers Peers
	// BeforePublish is called with each view before others see it. nil means that nothing is.
	BeforePublish func(*View)
	// Suspended returns for how long the machine has been suspended in total. nil means
	// boot.Suspended.
	Suspended func() time.Duration
}

// Peers are other VMs that may know the current configuration.
type Peers interface {
	// FetchSnapshot returns the snapshot of another VM, and its age.
	FetchSnapshot(ctx context.Context) (*Snapshot, time.Duration, error)
	// FetchNewerConfig returns another VM's configuration if its version is higher than
	// version, nil if there is none, and an error if no VM answered.
	FetchNewerConfig(ctx context.Context, version ident.Version) (*routes.Config, error)
}

// Follower keeps a State up to date by watching the store. Only the goroutine in Run
// accesses the state; others read the published view.
type Follower struct {
	depot   depot.Depot
	state   *State
	options FollowerOptions

	view atomic.Pointer[View]
	// lastConfirmation is the start of the last call after which the view was up to date.
	// For a snapshot of another VM, it is when that VM's view was.
	lastConfirmation atomic.Pointer[callStart]
	// lastRunningAt is when the process was last known to run, and lastStallEnd is the
	// end of its last stall.
	lastRunningAt, lastStallEnd atomic.Pointer[time.Time]
	updates                     chan update
	// ownRegistration is the VM's own registration in the store, or nil.
	ownRegistration atomic.Pointer[Member]
	// followAll is set while the VM watches all keys: always, unless it stands by while
	// others serve callers.
	followAll atomic.Bool
	// resumedStandby is set if the VM stood by before its restart and continues to.
	resumedStandby atomic.Bool
	// upToDate is set once the view was up to date after followAll was last set.
	upToDate  atomic.Bool
	storeDown atomic.Bool
	// reread interrupts a wait, so that all keys are read.
	reread chan struct{}
	// loaded is closed once the view was up to date, or the VM is known to stand by.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// callStart is when a call to the store began, and for how long the machine had been
// suspended in total by then.
type callStart struct {
	at        time.Time
	suspended time.Duration
}

// update is a change to the state that the goroutine in Run applies.
type update struct {
	// start is when the call to the store began.
	start callStart
	batch coll.Option[depot.Batch]
	// complete marks a read of all keys that begin with prefix.
	complete bool
	prefix   string
	// confirms is set if the view is up to date after the batch.
	confirms bool
	// snapshot comes from another VM while the store is down.
	snapshot *Snapshot
	// config comes from another VM that knows a newer one than the store.
	config *routes.Config
	err    error
}

// NewFollower returns a follower that takes ownership of state.
func NewFollower(d depot.Depot, state *State, options FollowerOptions) *Follower {
	options.CatchUpTime = coll.Positive(options.CatchUpTime, defaultCatchUpTime)
	options.BatchDelay = coll.Positive(options.BatchDelay, defaultBatchDelay)
	if options.Suspended == nil {
		options.Suspended = boot.Suspended
	}
	f := &Follower{depot: d, state: state, options: options, updates: make(chan update)}
	f.followAll.Store(true)
	f.reread, f.loaded = make(chan struct{}, 1), make(chan struct{})
	f.view.Store(state.View())
	return f
}

// View returns the latest view. It is safe for concurrent use.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Age returns the time since the view was last known to be up to date. known is false if
// it never was. It is safe for concurrent use.
func (f *Follower) Age(now time.Time) (age time.Duration, known bool) {
	last := f.lastConfirmation.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(last.at) + max(f.options.Suspended()-last.suspended, 0), true
}

// ConfirmedSinceStall reports whether the view may be used: it was confirmed after the
// process last stalled or the machine was suspended. If it wasn't, all keys are read
// again. It is safe for concurrent use.
func (f *Follower) ConfirmedSinceStall(now time.Time) bool {
	f.noteRunning(now)
	last := f.lastConfirmation.Load()
	if last == nil {
		return false
	}
	lastStallEnd := f.lastStallEnd.Load()
	stalled := lastStallEnd != nil && last.at.Before(*lastStallEnd)
	if !stalled && f.options.Suspended()-last.suspended <= stallLimit {
		return true
	}
	f.requestReread()
	return false
}

// noteRunning records that the process runs, and whether it has stalled before.
func (f *Follower) noteRunning(now time.Time) {
	last := f.lastRunningAt.Swap(&now)
	if last != nil && now.Sub(*last) > stallLimit {
		f.lastStallEnd.Store(&now)
	}
}

// requestReread interrupts a wait, so that all keys are read.
func (f *Follower) requestReread() {
	select {
	case f.reread <- struct{}{}:
	default:
	}
}

// newCallStart returns the start of a call that is made now.
func (f *Follower) newCallStart() callStart {
	return callStart{at: time.Now(), suspended: f.options.Suspended()}
}

// ResumedStandby reports whether the VM stood by before its restart and continues to. It
// is safe for concurrent use.
func (f *Follower) ResumedStandby() bool {
	return f.resumedStandby.Load()
}

// OwnRegistration returns the VM's own registration in the store as far as it is known,
// or nil. It is safe for concurrent use.
func (f *Follower) OwnRegistration() *Member {
	return f.ownRegistration.Load()
}

// RecordOwnWrite applies the VM's own registration right after it was written, without
// waiting for a watch to return it.
func (f *Follower) RecordOwnWrite(ctx context.Context, item depot.Item) {
	f.send(ctx, update{batch: coll.Some(depot.Batch{Items: []depot.Item{item}, Revision: item.Revision})})
}

// Loaded returns a channel that is closed once the view was up to date, or the VM is
// known to stand by.
func (f *Follower) Loaded() <-chan struct{} {
	return f.loaded
}

// UpToDate reports whether all changes have been followed since a read of all keys, as is
// required to serve callers. It is safe for concurrent use.
func (f *Follower) UpToDate() bool {
	return f.upToDate.Load()
}

// StoreDown reports whether the last call to the store failed. It is safe for concurrent
// use.
func (f *Follower) StoreDown() bool {
	return f.storeDown.Load()
}

// SetFollowAll sets whether the follower watches all keys or, with a longer delay, only
// the serving VMs. When it switches to all keys, it reads them at once. It is safe for
// concurrent use.
func (f *Follower) SetFollowAll(followAll bool) {
	if f.followAll.Swap(followAll) == followAll {
		return
	}
	f.upToDate.Store(false)
	if followAll {
		f.requestReread()
	}
}

// ReportCall records the outcome of a call to the store that another component made. The call
// began at begun.
func (f *Follower) ReportCall(ctx context.Context, begun time.Time, err error) {
	f.send(ctx, update{start: callStart{at: begun}, err: err})
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var reader conc.WaitGroup
	reader.Go(func() { f.readLoop(ctx) })
	reader.Go(func() { f.checkPeersForNewerConfig(ctx) })
	defer reader.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-f.updates:
			f.apply(u)
			f.publish()
			if u.confirms || u.complete && u.prefix != allKeys {
				f.loadedOnce.Do(func() { close(f.loaded) })
			}
		case <-ticker.C:
			now := time.Now()
			f.noteRunning(now)
			f.state.RemoveExpired(now)
			f.publish()
		}
	}
}

func (f *Follower) apply(u update) {
	now := time.Now()
	if u.config != nil {
		f.state.AdoptConfig(u.config)
		return
	}
	if u.snapshot != nil {
		if f.state.AdoptSnapshot(now, u.snapshot) {
			f.lastConfirmation.Store(&u.start)
		}
		return
	}
	if u.err != nil && !errors.Is(u.err, depot.ErrCompacted) && !errors.Is(u.err, depot.ErrNoLease) {
		f.state.StoreFailed(now, u.start.at, u.err.Error())
		return
	}
	f.state.StoreAnswered(now)
	if batch, ok := u.batch.Get(); ok {
		if u.complete {
			f.state.Load(now, u.prefix, batch)
		} else {
			f.state.Apply(now, batch)
		}
		if u.confirms {
			f.lastConfirmation.Store(&u.start)
			f.upToDate.Store(f.followAll.Load())
		}
	}
}

func (f *Follower) publish() {
	view := f.state.View()
	if f.options.BeforePublish != nil && view != f.view.Load() {
		f.options.BeforePublish(view)
	}
	f.view.Store(view)
	f.ownRegistration.Store(f.state.OwnRegistration())
	f.storeDown.Store(f.state.IsStoreDown())
}

func (f *Follower) send(ctx context.Context, u update) {
	select {
	case f.updates <- u:
	case <-ctx.Done():
	}
}
