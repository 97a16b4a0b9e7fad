package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// begin takes in the time of the first input.
func (d *Dispatcher) begin(now time.Time) {
	if d.begunAt.IsZero() {
		d.begunAt = now
	}
}

// metBy is when the agents that can be reached have been met.
func (d *Dispatcher) metBy() time.Time { return d.begunAt.Add(meetWithin) }

// meeting reports whether the entry has begun a moment ago and may not have met the
// agents yet.
//
// After a loss of power callers come back with the first entry, a few hundred milliseconds
// before all agents do. Jobs that find no worker are held meanwhile, and decided on when the
// agents have been met.
func (d *Dispatcher) meeting(now time.Time) bool {
	return now.Before(d.metBy()) && !d.opts.Without.Has(without.HeldJobs)
}

// admitOrHold admits a new job, or holds it while the agents are being met.
func (d *Dispatcher) admitOrHold(now time.Time, j *job) ([]placement, *Answer) {
	chosen, refused := d.admit(now, j)
	if refused != nil && now.Before(d.decideBy(j)) && !d.opts.Without.Has(without.HeldJobs) {
		j.meeting, j.late = true, false
		return nil, nil
	}
	return chosen, refused
}

// decideBy is when a job that was held is decided on.
func (d *Dispatcher) decideBy(j *job) time.Time {
	if met := d.metBy(); met.After(j.askedUntil) {
		return met
	}
	return j.askedUntil
}

// decideMet decides on a job that was held.
func (d *Dispatcher) decideMet(now time.Time, j *job) {
	j.meeting = false
	if a := d.refusal(now, j); a != nil {
		d.answer(now, j, *a)
		return
	}
	d.unlist(j)
	chosen, a := d.admit(now, j)
	if a != nil {
		d.answer(now, j, *a)
		return
	}
	d.setDue(j, j.holdEnd)
	d.sendChosen(now, chosen)
}
