// Package notice keeps what backend servers said of themselves in their answers: that
// they leave, or want no requests from this VM for a while.
package notice

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
)

const (
	// keepLeaving is the time for which a notice of leaving is kept after the process
	// was registered.
	keepLeaving = 10 * time.Minute
	// spreadPart is the part of a quiet time by which it is extended at random, so that
	// VMs do not return together, and maxSpread bounds it.
	spreadPart = 0.1
	maxSpread  = time.Second
	// defaultMaxQuiet bounds a quiet time if Options set none.
	defaultMaxQuiet = 30 * time.Second
)

// Process names one process of a backend server.
type Process struct {
	ID ident.ServerID
	// Born tells processes of one ID apart.
	Born int64
}

// Notice is what an answer told.
type Notice struct {
	// Leaving is set if the server takes no new requests for good.
	Leaving bool
	// Backoff is the time for which the server wants no requests from this VM, or 0.
	Backoff time.Duration
}

// BlocksRequests reports whether the server gets no requests now.
func (n Notice) BlocksRequests() bool {
	return n.Leaving || n.Backoff > 0
}

// Options tunes a Board. The zero value gives the defaults.
type Options struct {
	// MaxBackoff bounds a quiet time.
	MaxBackoff time.Duration
	// Events records who leaves. It may be nil.
	Events *events.Recorder
}

// Tracker keeps the notices of all backend servers. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu      sync.RWMutex
	notices map[Process]entry
}

// entry is what is known of one process.
type entry struct {
	leaving bool
	// leavingAt is the time of the last notice of leaving, or at which the process was
	// still registered.
	leavingAt  time.Time
	quietUntil time.Time
}

// NewTracker returns a tracker without notices.
func NewTracker(options Options) *Tracker {
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = defaultMaxQuiet
	}
	return &Tracker{options: options, notices: map[Process]entry{}}
}

// Observe takes the notice of an answer that was read at now.
func (b *Tracker) Observe(now time.Time, p Process, n Notice) {
	if !n.BlocksRequests() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.notices[p]
	if n.Leaving && !e.leaving {
		b.options.Events.Record("server_leaving", string(p.ID), "its answer says so", slog.Int64("born", p.Born))
	}
	if n.Leaving {
		e.leaving, e.leavingAt = true, now
	}
	if n.Backoff > 0 {
		quiet := min(n.Backoff, b.options.MaxBackoff)
		until := now.Add(quiet + time.Duration(rand.Float64()*float64(min(time.Duration(spreadPart*float64(quiet)), maxSpread))))
		if until.After(e.quietUntil) {
			e.quietUntil = until
			b.options.Events.Sample("server_quiet", string(p.ID), "its refusal says so", slog.Duration("quiet", quiet))
		}
	}
	b.notices[p] = e
}

// Get returns what holds for a process at now. Backoff is the time that is left.
func (b *Tracker) Get(now time.Time, p Process) Notice {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.notices[p]
	return Notice{Leaving: e.leaving, Backoff: max(e.quietUntil.Sub(now), 0)}
}

// Sweep forgets the notices that are over. That of a process which leaves is kept while
// the process is registered, and for some time beyond: its registration may lapse and
// come back.
func (b *Tracker) Sweep(now time.Time, registered func(Process) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, e := range b.notices {
		if e.leaving && registered(p) {
			e.leavingAt = now
			b.notices[p] = e
			continue
		}
		if !now.Before(e.quietUntil) && (!e.leaving || now.Sub(e.leavingAt) >= keepLeaving) {
			delete(b.notices, p)
		}
	}
}
