// Package clock reads a clock that also counts the time in which the machine was
// suspended. The process's steady clock stands still then, while leases, peers and
// callers go on: a process that wakes would take its beliefs for younger than they
// are.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since some moment in the past, as a time. It only compares with
// other results of Now in this process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Old kernels lack this clock; the steady clock is then all there is.
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}

// started anchors Steady.
var started = time.Now()

// Steady is the process's steady clock, which stands still while the machine is
// suspended, as the time since the process began.
func Steady() time.Duration { return time.Since(started) }
