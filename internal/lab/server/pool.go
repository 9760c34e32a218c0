package server

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// pool tracks the open connections of a backend server and enforces the
// connection limit. It is safe for concurrent use.
type pool struct {
	gate             gate
	limit            int
	chargeConnection func()
	currentRun       func() int

	mu       sync.Mutex
	conns    map[*conn]struct{}
	peak     int
	accepted int
	refused  int
}

func newPool(limit int, connect func(), run func() int) *pool {
	return &pool{limit: limit, chargeConnection: connect, currentRun: run, conns: map[*conn]struct{}{}}
}

// listener adds the connections it accepts to a pool.
type listener struct {
	net.Listener
	pool *pool
}

// Accept implements net.Listener. It resets connections above the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, pool: l.pool, run: l.pool.currentRun(), closed: make(chan struct{})}
		if l.pool.add(c) {
			return c, nil
		}
		c.reset()
	}
}

// add adds a connection and reports whether the limit allowed it.
func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && len(p.conns) >= p.limit {
		p.refused++
		return false
	}
	p.conns[c] = struct{}{}
	p.accepted++
	p.peak = max(p.peak, len(p.conns))
	return true
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// open returns the open connections.
func (p *pool) open() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.conns))
}

// reset resets all connections.
func (p *pool) reset() {
	for _, c := range p.open() {
		c.reset()
	}
}

// silence makes the connections that are open now drop all data.
func (p *pool) silence() {
	for _, c := range p.open() {
		c.silent.Store(true)
	}
}

// fillStats sets the fields of s that describe connections.
func (p *pool) fillStats(s *Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Connections = len(p.conns)
	s.ConnectionPeak = p.peak
	s.ConnectionsAccepted = p.accepted
	s.ConnectionExcess = p.refused
}
