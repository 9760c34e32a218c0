package roster

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// readProgress is the state of readLoop.
type readProgress struct {
	// revision is the one up to which the store was read.
	revision depot.Position
	// loaded is set once all keys were read, after which changes are watched.
	loaded bool
	// stale is set until a watch has confirmed the first read of the process.
	stale bool
	// peerAnswered is set once another VM sent a snapshot while the store was down.
	peerAnswered bool
	// timeout bounds the next read of all keys.
	timeout time.Duration
	// failures is the number of consecutive failed calls.
	failures int
}

// readLoop calls the store until ctx is done: it reads all keys once, then watches from
// there. It reads all keys again if the store has lost the history, and after
// requestReread. The first read of a process may be stale, since many VMs may start
// together; the watch that follows makes up for it.
func (f *Follower) readLoop(ctx context.Context) {
	r := &readProgress{stale: true, timeout: minReadTimeout}
	f.resumeStandby(ctx, r)
	for ctx.Err() == nil {
		if f.takeRereadRequest() {
			r.loaded = false
		}
		if r.loaded {
			f.readChanges(ctx, r)
		} else {
			f.readKeys(ctx, r)
		}
	}
}

// takeRereadRequest reports whether a read of all keys was requested while there was no
// wait to interrupt, as when calls fail at once.
func (f *Follower) takeRereadRequest() bool {
	select {
	case <-f.reread:
		return true
	default:
		return false
	}
}

// resumeStandby reads the registrations of VMs. If this VM stood by before its restart
// and others serve, it continues to stand by without a read of all keys: after a power
// failure of the whole fleet, the serving VMs need the store's capacity.
func (f *Follower) resumeStandby(ctx context.Context, r *readProgress) {
	start := f.newCallStart()
	batch, err := f.readPrefix(ctx, PrefixMembers, r.timeout, true)
	if err != nil {
		f.handleFailedRead(ctx, r, start, err)
		return
	}
	stoodBy, othersServe := false, false
	for _, item := range batch.Items {
		stoodBy = stoodBy || item.Key == prefixStandby+string(f.state.self)
		othersServe = othersServe || strings.HasPrefix(item.Key, prefixServing)
	}
	if !stoodBy || !othersServe {
		return
	}
	f.resumedStandby.Store(true)
	f.followAll.Store(false)
	f.send(ctx, update{batch: coll.Some(batch), complete: true, prefix: PrefixMembers})
	r.revision, r.loaded, r.stale = batch.Revision, true, false
}

// readKeys reads all keys that this VM follows.
func (f *Follower) readKeys(ctx context.Context, r *readProgress) {
	start, scope := f.newCallStart(), f.nextScope(r.stale)
	batch, err := f.readPrefix(ctx, scope.prefix, r.timeout, r.stale)
	if err != nil {
		f.handleFailedRead(ctx, r, start, err)
		return
	}
	r.timeout, r.failures = minReadTimeout, 0
	kind := currentRange
	if r.stale {
		kind = staleRange
	}
	f.send(ctx, update{start: start, batch: coll.Some(batch), complete: true, prefix: scope.prefix, confirms: kind.confirms(scope.prefix, false)})
	r.revision, r.loaded = max(r.revision, batch.Revision), true
}

// handleFailedRead records a failed read. While there is no configuration, it asks other
// VMs for a snapshot.
func (f *Follower) handleFailedRead(ctx context.Context, r *readProgress, start callStart, err error) {
	r.timeout = min(2*r.timeout, maxReadTimeout)
	f.handleFailedCall(ctx, r, start, err)
	if f.View().Table == nil && !r.peerAnswered {
		r.peerAnswered = f.adoptPeerSnapshot(ctx)
		// A stale read may be older than the snapshot.
		r.stale = r.stale && !r.peerAnswered
	}
}

// adoptPeerSnapshot uses the snapshot of another VM in place of a first read, and reports
// whether there was one.
func (f *Follower) adoptPeerSnapshot(ctx context.Context) bool {
	if f.options.Peers == nil {
		return false
	}
	start := f.newCallStart()
	snapshot, age, err := f.options.Peers.FetchSnapshot(ctx)
	if err != nil {
		f.state.events.Sample("peers_unknowing", "beliefs", err.Error())
		return false
	}
	start.at = start.at.Add(-age)
	f.send(ctx, update{start: start, snapshot: snapshot})
	return true
}

