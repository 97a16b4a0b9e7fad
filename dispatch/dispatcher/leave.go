package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Drain announces that the process ends at the given time. A job that is expected to last
// longer is refused while another entry can still serve it, and one that does last longer is
// abandoned, answered and stopped: a closed connection would tell its caller nothing.
func (d *Dispatcher) Drain(now, end time.Time) {
	d.shutdownAt = end
	// A fixed order: jobs that are due together are abandoned as they were submitted.
	for _, number := range slices.Sorted(maps.Keys(d.jobs)) {
		j := d.jobs[number]
		d.capDeadline(j)
		d.resetJobTimer(j, link.Earlier(j.dueAt, j.deadline))
	}
	d.opts.OnDecision(Decision{Event: "leaving", Limit: end.Sub(now)})
}

// capDeadline limits a job's deadline to the shutdown time.
func (d *Dispatcher) capDeadline(j *job) { j.deadline = link.Earlier(j.deadline, d.shutdownAt) }

// outlasts reports whether a job that begins now would outlast the process.
func (d *Dispatcher) outlasts(now time.Time, longest time.Duration) bool {
	return !d.shutdownAt.IsZero() && now.Add(longest).After(d.shutdownAt)
}

// deadlineReason returns the reason for which a job is abandoned at its deadline.
func (d *Dispatcher) deadlineReason(j *job) string {
	if !d.shutdownAt.IsZero() && !j.deadline.Before(d.shutdownAt) {
		return ReasonShuttingDown
	}
	return ReasonDeadline
}
