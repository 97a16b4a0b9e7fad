package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// waitMargin tracks by how much the tasks of a queue recently exceeded their predicted waits,
// from their first order to their start, wherever they started in the end.
//
// Near capacity, waits are predicted from reports that are a tenth of a second old, several
// entries place work by the same reports, and more urgent work overtakes. With the margin a
// queue admits as much as it has proved able to start in time.
//
// It covers the whole wait, not that of one order: a task that is offered to one worker
// after another waits a little longer than predicted at each, and far too long in total.
type waitMargin struct {
	last      time.Duration
	updatedAt time.Time // time of the last task recorded
}

const (
	// marginQuantile is the share of waits that must not exceed the prediction plus the
	// margin; errors either way are weighted accordingly. Jobs have several tasks, all of
	// which must start in time.
	marginQuantile = 0.9
	// marginGain is the weight of one task: a queue with a hundred tasks a second follows
	// a burst within a tenth of a second, one with ten within a second.
	marginGain = 0.2
	// marginHalfLife is the time in which the margin halves when no task is recorded, so
	// that a queue whose jobs are all refused is tried again.
	marginHalfLife = time.Second
	// reofferCost is the further delay of a task whose order was refused: two messages
	// and the next wait.
	reofferCost = 20 * time.Millisecond
)

// value returns the margin at the given time, zero for a nil receiver.
func (m *waitMargin) value(now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	halfLives := now.Sub(m.updatedAt).Seconds() / marginHalfLife.Seconds()
	return time.Duration(float64(m.last) * math.Exp2(-halfLives))
}

// observe records one task's wait and its prediction.
func (m *waitMargin) observe(now time.Time, predicted, waited time.Duration) {
	excess, weight := waited-predicted-m.last, marginQuantile
	if excess < 0 {
		weight = 1 - marginQuantile
	}
	m.last = max(0, m.last+time.Duration(weight*marginGain*float64(excess)))
	m.updatedAt = now
}

// recordWait records how long a task has waited for its start since its first order.
func (d *Dispatcher) recordWait(now time.Time, t *task, waited time.Duration) {
	j := t.job
	if j.late || len(j.steps[t.step].After) > 0 {
		return
	}
	m := d.waitMargins[j.queue.Name]
	if m == nil {
		m = &waitMargin{updatedAt: now}
		d.waitMargins[j.queue.Name] = m
	}
	m.observe(now, t.predictedWait, waited)
}

// recordOngoingWait handles a task that was refused by a worker and goes on waiting. Its wait
// isn't known yet but counts as soon as it exceeds the prediction plus the margin: otherwise
// the margin would follow a burst only when the first of its tasks have started.
func (d *Dispatcher) recordOngoingWait(now time.Time, t *task) {
	minWait := now.Sub(t.firstOrderedAt) + reofferCost
	if minWait > t.predictedWait+d.waitMargins[t.job.queue.Name].value(now) {
		d.recordWait(now, t, minWait)
	}
}

// marginFor returns the margin that applies to a job that has not been admitted yet.
func (d *Dispatcher) marginFor(now time.Time, j *job) time.Duration {
	if j.late || j.ordered || d.opts.Disabled.Has(disabled.WaitMargin) {
		return 0
	}
	return d.waitMargins[j.queue.Name].value(now)
}

// startsAsPredicted reports whether tasks of all queues start about when predicted.
func (d *Dispatcher) startsAsPredicted(now time.Time) bool {
	for _, m := range d.waitMargins {
		if m.value(now) > maxOnTimeMargin {
			return false
		}
	}
	return true
}

// maxOnTimeMargin covers a few round trips and the prediction error for a worker with free
// capacity.
const maxOnTimeMargin = 25 * time.Millisecond
