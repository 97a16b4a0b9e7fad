package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Leave takes in that the process ends at a time. A job that is expected to last longer is
// refused while another entry can still serve it, and one that does last longer is given up,
// answered and stopped: a connection that breaks would tell its caller nothing.
func (d *Dispatcher) Leave(now, end time.Time) {
	d.endsAt = end
	// In a set order: jobs that are due together are given up as they were put.
	for _, number := range slices.Sorted(maps.Keys(d.jobs)) {
		j := d.jobs[number]
		d.cutShort(j)
		d.setDue(j, link.Earlier(j.dueAt, j.deadline))
	}
	d.opts.Decided(Decision{Event: "leaving", Limit: end.Sub(now)})
}

// cutShort has a job end with the process.
func (d *Dispatcher) cutShort(j *job) { j.deadline = link.Earlier(j.deadline, d.endsAt) }

// outlasts reports whether a job that begins now would outlast the process.
func (d *Dispatcher) outlasts(now time.Time, longest time.Duration) bool {
	return !d.endsAt.IsZero() && now.Add(longest).After(d.endsAt)
}

// overdue is why a job is given up at its deadline.
func (d *Dispatcher) overdue(j *job) string {
	if !d.endsAt.IsZero() && !j.deadline.Before(d.endsAt) {
		return ReasonLeaving
	}
	return ReasonDeadline
}