// checkPeersForNewerConfig asks other VMs once, after the first read, whether they know a
// newer configuration than the store, which may have come back from an older copy. A VM
// that stands by doesn't ask.
func (f *Follower) checkPeersForNewerConfig(ctx context.Context) {
	if f.options.Peers == nil {
		return
	}
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return
	}
	for range peerCheckTries {
		if !sleep.For(ctx, peerCheckDelay) {
			return
		}
		table := f.View().Table
		if table == nil || !f.followAll.Load() {
			return
		}
		config, err := f.options.Peers.FetchNewerConfig(ctx, table.Config().Version)
		if err != nil {
			f.state.events.Sample("peers_unknowing", "config", err.Error())
			continue
		}
		if config != nil {
			f.send(ctx, update{config: config})
		}
		return
	}
}

// readChanges waits for changes. After some, it pauses so that more accumulate.
func (f *Follower) readChanges(ctx context.Context, r *readProgress) {
	start, scope := f.newCallStart(), f.nextScope(r.stale)
	batch, reread, err := f.watch(ctx, r.revision, scope)
	if reread {
		r.loaded = false
		return
	}
	if err != nil {
		if errors.Is(err, depot.ErrCompacted) {
			// Another stale read might again be older than the start of the history.
			r.loaded, r.stale = false, false
		}
		f.handleFailedCall(ctx, r, start, err)
		return
	}
	r.failures = 0
	r.revision = max(r.revision, batch.Revision)
	backlog := isBacklog(batch)
	f.send(ctx, update{start: start, batch: coll.Some(batch), confirms: watchedChanges.confirms(scope.prefix, backlog)})
	if backlog {
		return
	}
	pause := len(batch.Items) > 0 || r.stale
	r.stale = false
	if pause && f.waitForMoreChanges(ctx) {
		r.loaded = false
	}
}

// handleFailedCall records a failed call, and pauses from the second consecutive one on. While
// the VM stands by, the pause doubles with each failure.
func (f *Follower) handleFailedCall(ctx context.Context, r *readProgress, start callStart, err error) {
	f.send(ctx, update{start: start, err: err})
	if r.failures++; r.failures <= 1 {
		return
	}
	if f.followAll.Load() {
		sleep.For(ctx, retryPause())
		return
	}
	if reread := f.pause(ctx, standbyRetryPause(r.failures)); reread {
		r.loaded = false
	}
}

// isBacklog reports whether an answer to a watch is so large that more changes probably
// follow.
func isBacklog(batch depot.Batch) bool {
	size := 0
	for _, item := range batch.Items {
		size += len(item.Value)
	}
	return len(batch.Items) >= backlogItems || size >= backlogBytes
}

func (f *Follower) readPrefix(ctx context.Context, prefix string, timeout time.Duration, stale bool) (depot.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.depot.Range(ctx, prefix, stale)
}

// watchScope says which keys a read or a watch covers, and how long the watch waits.
type watchScope struct {
	prefix string
	wait   time.Duration
}

// nextScope returns the scope of the next call. After a stale read, the watch returns at
// once with all changes since.
func (f *Follower) nextScope(stale bool) watchScope {
	switch {
	case stale:
		return watchScope{allKeys, confirmWatchWait}
	case f.followAll.Load():
		return watchScope{allKeys, time.Duration(watchWaitShare * float64(f.options.CatchUpTime))}
	default:
		return watchScope{prefixServing, standbyWatchWait}
	}
}

// watch waits for changes. reread is set if the wait was interrupted to read all keys.
func (f *Follower) watch(ctx context.Context, revision depot.Position, scope watchScope) (batch depot.Batch, reread bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-f.reread:
			cancel()
			interrupted <- true
		case <-ended:
			interrupted <- false
		}
	}()
	batch, err = f.depot.Watch(ctx, scope.prefix, revision, scope.wait)
	close(ended)
	return batch, <-interrupted, err
}

// waitForMoreChanges pauses so that changes accumulate. It reports whether all keys are
// to be read.
func (f *Follower) waitForMoreChanges(ctx context.Context) bool {
	pause := standbyBatchDelay
	if f.followAll.Load() {
		pause = f.options.BatchDelay
	}
	return f.pause(ctx, pause)
}

// pause waits for d. It reports whether the wait was interrupted to read all keys.
func (f *Follower) pause(ctx context.Context, d time.Duration) (reread bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.reread:
		return true
	case <-timer.C:
		return false
	}
}

// standbyRetryPause returns the pause after a number of consecutive failures of a VM that stands
// by. Most VMs of a large fleet stand by, and none of their callers waits for the store.
func standbyRetryPause(failures int) time.Duration {
	doublings := min(failures-2, maxPauseDoublings)
	return min(retryPause()<<doublings, maxStandbyRetryPause)
}

func retryPause() time.Duration {
	return minRetryPause + rand.N(maxRetryPause-minRetryPause)
}
