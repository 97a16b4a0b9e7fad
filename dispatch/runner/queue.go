package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
)

// mustWait reports whether an order can't start at once. An order that fits must still wait if
// a queued one precedes it.
func (r *Runner) mustWait(x *run) bool {
	return !x.size.FitsIn(r.freeCapacity()) || len(r.queue) > 0 && precedes(r.queue[0], x)
}

// mayWait reports whether enough capacity is expected to become free within the time that an
// order may wait. Orders of higher priority overtake queued ones; those that then wait too long
// are refused to their entry.
func (r *Runner) mayWait(now time.Time, x *run) bool {
	if !x.size.FitsIn(r.worker.Capacity) || !x.waitUntil.After(now) {
		return false
	}
	need := x.size.CPUMillis - r.freeCapacity().CPUMillis
	for _, y := range r.queue {
		if precedes(y, x) {
			need += y.size.CPUMillis
		}
	}
	frees := r.releaseForecast(now)
	return !now.Add(frees.Wait(need)).After(x.waitUntil)
}

// precedes defines the order of the queue: late orders last, then by priority, then by the time
// by which an order must start for its job to meet its latency objective.
func precedes(a, b *run) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return a.startBy.Before(b.startBy)
}

func (r *Runner) enqueue(x *run) {
	x.phase = queued
	pos, _ := slices.BinarySearchFunc(r.queue, x, func(a, b *run) int {
		if precedes(b, a) {
			return 1
		}
		return -1
	})
	r.queue = slices.Insert(r.queue, pos, x)
}

// releaseForecast predicts when capacity becomes free, from the progress of the runs or, before
// they show any, from their estimates.
func (r *Runner) releaseForecast(now time.Time) *forecast.Releases {
	var f forecast.Releases
	for _, x := range r.runList {
		if x.phase == queued || x.phase == superseded || x.orphaned {
			continue
		}
		total := x.estimatedTotal
		if total == 0 {
			total = x.expected
		}
		remaining := max(total-now.Sub(x.startedAt), overdueAllowance)
		if x.phase == stopping || x.phase == fencing {
			remaining = r.opts.Timeouts.StopTime
		}
		f.Add(remaining, x.size.CPUMillis)
	}
	return &f
}

// overdueAllowance is how much longer a run is expected to take that should have ended.
const overdueAllowance = 20 * time.Millisecond

// startQueued starts queued orders, in order, as long as they fit.
func (r *Runner) startQueued(now time.Time) {
	for len(r.queue) > 0 && r.heldReason() == HeldNone {
		x := r.nextQueued(now)
		if !now.Before(x.waitUntil) || r.timedOut(now, x.entry) {
			// A process that was frozen handles ends before its timers, and the entry may have
			// had the task run elsewhere by now.
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaitTimeout)
			continue
		}
		if !x.size.FitsIn(r.freeCapacity()) {
			return
		}
		r.queue = slices.DeleteFunc(r.queue, func(y *run) bool { return y == x })
		r.start(now, x)
	}
}

// nextQueued returns the queued order to start next: the head of the queue or, ahead of it, an
// order of lower priority that must start earlier, provided that all queued orders of higher
// priority are still expected to start in time.
//
// High-priority orders of short tasks often have time to spare while the start of a longer task
// is due.
func (r *Runner) nextQueued(now time.Time) *run {
	head, next := r.queue[0], r.queue[0]
	for _, x := range r.queue {
		if !x.late && x.startBy.Before(next.startBy) {
			next = x
		}
	}
	if r.opts.Disabled.Has(disabled.Backfill) || next.priority == head.priority || !next.size.FitsIn(r.freeCapacity()) {
		return head
	}
	frees := r.releaseForecast(now)
	need := next.size.CPUMillis - r.freeCapacity().CPUMillis
	for _, y := range r.queue {
		if y.priority >= next.priority || y.late {
			break
		}
		need += y.size.CPUMillis
		if now.Add(frees.Wait(need) + overtakeMargin).After(y.startBy) {
			return head
		}
	}
	return next
}

// overtakeMargin is the time that orders of higher priority must have to spare, to allow for
// orders that are about to arrive. A forecast of 11 to 21 ms is 15 ms too short one time in
// four.
const overtakeMargin = 15 * time.Millisecond

// queuedWork returns the queued work per priority and time to start, in the order of the queue.
func (r *Runner) queuedWork(now time.Time) []*pb.QueuedWork {
	var out []*pb.QueuedWork
	for _, x := range r.queue {
		within := uint32(forecast.StartBound(x.startBy.Sub(now)).Milliseconds())
		if n := len(out); n == 0 || out[n-1].Priority != x.priority || out[n-1].Late != x.late || out[n-1].StartWithinMs != within {
			out = append(out, &pb.QueuedWork{Priority: x.priority, Late: x.late, StartWithinMs: within})
		}
		out[len(out)-1].CpuMillis += uint32(x.size.CPUMillis)
	}
	return out
}
