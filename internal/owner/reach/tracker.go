// Package reach tracks which backend servers this VM can connect to. A server that
// answers errors is reachable; one that refuses connections or doesn't respond is not. A
// VM that reaches hardly any server may itself be partitioned from them.
package reach

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

const (
	// horizon is the age up to which an observation counts. Servers that can't be reached
	// are probed several times within it.
	horizon = 2 * time.Second
	// silentAfter is the time without any data from a server, while it has requests, after
	// which the server counts as silent.
	silentAfter = 300 * time.Millisecond
	// minServers is the least number of unreachable or silent servers that say something
	// about this VM rather than about the servers.
	minServers = 3
	// partitionedShare is the unreachable share of the servers from which on this VM counts
	// as partitioned, and restoredShare that below which it no longer does.
	partitionedShare = 0.8
	restoredShare    = 0.5
)

// link is what was observed last of the link to one backend server.
type link struct {
	// reached says whether the latest observation, at observedAt, was data or a new
	// connection, rather than a failure to connect. observedAt is zero if there is none.
	reached    bool
	observedAt time.Time
	// waitingSince is the time of the first request since the last data, or zero.
	waitingSince time.Time
}

// Tracker collects observations of the links to backend servers. It is safe for
// concurrent use.
type Tracker struct {
	mu    sync.Mutex
	links map[ident.ServerID]*link
	// lastReached is the time of the latest data or new connection from any server.
	lastReached time.Time
	// state is what the last Update found.
	state State
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{links: map[ident.ServerID]*link{}}
}

func (t *Tracker) link(id ident.ServerID) *link {
	l := t.links[id]
	if l == nil {
		l = &link{}
		t.links[id] = l
	}
	return l
}

// Sent records that a request was sent to a server on an open connection.
func (t *Tracker) Sent(now time.Time, id ident.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.link(id); l.waitingSince.IsZero() {
		l.waitingSince = now
	}
}

// Reached records that data arrived from a server, or that a connection to it was opened.
func (t *Tracker) Reached(now time.Time, id ident.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*t.link(id) = link{reached: true, observedAt: now}
	t.lastReached = now
}

// Unreached records that no connection to a server could be opened. began is when the
// attempt to open it began; data that arrived since then outweighs it.
func (t *Tracker) Unreached(began, now time.Time, id ident.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	if l.reached && l.observedAt.After(began) {
		return
	}
	l.reached, l.observedAt = false, now
}

// State counts the servers by what was observed within the last two seconds.
type State struct {
	Reached   int `json:"reached"`
	Unreached int `json:"unreached"`
	// Partitioned is set if so few servers can be reached that this VM itself seems to be
	// partitioned from them.
	Partitioned bool `json:"partitioned"`
	// Suspected is set if nothing arrives from any server although several have requests, so
	// that new connections are about to show whether this VM is partitioned.
	Suspected bool `json:"suspected"`
}

// MayBePartitioned reports whether requests had better be sent by another VM.
func (s State) MayBePartitioned() bool {
	return s.Partitioned || s.Suspected
}

// Update returns the state at now.
func (t *Tracker) Update(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s State
	for _, l := range t.links {
		switch {
		case l.observedAt.IsZero() || now.Sub(l.observedAt) > horizon:
		case l.reached:
			s.Reached++
		default:
			s.Unreached++
		}
	}
	share := float64(s.Unreached) / float64(max(s.Reached+s.Unreached, 1))
	switch {
	case t.state.Partitioned:
		s.Partitioned = s.Reached == 0 || share >= restoredShare
	default:
		s.Partitioned = s.Unreached >= minServers && share >= partitionedShare
	}
	s.Suspected = len(t.suspects(now)) > 0
	t.state = s
	return s
}

// State returns what the last Update found.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Suspects returns the silent servers if nothing arrived from any server for a while, so
// that new connections should show whether this VM is partitioned. Otherwise it returns
// nil. The order is random.
func (t *Tracker) Suspects(now time.Time) []ident.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects(now)
}

func (t *Tracker) suspects(now time.Time) []ident.ServerID {
	if now.Sub(t.lastReached) < silentAfter {
		return nil
	}
	// A server that is silent for longer than all others is down.
	oldest := t.lastReached.Add(-silentAfter)
	var silent []ident.ServerID
	for id, l := range t.links {
		if !l.waitingSince.IsZero() && l.waitingSince.After(oldest) && now.Sub(l.waitingSince) >= silentAfter {
			silent = append(silent, id)
		}
	}
	if len(silent) < minServers {
		return nil
	}
	return silent
}

// Retain forgets the servers for which keep is false.
func (t *Tracker) Retain(keep func(id ident.ServerID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	coll.Retain(t.links, keep)
}
