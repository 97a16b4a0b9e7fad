package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// margin is how much longer than foretold the orders of a queue waited lately: nine of
// ten wait no longer than that.
//
// What goes wrong without it: at a load near the capacity waits are foretold from reports
// that are a tenth of a second old, several entries place by the same ones, and more urgent
// work passes. Jobs are taken in for starts that they don't get, and end late; too few are
// refused while they could still go elsewhere or come back. With it a queue takes in as
// much as it has shown to be able to start in time. At rest orders don't wait, and there
// is none.
type margin time.Duration

const (
	// marginShare of the orders wait no longer than foretold and the margin besides. Jobs
	// have several tasks, all of which must start in time.
	marginShare = 0.9
	// marginStep is by how much an order that waited longer moves the margin: with some
	// twenty orders a second of a queue it follows a burst within a second.
	marginStep = 5 * time.Millisecond
	// offerAnew is what an order that was refused loses beside the time since it was
	// sent: two messages, and the next wait.
	offerAnew = 20 * time.Millisecond
)

// take takes in one order's wait against the one that was foretold.
func (m *margin) take(foretold, waited time.Duration) {
	if waited > foretold+time.Duration(*m) {
		*m += margin(marginShare * float64(marginStep))
		return
	}
	*m = max(0, *m-margin((1-marginShare)*float64(marginStep)))
}

// waited takes in how long an order waited, or would at least.
func (d *Dispatcher) waited(o *order, waited time.Duration) {
	j := o.task.job
	if j.late {
		return
	}
	m := d.margins[j.queue.Name]
	if m == nil {
		m = new(margin)
		d.margins[j.queue.Name] = m
	}
	m.take(o.foretold, waited)
}

// marginOf is what a job that has not been taken in must have to spare.
func (d *Dispatcher) marginOf(j *job) time.Duration {
	m := d.margins[j.queue.Name]
	if m == nil || j.late || j.ordered || d.opts.Without.Has(without.Margin) {
		return 0
	}
	return time.Duration(*m)
}
