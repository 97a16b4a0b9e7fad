package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// recordFirstInput records the time of the first input.
func (d *Dispatcher) recordFirstInput(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
}

// startupEnd returns when all agents that can be reached should have completed handshakes.
func (d *Dispatcher) startupEnd() time.Time { return d.startedAt.Add(startupPeriod) }

// startingUp reports whether the entry has just started and may still lack handshakes with
// agents.
//
// After a loss of power callers retry as soon as the first entry is up, a few hundred
// milliseconds before all agents are. Jobs that find no worker are held meanwhile, and
// admitted or refused when the agents are linked.
func (d *Dispatcher) startingUp(now time.Time) bool {
	return now.Before(d.startupEnd()) && !d.opts.Disabled.Has(disabled.HeldJobs)
}

// admitOrHold admits a new job, or holds it while the entry starts up.
func (d *Dispatcher) admitOrHold(now time.Time, j *job) ([]placement, *Answer) {
	chosen, refused := d.admit(now, j)
	if refused != nil && now.Before(d.admitBy(j)) && !d.opts.Disabled.Has(disabled.HeldJobs) {
		j.held, j.late = true, false
		return nil, nil
	}
	return chosen, refused
}

// admitBy returns when a held job is admitted or refused.
func (d *Dispatcher) admitBy(j *job) time.Time {
	if end := d.startupEnd(); end.After(j.requestedUntil) {
		return end
	}
	return j.requestedUntil
}

// admitHeld admits or refuses a job that was held.
func (d *Dispatcher) admitHeld(now time.Time, j *job) {
	j.held = false
	if a := d.refusal(now, j); a != nil {
		d.answer(now, j, *a)
		return
	}
	d.dequeue(j)
	chosen, a := d.admit(now, j)
	if a != nil {
		d.answer(now, j, *a)
		return
	}
	d.resetJobTimer(j, j.placeBy)
	d.sendChosen(now, chosen)
	d.enqueue(j)
}
