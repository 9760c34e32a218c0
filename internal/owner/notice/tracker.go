// Package notice tracks what backend servers announce in their answers: that they
// are leaving, that they want no requests from this VM for some time, or that they take
// only so many requests per second from all VMs.
package notice

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

const (
	// leavingRetention is the time for which a notice of leaving is kept after the
	// process was last seen as registered.
	leavingRetention = 10 * time.Minute
	// jitterFraction is the largest fraction of a backoff by which it is extended at
	// random, so that VMs do not resume at the same time. maxJitter caps the jitter.
	jitterFraction = 0.1
	maxJitter      = time.Second
	// defaultMaxBackoff is the default of Options.MaxBackoff.
	defaultMaxBackoff = 30 * time.Second
)

// Process identifies one process of a backend server.
type Process struct {
	ID ident.ServerID
	// Born is the start of the process in Unix milliseconds, or 0 if unknown. It
	// distinguishes successive processes with the same ID.
	Born int64
}

// Notice is what a server announced in an answer.
type Notice struct {
	// Leaving is set if the server is leaving and will take no more new requests.
	Leaving bool
	// Backoff is the time for which the server wants no requests from this VM, or 0.
	Backoff time.Duration
	// Limit is the limit in force, or Unlimited. It is absent if the answer doesn't tell.
	Limit coll.Option[Limit]
}

// BlocksRequests reports whether the server must not be sent requests now.
func (n Notice) BlocksRequests() bool {
	return n.Leaving || n.Backoff > 0
}

// Options holds the settings of a Tracker. The zero value selects the defaults.
type Options struct {
	// MaxBackoff caps the backoff that a server may ask for, before the jitter.
	MaxBackoff time.Duration
	// Events logs the notices. It may be nil.
	Events *events.Recorder
}

// Tracker holds the notices of all backend servers. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu      sync.RWMutex
	notices map[Process]entry
}

// entry holds the notices of one process.
type entry struct {
	leaving bool
	// lastLeavingAt is the time of the last notice of leaving, or the time at which the
	// leaving process was last seen as registered, whichever is later.
	lastLeavingAt time.Time
	backoffUntil  time.Time
	// limit is nil if the server has none.
	limit *LimitState
}

// NewTracker returns a tracker without notices.
func NewTracker(options Options) *Tracker {
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = defaultMaxBackoff
	}
	return &Tracker{options: options, notices: map[Process]entry{}}
}

// Observe records the notice of an answer that was read at now. A backoff does not
// shorten an earlier one that ends later.
func (t *Tracker) Observe(now time.Time, p Process, n Notice) {
	if !n.BlocksRequests() && !t.changesLimit(p, n) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.notices[p]
	if n.Leaving && !e.leaving {
		t.options.Events.Record("server_leaving", string(p.ID), "announced in its answer", slog.Int64("born", p.Born))
	}
	if n.Leaving {
		e.leaving, e.lastLeavingAt = true, now
	}
	if n.Backoff > 0 {
		backoff := min(n.Backoff, t.options.MaxBackoff)
		until := now.Add(backoff + time.Duration(rand.Float64()*float64(min(time.Duration(jitterFraction*float64(backoff)), maxJitter))))
		if until.After(e.backoffUntil) {
			e.backoffUntil = until
			t.options.Events.Sample("server_quiet", string(p.ID), "requested in its refusal", slog.Duration("quiet", backoff))
		}
	}
	if limit, told := n.Limit.Get(); told {
		e.limit = t.updateLimit(now, p, e.limit, limit)
	}
	t.notices[p] = e
}

// Get returns the notice in force for a process at now. Its Backoff is the time that is
// left.
func (t *Tracker) Get(now time.Time, p Process) Notice {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.notices[p]
	n := Notice{Leaving: e.leaving, Backoff: max(e.backoffUntil.Sub(now), 0), Limit: coll.Some(Unlimited)}
	if e.limit != nil {
		n.Limit = coll.Some(e.limit.Limit)
	}
	return n
}

// Sweep removes the notices that are no longer in force. That of a leaving process is
// kept while the process is registered and for leavingRetention after that, because a
// registration may lapse and come back. A limit is kept while the process is registered.
// Sweep is to be called regularly.
func (t *Tracker) Sweep(now time.Time, registered func(Process) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.notices {
		if (e.leaving || e.limit != nil) && registered(p) {
			e.lastLeavingAt = now
			t.notices[p] = e
			continue
		}
		if !now.Before(e.backoffUntil) && (!e.leaving || now.Sub(e.lastLeavingAt) >= leavingRetention) {
			delete(t.notices, p)
		}
	}
}
