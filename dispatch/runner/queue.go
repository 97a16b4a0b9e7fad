package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// mustWait reports whether an order can't start at once. One that fits still
// doesn't overtake what waits and goes before it.
func (r *Runner) mustWait(x *run) bool {
	return !x.size.FitsIn(r.room()) || len(r.queue) > 0 && goesBefore(r.queue[0], x)
}

// mayWait reports whether room is expected in the time that an order may wait. More
// urgent orders pass those that wait already; what then waits too long goes back to
// its entry.
func (r *Runner) mayWait(now time.Time, x *run) bool {
	if !x.size.FitsIn(r.worker.Capacity) || !x.waitEnd.After(now) {
		return false
	}
	need := x.size.CPUMillis - r.room().CPUMillis
	for _, y := range r.queue {
		if goesBefore(y, x) {
			need += y.size.CPUMillis
		}
	}
	frees := r.frees(now)
	return !now.Add(frees.Wait(need)).After(x.waitEnd)
}

// goesBefore orders what waits: what was taken in late last, then by urgency, then by
// the time by which it must start for its job to end within its objective.
func goesBefore(a, b *run) bool {
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
		if goesBefore(b, a) {
			return 1
		}
		return -1
	})
	r.queue = slices.Insert(r.queue, pos, x)
}

// frees is what is expected to come free, by the runs' progress or, before they
// show any, by their estimates.
func (r *Runner) frees(now time.Time) *forecast.Frees {
	var f forecast.Frees
	for _, x := range r.order {
		if x.phase == queued || x.phase == unfenced || x.foreign {
			continue
		}
		total := x.total
		if total == 0 {
			total = x.expected
		}
		left := max(total-now.Sub(x.began), overdue)
		if x.phase == stopping || x.phase == fencing {
			left = r.opts.Times.Stop
		}
		f.Add(left, x.size.CPUMillis)
	}
	return &f
}

// overdue is how much longer a run is taken to last that should have ended.
const overdue = 20 * time.Millisecond

// startQueued starts what waits, in order, as far as there is room.
func (r *Runner) startQueued(now time.Time) {
	for len(r.queue) > 0 && r.held() == HeldNone {
		x := r.nextQueued(now)
		if !now.Before(x.waitEnd) || r.mute(now, x.entry) {
			// A process that was frozen takes in ends before its timers: the entry may
			// have had the task run elsewhere by now.
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaited)
			continue
		}
		if !x.size.FitsIn(r.room()) {
			return
		}
		r.queue = slices.DeleteFunc(r.queue, func(y *run) bool { return y == x })
		r.start(now, x)
	}
}

// nextQueued is what starts next of what waits: the first in order or, ahead of it, a
// less urgent run that must start earlier, while all that is more urgent and waits here
// is still expected to start in time.
//
// Urgent work of short tasks often has time to spare while the start of a longer task is due.
func (r *Runner) nextQueued(now time.Time) *run {
	head, next := r.queue[0], r.queue[0]
	for _, x := range r.queue {
		if !x.late && x.startBy.Before(next.startBy) {
			next = x
		}
	}
	if r.opts.Without.Has(without.Ahead) || next.priority == head.priority || !next.size.FitsIn(r.room()) {
		return head
	}
	frees := r.frees(now)
	need := next.size.CPUMillis - r.room().CPUMillis
	for _, y := range r.queue {
		if y.priority >= next.priority || y.late {
			break
		}
		need += y.size.CPUMillis
		if now.Add(frees.Wait(need) + aheadMargin).After(y.startBy) {
			return head
		}
	}
	return next
}

// aheadMargin is the time that more urgent work must have to spare, for what is about
// to come: a forecast of 11 to 21 ms is 15 ms too short one time in four.
const aheadMargin = 15 * time.Millisecond

// queuedWork sums up what waits, what goes first coming first.
func (r *Runner) queuedWork() []*pb.QueuedWork {
	var out []*pb.QueuedWork
	for _, x := range r.queue {
		if n := len(out); n == 0 || out[n-1].Priority != x.priority || out[n-1].Late != x.late {
			out = append(out, &pb.QueuedWork{Priority: x.priority, Late: x.late})
		}
		out[len(out)-1].CpuMillis += uint32(x.size.CPUMillis)
	}
	return out
}
