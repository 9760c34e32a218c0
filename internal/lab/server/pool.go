package server

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// pool holds the open connections of a backend server and enforces their
// limit. It is safe for concurrent use.
type pool struct {
	gate    gate
	limit   int
	connect func()
	run     func() int

	mu        sync.Mutex
	conns     map[*conn]struct{}
	peak      int
	connected int
	excess    int
}

func newPool(limit int, connect func(), run func() int) *pool {
	return &pool{limit: limit, connect: connect, run: run, conns: map[*conn]struct{}{}}
}

// listener accepts connections into a pool.
type listener struct {
	net.Listener
	pool *pool
}

// Accept implements net.Listener. Connections above the limit are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, pool: l.pool, run: l.pool.run(), closed: make(chan struct{})}
		if l.pool.add(c) {
			return c, nil
		}
		c.reset()
	}
}

func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && len(p.conns) >= p.limit {
		p.excess++
		return false
	}
	p.conns[c] = struct{}{}
	p.connected++
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

// silence makes the connections that are open now silent for good.
func (p *pool) silence() {
	for _, c := range p.open() {
		c.silent.Store(true)
	}
}

func (p *pool) fill(s *Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Connections = len(p.conns)
	s.ConnectionPeak = p.peak
	s.ConnectionsAccepted = p.connected
	s.ConnectionExcess = p.excess
}
