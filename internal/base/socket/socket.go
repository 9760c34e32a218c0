// Package socket checks the state of connections without consuming their data.
package socket

import (
	"net"
	"syscall"
)

// IsClosedByPeer reports whether the peer closed or reset the connection and no
// data remains to be read. It returns false for connections that are not backed by
// a socket, and does not block.
func IsClosedByPeer(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = peekErr == nil && n == 0 ||
			peekErr != nil && peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	})
	return closed || err != nil
}
