package server

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection of a backend server. The first read charges the server
// for the new connection. Reads and writes block while the server is frozen, and
// a silent connection drops all data.
type conn struct {
	net.Conn
	pool *pool
	// run is the number of the server's run that accepted the connection.
	run     int
	silent  atomic.Bool
	charge  sync.Once
	closing sync.Once
	closed  chan struct{}
}

// Read implements net.Conn. It drops data that arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	c.charge.Do(c.pool.chargeConnection)
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

// Write implements net.Conn. It drops data written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	c.pool.gate.wait(c.closed)
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() {
		close(c.closed)
		c.pool.remove(c)
	})
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
