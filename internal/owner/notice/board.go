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
	// Quiet is the time for which the server wants no requests from this VM, or 0.
	Quiet time.Duration
}

// Holds reports whether the server gets no requests now.
func (n Notice) Holds() bool {
	return n.Leaving || n.Quiet > 0
}

// Options tunes a Board. The zero value gives the defaults.
type Options struct {
	// MaxQuiet bounds a quiet time.
	MaxQuiet time.Duration
	// Events records who leaves. It may be nil.
	Events *events.Recorder
}

// Board keeps the notices of all backend servers. It is safe for concurrent use.
type Board struct {
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

// NewBoard returns a board without notices.
func NewBoard(options Options) *Board {
	if options.MaxQuiet <= 0 {
		options.MaxQuiet = defaultMaxQuiet
	}
	return &Board{options: options, notices: map[Process]entry{}}
}

// Post takes the notice of an answer that was read at now.
func (b *Board) Post(now time.Time, p Process, n Notice) {
	if !n.Holds() {
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
	if n.Quiet > 0 {
		quiet := min(n.Quiet, b.options.MaxQuiet)
		until := now.Add(quiet + time.Duration(rand.Float64()*float64(min(time.Duration(spreadPart*float64(quiet)), maxSpread))))
		if until.After(e.quietUntil) {
			e.quietUntil = until
			b.options.Events.Sample("server_quiet", string(p.ID), "its refusal says so", slog.Duration("quiet", quiet))
		}
	}
	b.notices[p] = e
}

// Of returns what holds for a process at now. Quiet is the time that is left.
func (b *Board) Of(now time.Time, p Process) Notice {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.notices[p]
	return Notice{Leaving: e.leaving, Quiet: max(e.quietUntil.Sub(now), 0)}
}

// Sweep forgets the notices that are over. That of a process which leaves is kept while
// the process is registered, and for some time beyond: its registration may lapse and
// come back.
func (b *Board) Sweep(now time.Time, registered func(Process) bool) {
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
