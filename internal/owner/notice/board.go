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
	// keepLeaving is the time for which a notice of leaving is kept: the process is gone
	// by then, or registers under another start.
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
	// leavingAt is the time of the last notice of leaving.
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
	if !n.Leaving && n.Quiet <= 0 {
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

// Leaving reports whether a process said that it leaves.
func (b *Board) Leaving(p Process) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.notices[p].leaving
}

// Quiet returns the time for which a process still wants no requests, or 0.
func (b *Board) Quiet(now time.Time, p Process) time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return max(b.notices[p].quietUntil.Sub(now), 0)
}

// Sweep forgets the notices that are over. Whether the process is still registered does
// not matter: its registration may lapse and come back.
func (b *Board) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, e := range b.notices {
		if !now.Before(e.quietUntil) && (!e.leaving || now.Sub(e.leavingAt) >= keepLeaving) {
			delete(b.notices, p)
		}
	}
}
