package accept

import (
	"container/list"
	"net"
	"time"
)

// Conn is a connection of a Listener. It is idle until SetActive.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// The listener's mutex guards the fields below. element is the connection's place among
	// the idle ones, or nil.
	element   *list.Element
	idleSince time.Time
	evicted   bool
	closed    bool
}

// SetActive marks a connection of a Listener as in use, so that it stays open. It ignores
// other connections.
func SetActive(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.removeIdle()
	}
}

// SetIdle marks a connection of a Listener as idle, so that it may be closed. It ignores
// other connections.
func SetIdle(conn net.Conn, now time.Time) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.element == nil && !c.evicted && !c.closed && !c.listener.options.Pinned {
		c.idleSince = now
		c.element = c.listener.idle.PushBack(c)
	}
}

// IsEvicted reports whether a connection was closed because it was idle. A request that has
// crossed this can't be answered.
func IsEvicted(conn net.Conn) bool {
	c, ok := conn.(*Conn)
	if !ok {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.evicted
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.removeIdle()
	if !c.closed {
		c.closed = true
		c.listener.open--
	}
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// closeEvicted closes a connection that was taken from the idle ones. c may be nil.
func (c *Conn) closeEvicted() {
	if c != nil {
		// Its reader closes it again, and reports that error.
		_ = c.Close()
	}
}

// removeIdle removes the connection from the idle ones. The listener's mutex must be held.
func (c *Conn) removeIdle() {
	if c.element != nil {
		c.listener.idle.Remove(c.element)
		c.element = nil
	}
}
