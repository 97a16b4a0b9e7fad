package dispatcher

import (
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// refusal says why a job can't be taken in, whatever waits; nil: it can.
func (d *Dispatcher) refusal(now time.Time, j *job) *Answer {
	refuse := func(reason string, permanent bool, retry time.Duration) *Answer {
		return &Answer{Outcome: NotRun, Reason: reason, Permanent: permanent, RetryAfter: retry}
	}
	if j.Unsupported != "" {
		return refuse(ReasonUnsupported+": "+j.Unsupported, true, 0)
	}
	if d.outlasts(now, j.longest) {
		// Others have room at once, so there is nothing to wait for.
		return refuse(ReasonLeaving, false, minRetryAfter)
	}
	if d.learned[j.queue.Name].atLeast(j.longest) > j.deadline.Sub(now) && !d.opts.Without.Has(without.GivingUp) {
		return refuse(ReasonHopeless, true, 0)
	}
	known, fits := d.fits(j)
	switch {
	case d.meeting(now):
		// Nobody knows yet.
	case slices.Contains(fits, false) && d.ask(now, j, fits):
		// Others may know.
	case known == 0, d.partial() && slices.Contains(fits, false):
		return refuse(ReasonNoWorkers, false, d.retryAfter(time.Second))
	case slices.Contains(fits, false):
		return refuse(ReasonTooLarge, true, 0)
	}
	if known > 0 && !d.meeting(now) && !d.partial() && d.allEvacuated(j.queue.Service) {
		return refuse(ReasonEvacuated, false, d.retryAfter(maxRetryAfter))
	}
	d.unblock(j)
	if a := d.refuseCondemned(j); a != nil {
		return a
	}
	if lag := d.lag.now(now); lag > j.patience {
		// This process itself is later than that: what it took in besides would be late
		// by its fault, with all that it has, while another entry can serve it in time.
		return refuse(ReasonBusy, false, d.retryAfter(lag))
	}
	return nil
}

// admit finds a worker for every task of a new job that starts it in time or, when
// that can't be, so that the answer is still of use; otherwise it refuses the job.
//
// A short burst makes jobs late by some hundred milliseconds, and their answers are still of
// use. Late jobs go behind all that can be in time.
func (d *Dispatcher) admit(now time.Time, j *job) ([]placement, *Answer) {
	for _, j.late = range []bool{false, true} {
		if j.late && !d.takesLate(now) {
			break
		}
		chosen, left, _ := d.choose(now, j)
		if len(left) == 0 {
			j.waiting = nil
			return chosen, nil
		}
		for _, p := range chosen {
			p.agent.free = p.agent.free.Plus(p.step.Size)
		}
		if !j.late {
			d.want(now, j, &j.steps[left[0].step])
		}
	}
	d.waitlist(j.queue.Service).refusedAt = now
	return nil, &Answer{Outcome: NotRun, Reason: ReasonOverload, RetryAfter: d.retryAfter(d.predictWait(now, j))}
}

// fits reports how many workers of the service are known, and whether each step's
// task fits one that may run it.
func (d *Dispatcher) fits(j *job) (known int, fits []bool) {
	fits = make([]bool, len(j.steps))
	for _, a := range d.agents {
		if !a.session.IsUp() || a.state.GetService() != j.queue.Service {
			continue
		}
		known++
		for i := range j.steps {
			s := &j.steps[i]
			fits[i] = fits[i] || s.Size.FitsIn(a.capacity) && a.hasLabel(s.Requires)
		}
	}
	return known, fits
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter is when a refused caller is to come back: when the work ahead of it
// will have been done, and spread over as long again, so that those refused
// together don't return together and are refused together once more.
func (d *Dispatcher) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(d.opts.Random()*float64(wait))
}
