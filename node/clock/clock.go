// Package clock reads a clock that includes the time during which the machine was
// suspended. The process's monotonic clock stops then, while leases expire and peers
// and callers go on: by that clock, a process that resumes would take its state for
// more recent than it is.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary point in the past, as a time.Time. It can
// be compared only with other results of Now in the same process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Old kernels lack this clock; only the monotonic clock is available there.
		return time.Now()
	}
	return time.Unix(t.Sec, t.Nsec)
}

// processStart is the origin of the monotonic time.
var processStart = time.Now()

// Monotonic returns the time since the process started by its monotonic clock, which
// stops while the machine is suspended.
func Monotonic() time.Duration { return time.Since(processStart) }
