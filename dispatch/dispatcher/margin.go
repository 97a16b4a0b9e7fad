package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// margin is how much longer than foretold the tasks of a queue waited lately, from their
// first order to their start, wherever they started in the end.
//
// Near the capacity waits are foretold from reports that are a tenth of a second old, several
// entries place by the same ones, and more urgent work passes. With the margin a queue takes in
// as much as it has shown to be able to start in time.
//
// It counts the whole wait, not that of one order: a task that is offered to one worker
// after another waits a little longer than foretold at each, and far too long in all.
type margin struct {
	size time.Duration
	at   time.Time // of the last task taken in
}

const (
	// marginShare weighs a wait that was longer than foretold and the margin against one
	// that was shorter, as the nine tenths that shall not be longer weigh against the
	// rest. Jobs have several tasks, all of which must start in time.
	marginShare = 0.9
	// marginGain is the weight of one task: a queue with a hundred tasks a second follows
	// a burst within a tenth of a second, one with ten within a second.
	marginGain = 0.2
	// marginHalf is the time in which it loses half of itself when no task is taken in:
	// a queue that is refused altogether is tried again.
	marginHalf = time.Second
	// offerAnew is what an order that was refused loses beside the time since it was
	// sent: two messages, and the next wait.
	offerAnew = 20 * time.Millisecond
)

// now is the margin by now; that of nil is none.
func (m *margin) now(now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	halves := now.Sub(m.at).Seconds() / marginHalf.Seconds()
	return time.Duration(float64(m.size) * math.Exp2(-halves))
}

// take takes in one task's wait against the one that was foretold.
func (m *margin) take(now time.Time, foretold, waited time.Duration) {
	off, share := waited-foretold-m.size, marginShare
	if off < 0 {
		share = 1 - marginShare
	}
	m.size = max(0, m.size+time.Duration(share*marginGain*float64(off)))
	m.at = now
}

// waited takes in how long a task has waited for its start since it was first ordered.
func (d *Dispatcher) waited(now time.Time, t *task, waited time.Duration) {
	j := t.job
	if j.late || len(j.steps[t.step].After) > 0 {
		return
	}
	m := d.margins[j.queue.Name]
	if m == nil {
		m = &margin{at: now}
		d.margins[j.queue.Name] = m
	}
	m.take(now, t.foretold, waited)
}

// waitsStill takes in that a task was refused by a worker and goes on waiting. Its wait is
// not known yet, but counts as soon as it is longer than what was reckoned with: the
// margin must not follow a burst only when the first of its tasks have begun.
func (d *Dispatcher) waitsStill(now time.Time, t *task) {
	least := now.Sub(t.firstSent) + offerAnew
	if least > t.foretold+d.margins[t.job.queue.Name].now(now) {
		d.waited(now, t, least)
	}
}

// marginOf is what a job that has not been taken in must have to spare.
func (d *Dispatcher) marginOf(now time.Time, j *job) time.Duration {
	if j.late || j.ordered || d.opts.Without.Has(without.Margin) {
		return 0
	}
	return d.margins[j.queue.Name].now(now)
}

// inTime reports whether what is taken in starts about when it was foretold, in all queues.
func (d *Dispatcher) inTime(now time.Time) bool {
	for _, m := range d.margins {
		if m.now(now) > inTimeMargin {
			return false
		}
	}
	return true
}

// inTimeMargin is a few round trips and the error of a forecast on a worker with room.
const inTimeMargin = 25 * time.Millisecond
