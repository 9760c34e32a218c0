// Package boot tells for how long the machine was suspended.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time for which the machine has been suspended since it
// booted. The steady clock, by which the Go runtime measures, does not count it. It
// is safe for concurrent use.
func Suspended() time.Duration {
	return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC)
}

// read reads a clock that every kernel has on which Go programs run.
func read(clock int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
