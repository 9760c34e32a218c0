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
	guard  func() bool
	wrote  bool
	taken  bool
	closed atomic.Bool
	open   *atomic.Int64
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
	c.open.Add(-1)
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
func (c *conn) quiet() (bool, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, nil
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return false, err
	}
	if errors.Is(peekErr, syscall.EAGAIN) {
		return true, nil
	}
	return false, peekErr
}
