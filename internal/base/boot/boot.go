// Package boot measures how long the machine has been suspended since it booted.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the total time for which the machine has been suspended since
// it booted. The monotonic clock that the Go runtime uses does not include that
// time. Suspended is safe for concurrent use.
func Suspended() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// Now returns the time since the machine booted, including the time for which it was
// suspended. It never goes back, and the wall clock doesn't affect it. Now is safe for
// concurrent use.
func Now() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME)
}

// readClock returns the time of a clock. It panics on an error, which does not
// occur: every kernel that runs Go programs has the clocks used here.
func readClock(clock int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
