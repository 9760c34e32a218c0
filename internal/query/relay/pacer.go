package relay

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

const (
	// maxInterval bounds the interval between requests, so that it fits a Duration.
	maxInterval = time.Hour
	// spreadValidity is how long a request that is due may be sent if Pace.Spread is set.
	spreadValidity = 500 * time.Millisecond
)

// Pacer spaces the requests of this VM to backend servers that take only a limited rate
// from all VMs together, such as those in cold start. It is safe for concurrent use.
type Pacer struct {
	paceOf func(now time.Time, replica *roster.Replica) Pace
	// start is when this process started. It counts as a request to each server,
	// because the previous process of this VM may have sent one right before.
	start time.Time
	// phase is the part of an interval, from 0 to 1, after which a request is due that no
	// earlier one spaces, if Pace.Spread is set. It is random, and the same for all servers
	// so that the shards of a search become available together.
	phase float64

	mu       sync.Mutex
	lastSent map[ident.ServerID]time.Time
}

// Pace is the rate at which this VM may send requests to a backend server.
type Pace struct {
	// Rate is in requests per second: 0 for none, +Inf for no limit.
	Rate float64
	// Since is when this VM learned that the rate is limited. It may be zero.
	Since time.Time
	// Spread is set if VMs must not save up requests, because they are so many that all of
	// them must not send one at the same time.
	Spread bool
}

// spaces reports whether requests are spaced, rather than unlimited or not allowed.
func (p Pace) spaces() bool {
	return p.Rate > 0 && !p.isUnlimited()
}

// interval returns the time between two requests, if they are spaced.
func (p Pace) interval() time.Duration {
	return time.Duration(min(1/p.Rate, maxInterval.Seconds()) * float64(time.Second))
}

func (p Pace) isUnlimited() bool {
	return math.IsInf(p.Rate, 1)
}

// NewPacer returns a pacer for a process that started at start. paceOf returns this VM's
// part of the rate of a backend server.
func NewPacer(paceOf func(now time.Time, replica *roster.Replica) Pace, start time.Time) *Pacer {
	return &Pacer{paceOf: paceOf, start: start, phase: rand.Float64(), lastSent: map[ident.ServerID]time.Time{}}
}

// Limits reports whether the rate of requests to the server is limited.
func (p *Pacer) Limits(now time.Time, replica *roster.Replica) bool {
	return !p.paceOf(now, replica).isUnlimited()
}

// Wait returns the time until a request may be sent to the server, or 0 if it may be sent
// now. ok is false if this VM may send it none.
func (p *Pacer) Wait(now time.Time, replica *roster.Replica) (wait time.Duration, ok bool) {
	pace := p.paceOf(now, replica)
	if !pace.spaces() {
		return 0, pace.isUnlimited()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.next(now, replica.ID, pace).Sub(now), 0), true
}

// Take counts a request to the server and returns true if it may be sent now.
func (p *Pacer) Take(now time.Time, replica *roster.Replica) bool {
	_, ok := p.Reserve(now, replica, 0)
	return ok
}

// Reserve counts a request to the server that will be sent after the returned wait, which
// is at most within. ok is false, and nothing is counted, if that is not possible.
func (p *Pacer) Reserve(now time.Time, replica *roster.Replica, within time.Duration) (wait time.Duration, ok bool) {
	pace := p.paceOf(now, replica)
	if !pace.spaces() {
		return 0, pace.isUnlimited()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.next(now, replica.ID, pace)
	if wait = max(at.Sub(now), 0); wait > within {
		return wait, false
	}
	p.lastSent[replica.ID] = now.Add(wait)
	return wait, true
}

// Return takes back a request that was counted and not sent, unless a later one was
// reserved since.
func (p *Pacer) Return(now time.Time, replica *roster.Replica) {
	pace := p.paceOf(now, replica)
	if !pace.spaces() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastSent[replica.ID].After(now) {
		p.lastSent[replica.ID] = now.Add(-pace.interval())
	}
}

// Retain forgets the servers for which keep is false.
func (p *Pacer) Retain(keep func(id ident.ServerID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	coll.Retain(p.lastSent, keep)
}

// next returns the time from which on a request may be sent to a server.
func (p *Pacer) next(now time.Time, id ident.ServerID, pace Pace) time.Time {
	interval := pace.interval()
	lastSent, sent := p.lastSent[id]
	unspaced := !sent || lastSent.Before(pace.Since)
	if unspaced {
		lastSent = p.start
		if pace.Since.After(p.start) {
			lastSent = pace.Since
		}
	}
	next := lastSent.Add(interval)
	if !pace.Spread {
		return next
	}
	offset := time.Duration(p.phase * float64(interval))
	if unspaced {
		next = lastSent.Add(offset)
	}
	if now.Sub(next) > spreadValidity {
		next = now.Add(offset)
	}
	p.lastSent[id] = next.Add(-interval)
	return next
}
