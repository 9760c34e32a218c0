package accept

import (
	"container/list"
	"net"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

// Conn is a connection of a Listener. It is idle until SetActive.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// holder accounts for the memory that is held for the connection. It is nil without a
	// budget.
	holder *budget.Holder

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

// Holder returns what accounts for the memory that is held for a connection of a Listener.
// It is nil for other connections. It gives back everything when the connection becomes idle
// or is closed by its user.
func Holder(conn net.Conn) *budget.Holder {
	if c, ok := conn.(*Conn); ok {
		return c.holder
	}
	return nil
}

// SetIdle marks a connection of a Listener as idle, so that it may be closed. It ignores
// other connections.
func SetIdle(conn net.Conn, now time.Time) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.holder.Release()
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

// Close closes the connection and gives back its memory. Only the user of the connection calls
// it.
func (c *Conn) Close() error {
	c.holder.Release()
	return c.close()
}

// close closes the connection. What it holds is given back when its user has noticed that.
func (c *Conn) close() error {
	c.listener.mu.Lock()
	c.removeIdle()
	if !c.closed {
		c.closed = true
		c.listener.open--
	}
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Write writes p in pieces, each of which is progress of the other side. It fails if there is
// none for as long as the listener allows.
func (c *Conn) Write(p []byte) (written int, err error) {
	for first := true; err == nil && (first || written < len(p)); first = false {
		if stall := c.listener.options.WriteStall; stall > 0 {
			if err = c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
				return written, err
			}
		}
		var n int
		n, err = c.TCPConn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		c.holder.Progress()
	}
	return written, err
}

// closeEvicted closes a connection that was taken from the idle ones. c may be nil.
func (c *Conn) closeEvicted() {
	if c != nil {
		// Its reader closes it again, and reports that error.
		_ = c.close()
	}
}

// removeIdle removes the connection from the idle ones. The listener's mutex must be held.
func (c *Conn) removeIdle() {
	if c.element != nil {
		c.listener.idle.Remove(c.element)
		c.element = nil
	}
}

// closeForMemory closes a connection that has held most memory for longest. Data that was not
// delivered yet is dropped, so that the system doesn't hold it instead.
func (c *Conn) closeForMemory() {
	// The user of the connection gets the error of its next call.
	_ = c.SetLinger(0)
	_ = c.close()
	if c.listener.options.Closed != nil {
		c.listener.options.Closed()
	}
}
