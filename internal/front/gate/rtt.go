package gate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// defaultRoundTrip is the round-trip time to a caller that is assumed until the kernel
// has measured it.
const defaultRoundTrip = 9 * time.Millisecond

// roundTrip returns the smoothed round-trip time of a connection as the kernel
// measured it.
func roundTrip(conn net.Conn) time.Duration {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return defaultRoundTrip
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return defaultRoundTrip
	}
	trip := time.Duration(0)
	err = control.Control(func(fd uintptr) {
		if info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failed == nil {
			trip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil || trip <= 0 {
		return defaultRoundTrip
	}
	return trip
}

// networkOverhead returns the part of a caller's waiting time that its request and the
// answer spend on the network. The first request of a connection also waited for the
// TCP handshake, which takes another round trip.
func networkOverhead(conn net.Conn, first bool) time.Duration {
	trip := roundTrip(conn)
	if first {
		return 2 * trip
	}
	return trip
}
