package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/node/callerconn"
	"github.com/papayahoist/papayahoist/node/clock"
)

// caller is a request that waits for the answer to a job.
type caller struct {
	ctx context.Context // of the request
	// answer receives the answer. It is closed if the caller was found to be gone.
	answer chan dispatcher.Answer
}

// maxCheckAge is how old the check of a caller's connection may be when the job is admitted.
// Only a job that waits for the lock or for CPU in between exceeds it.
const maxCheckAge = time.Millisecond

// Submit submits a job and waits for its answer. It returns false if ctx ends first, or the
// caller's connection in it has ended (package callerconn). A job that is already present,
// resent over another connection, gets the same answer; it continues until none of its
// callers waits.
func (d *Dispatcher) Submit(ctx context.Context, j dispatcher.Job) (dispatcher.Answer, bool) {
	if !d.holdAfterSuspension(ctx) {
		return dispatcher.Answer{}, false
	}
	// The caller of a request that was read late may have sent it to another entry.
	checkedAt := clock.Now()
	if callerconn.Ended(ctx) {
		d.logCallerGone(j, "before the check")
		return dispatcher.Answer{}, false
	}
	c := &caller{ctx: ctx, answer: make(chan dispatcher.Answer, 1)}
	var number uint64
	var refused *dispatcher.Answer
	ended := false
	d.decide(func(now time.Time) {
		// Everything waits for the lock, so the connection is usually not checked under it.
		if ended = now.Sub(checkedAt) > maxCheckAge && callerconn.Ended(ctx); ended {
			return
		}
		if number, refused = d.core.Submit(now, j); refused == nil {
			d.callers[number] = append(d.callers[number], c)
		}
	})
	if ended {
		d.logCallerGone(j, "before admission")
		return dispatcher.Answer{}, false
	}
	if refused != nil {
		return *refused, true
	}
	select {
	case a, ok := <-c.answer:
		return a, ok
	case <-ctx.Done():
	}
	d.decide(func(now time.Time) {
		d.drop(now, number, func(x *caller) bool { return x == c })
	})
	return dispatcher.Answer{}, false
}

func (d *Dispatcher) logCallerGone(j dispatcher.Job, reason string) {
	d.opts.Logger.Info("caller_gone_before_submit", "job", j.ID, "queue", j.Queue.GetName(), "reason", reason)
}

// drop removes the callers of a job for which gone returns true, and ends the job if none is
// left. The caller of drop holds d.mu.
func (d *Dispatcher) drop(now time.Time, number uint64, gone func(*caller) bool) {
	remaining := slices.DeleteFunc(d.callers[number], gone)
	if len(remaining) > 0 {
		d.callers[number] = remaining
		return
	}
	delete(d.callers, number)
	d.core.CallerDisconnected(now, number)
}

// dropEnded drops the callers whose connections have ended, after a stall of the process. The
// caller of dropEnded holds d.mu.
func (d *Dispatcher) dropEnded(now time.Time, stall time.Duration) {
	gone := 0
	for number := range d.callers {
		d.drop(now, number, func(c *caller) bool {
			ended := callerconn.Ended(c.ctx)
			if ended {
				close(c.answer)
				gone++
			}
			return ended
		})
	}
	d.opts.Logger.Info("stalled", "elapsed_ms", stall.Milliseconds(), "callers_gone", gone)
}

// holdAfterSuspension delays a request if the process was suspended just before. It
// returns false if the caller disconnects meanwhile.
func (d *Dispatcher) holdAfterSuspension(ctx context.Context) bool {
	hold := d.suspension.Hold(clock.Now(), clock.Monotonic())
	if hold == 0 {
		return true
	}
	select {
	case <-time.After(hold):
		return true
	case <-ctx.Done():
		d.opts.Logger.Info("caller_gone_before_wake")
		return false
	}
}
