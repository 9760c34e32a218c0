package server

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection of a backend server. It can be held up by a gate, fall
// silent for good, and costs the server time when it is new.
type conn struct {
	net.Conn
	pool *pool
	// run is the run of the server's process that accepted the connection.
	run    <-chan struct{}
	silent atomic.Bool
	opened sync.Once
	ending sync.Once
	closed chan struct{}
}

// Read implements net.Conn. Data that reaches a silent connection is lost.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(c.pool.connect)
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		c.pool.gate.wait(c.closed)
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *conn) Write(b []byte) (int, error) {
	c.pool.gate.wait(c.closed)
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.ending.Do(func() {
		close(c.closed)
		c.pool.remove(c)
	})
	return c.Conn.Close()
}

// reset closes the connection so that the peer sees a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
