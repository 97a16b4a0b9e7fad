package dispatcher

import (
	"sync"
	"time"
)

// Wake tells whether the process was suspended a moment ago. What it reads then may
// have lain in its sockets all that time: a caller that has long closed its
// connection and sent its job again elsewhere looks like one that has just come, and
// its tasks would run twice at a time. So for an instant after a suspension, a new
// job waits until the end of its connection would have been read as well. A Wake may
// be used from any goroutine.
type Wake struct {
	mu     sync.Mutex
	known  bool
	ahead  time.Duration // of the clock that counts suspended time
	wokeAt time.Time
}

const (
	// suspended is the least jump between the two clocks that counts; less than a
	// caller waits before it sends a job again by far.
	suspended = 200 * time.Millisecond
	// wakeFor is how long after a suspension a request may have lain in a socket.
	wakeFor = 300 * time.Millisecond
	// wakeHold is how long such a request waits: some turns of a busy processor.
	wakeHold = 30 * time.Millisecond
)

// Hold returns how long a job that came now has to wait before it is taken in. Now
// counts suspended time, and steady does not.
func (w *Wake) Hold(now time.Time, steady time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	ahead := now.Sub(time.Unix(0, 0)) - steady
	if w.known && ahead-w.ahead > suspended {
		w.wokeAt = now
	}
	w.known, w.ahead = true, ahead
	if w.wokeAt.IsZero() || now.Sub(w.wokeAt) >= wakeFor {
		return 0
	}
	return wakeHold
}
