package lane

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnsent is returned by a write that the guard refused.
var errUnsent = errors.New("lane: not sent")

// conn is one connection to a backend server. It knows whether the present
// request may have left this process.
type conn struct {
	net.Conn
	// guard is asked once per request, right before its first byte is written.
	guard      func() bool
	wrote      bool
	handedOver bool
	closed     atomic.Bool
	openConns  *atomic.Int64
	// raw is nil if the connection has no file descriptor.
	raw     syscall.RawConn
	peek    func(fd uintptr) bool
	peekErr error
	peeked  [1]byte
}

// newConn wraps a connection and counts it in open until it is closed.
func newConn(inner net.Conn, open *atomic.Int64) *conn {
	open.Add(1)
	c := &conn{Conn: inner, openConns: open}
	c.peek = c.peekByte
	if fd, ok := inner.(syscall.Conn); ok {
		c.raw, _ = fd.SyscallConn()
	}
	return c
}

// begin prepares the connection for a request.
func (c *conn) begin(guard func() bool) {
	c.guard = guard
	c.wrote = false
}

// Write implements net.Conn.
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

// abort closes the connection and discards what has not left this process.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request.
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

// peekByte looks for a byte to read without taking it.
func (c *conn) peekByte(fd uintptr) bool {
	_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}
