package client

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnsent is returned by Write if the guard does not allow the request.
var errUnsent = errors.New("client: not sent")

// conn is one connection to a backend server. It records whether anything of the current
// request was written.
type conn struct {
	net.Conn
	// guard reports whether the current request may still be sent. It is called right
	// before the first byte is written. nil allows all requests.
	guard      func() bool
	wrote      bool
	handedOver bool
	closed     atomic.Bool
	openConns  *atomic.Int64
	// raw gives access to the file descriptor, or is nil if there is none.
	raw     syscall.RawConn
	peek    func(fd uintptr) bool
	peekErr error
	peeked  [1]byte
}

// newConn wraps a connection and counts it in openConns until it is closed.
func newConn(inner net.Conn, openConns *atomic.Int64) *conn {
	openConns.Add(1)
	c := &conn{Conn: inner, openConns: openConns}
	c.peek = c.peekByte
	if fd, ok := inner.(syscall.Conn); ok {
		c.raw, _ = fd.SyscallConn()
	}
	return c
}

// begin sets the guard for the next request. It must be called before each request.
func (c *conn) begin(guard func() bool) {
	c.guard = guard
	c.wrote = false
}

// Write implements net.Conn. It returns errUnsent if the guard refuses the request.
func (c *conn) Write(p []byte) (int, error) {
	if !c.wrote {
		if c.guard != nil && !c.guard() {
			return 0, errUnsent
		}
		c.wrote = true
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.openConns.Add(-1)
	return c.Conn.Close()
}

// abort closes the connection with a TCP reset and discards data that is not sent yet.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// checkIdle reports whether an idle connection is open and has no unread data. Such data
// belongs to no request, so the connection must not be used.
func (c *conn) checkIdle() (bool, error) {
	if c.raw == nil {
		return true, nil
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false, err
	}
	if errors.Is(c.peekErr, syscall.EAGAIN) {
		return true, nil
	}
	return false, c.peekErr
}

// peekByte checks for unread data without consuming it, and sets peekErr.
func (c *conn) peekByte(fd uintptr) bool {
	_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}
