package dispatcher

import (
	"sync"
	"time"
)

// SuspensionDetector detects that the process was suspended recently. What it reads then may
// have been queued in its sockets all that time: a caller that has long closed its connection and sent
// its job again elsewhere looks like a new one, and its tasks would run twice at a time. So
// for a short time after a suspension, a new job is held until the end of its connection
// would have been read as well. A SuspensionDetector is safe for concurrent use.
type SuspensionDetector struct {
	mu          sync.Mutex
	initialized bool
	offset      time.Duration // of the clock that counts suspended time over the other
	resumedAt   time.Time
}

const (
	// minSuspension is the least jump between the two clocks that counts as a suspension; it
	// is far shorter than the time after which a caller sends a job again.
	minSuspension = 200 * time.Millisecond
	// staleRequestPeriod is how long after a suspension a request may have been in a socket.
	staleRequestPeriod = 300 * time.Millisecond
	// suspensionHold is how long such a request is held: some scheduling rounds of a busy CPU.
	suspensionHold = 30 * time.Millisecond
)

// Hold returns how long a job that arrived now must be held before it is submitted. now
// counts suspended time, and steady does not.
func (w *SuspensionDetector) Hold(now time.Time, steady time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := now.Sub(time.Unix(0, 0)) - steady
	if w.initialized && offset-w.offset > minSuspension {
		w.resumedAt = now
	}
	w.initialized, w.offset = true, offset
	if w.resumedAt.IsZero() || now.Sub(w.resumedAt) >= staleRequestPeriod {
		return 0
	}
	return suspensionHold
}

// Stall returns how long the process has handled nothing while jobs are open, if that exceeds
// MaxStall: it got no CPU or was suspended. Otherwise it returns zero.
//
// Callers may have disconnected meanwhile and sent their jobs to other entries, and an agent's
// frame may be read before the ends of these connections. The driver must pass such callers to
// CallerDisconnected before the next input, or that input may order tasks that run elsewhere.
func (d *Dispatcher) Stall(now time.Time) time.Duration {
	stall := now.Sub(d.lastReadyAt)
	if len(d.jobs) == 0 || stall <= d.opts.Timeouts.MaxStall {
		return 0
	}
	return stall
}
