// Package socket looks at connections without reading from them.
package socket

import (
	"net"
	"syscall"
)

// HasLeft reports whether the peer closed or reset the connection, and has sent nothing
// that is still to be read.
func IsClosedByPeer(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = failed == nil && n == 0 ||
			failed != nil && failed != syscall.EAGAIN && failed != syscall.EINTR
	})
	return left || err != nil
}
