package roster

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// reading is how far the store was read.
type reading struct {
	revision ident.Revision
	// known is set once all keys were read; changes are followed from then on.
	known bool
	// stale is set until the first reading of a process is made up for.
	stale bool
	// told is set once another VM told what is in force, while the store does not answer.
	told bool
	// timeout bounds the next reading of all keys.
	timeout time.Duration
	// failures counts the failed calls in a row.
	failures int
}

// read calls the store: all keys once, then watches from there on. After lost
// history, and when the VM begins to serve, it reads all keys again. The first reading of
// a process may be stale, as many start together; the watch that follows makes up for it.
func (f *Follower) read(ctx context.Context) {
	r := &reading{stale: true, timeout: firstReadTimeout}
	f.resume(ctx, r)
	for ctx.Err() == nil {
		if f.isRefreshDue() {
			r.known = false
		}
		if r.known {
			f.readChanges(ctx, r)
		} else {
			f.readKeys(ctx, r)
		}
	}
}

// isRefreshDue reports whether all keys are to be read although no wait was ended for it,
// as while calls fail at once.
func (f *Follower) isRefreshDue() bool {
	select {
	case <-f.refresh:
		return true
	default:
		return false
	}
}

// resume reads the registrations of VMs. If this VM stood by before it started again, and
// others serve, it goes on so without reading all keys: after a loss of all power, those
// that serve need the store for themselves.
func (f *Follower) resume(ctx context.Context, r *reading) {
	batch, err := f.readAll(ctx, PrefixMembers, r.timeout, true)
	if err != nil {
		f.unread(ctx, r, err)
		return
	}
	stoodBy, othersServe := false, false
	for _, item := range batch.Items {
		stoodBy = stoodBy || item.Key == prefixStandby+string(f.book.self)
		othersServe = othersServe || strings.HasPrefix(item.Key, prefixServing)
	}
	if !stoodBy || !othersServe {
		return
	}
	f.resumed.Store(true)
	f.active.Store(false)
	f.send(ctx, note{batch: coll.Some(batch), whole: true, prefix: PrefixMembers})
	r.revision, r.known, r.stale = batch.Revision, true, false
}

// readKeys reads all keys that this VM follows.
func (f *Follower) readKeys(ctx context.Context, r *reading) {
	asked, about := f.asking(), f.scope(r.stale)
	batch, err := f.readAll(ctx, about.prefix, r.timeout, r.stale)
	if err != nil {
		f.unread(ctx, r, err)
		return
	}
	r.timeout, r.failures = firstReadTimeout, 0
	f.send(ctx, note{asked: asked, batch: coll.Some(batch), whole: true, prefix: about.prefix, confirms: !r.stale && about.prefix == watchAll})
	r.revision, r.known = max(r.revision, batch.Revision), true
}

// unread notes a reading that failed. While this VM knows no configuration, it asks other
// VMs.
func (f *Follower) unread(ctx context.Context, r *reading, err error) {
	r.timeout = min(2*r.timeout, lastReadTimeout)
	f.fail(ctx, r, err)
	if f.View().Table == nil && !r.told {
		r.told = f.askPeers(ctx)
	}
}

// askPeers takes the beliefs of another VM in place of a first reading, and reports
// whether there are any.
func (f *Follower) askPeers(ctx context.Context) bool {
	if f.options.Peers == nil {
		return false
	}
	asked := f.asking()
	snapshot, age, err := f.options.Peers.FetchSnapshot(ctx)
	if err != nil {
		f.book.events.Sample("peers_unknowing", "beliefs", err.Error())
		return false
	}
	asked.at = asked.at.Add(-age)
	f.send(ctx, note{asked: asked, snapshot: snapshot})
	return true
}

// readChanges waits for changes, and lets more gather after some.
func (f *Follower) readChanges(ctx context.Context, r *reading) {
	asked, about := f.asking(), f.scope(r.stale)
	batch, refresh, err := f.watch(ctx, r.revision, about)
	if refresh {
		r.known = false
		return
	}
	if err != nil {
		if errors.Is(err, depot.ErrCompacted) {
			// A stale reading may lie before the history again.
			r.known, r.stale = false, false
		}
		f.fail(ctx, r, err)
		return
	}
	r.failures = 0
	r.revision = max(r.revision, batch.Revision)
	behind := isBacklog(batch)
	f.send(ctx, note{asked: asked, batch: coll.Some(batch), confirms: !behind && about.prefix == watchAll})
	if behind {
		return
	}
	gather := len(batch.Items) > 0 || r.stale
	r.stale = false
	if gather && f.rest(ctx) {
		r.known = false
	}
}

// fail notes a failed call, and pauses after the second one in a row.
func (f *Follower) fail(ctx context.Context, r *reading, err error) {
	f.send(ctx, note{err: err})
	if r.failures++; r.failures > 1 {
		sleep.For(ctx, retryPause())
	}
}

// isBacklog reports whether an answer to a watch is so large that more changes are
// probably left.
func isBacklog(batch depot.Batch) bool {
	size := 0
	for _, item := range batch.Items {
		size += len(item.Value)
	}
	return len(batch.Items) >= backlogItems || size >= backlogBytes
}

func (f *Follower) readAll(ctx context.Context, prefix string, timeout time.Duration, stale bool) (depot.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.depot.Range(ctx, prefix, stale)
}

// scope is what a watch is about, and how long it waits.
type scope struct {
	prefix string
	wait   time.Duration
}

// scope returns that of the next watch. After a stale reading all changes since are told
// at once.
func (f *Follower) scope(stale bool) scope {
	switch {
	case stale:
		return scope{watchAll, confirmWait}
	case f.active.Load():
		return scope{watchAll, time.Duration(touchPart * float64(f.options.CatchUpTime))}
	default:
		return scope{prefixServing, standbyWait}
	}
}

// watch waits for changes. refresh is set if the wait was ended to read all
// keys.
func (f *Follower) watch(ctx context.Context, revision ident.Revision, about scope) (batch depot.Batch, refresh bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-f.refresh:
			cancel()
			interrupted <- true
		case <-ended:
			interrupted <- false
		}
	}()
	batch, err = f.depot.Watch(ctx, about.prefix, revision, about.wait)
	close(ended)
	return batch, <-interrupted, err
}

// rest lets changes gather. It reports whether all keys are to be read.
func (f *Follower) rest(ctx context.Context) bool {
	pause := standbyGather
	if f.active.Load() {
		pause = f.options.BatchDelay
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.refresh:
		return true
	case <-timer.C:
		return false
	}
}

func retryPause() time.Duration {
	return minRetry + rand.N(maxRetry-minRetry)
}
