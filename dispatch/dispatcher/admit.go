package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// refusal returns why a job can't be admitted regardless of load; nil: it can.
func (d *Dispatcher) refusal(now time.Time, j *job) *Answer {
	refuse := func(reason string, permanent bool, retry time.Duration) *Answer {
		return &Answer{Outcome: NotRun, Reason: reason, Permanent: permanent, RetryAfter: retry}
	}
	if j.Unsupported != "" {
		return refuse(ReasonUnsupported+": "+j.Unsupported, true, 0)
	}
	if d.outlasts(now, j.criticalPath) {
		// Other entries have free capacity now, so the caller needn't wait for long.
		return refuse(ReasonShuttingDown, false, minRetryAfter)
	}
	if d.runTimes[j.queue.Name].lowerBound(j.criticalPath) > j.deadline.Sub(now) && !d.opts.Disabled.Has(disabled.Abandonment) {
		return refuse(ReasonInfeasible, true, 0)
	}
	known, fits := d.fits(j)
	switch {
	case d.startingUp(now):
		// Agents may still complete their handshakes.
	case slices.Contains(fits, false) && d.requestFitting(now, j, fits):
		// Other entries may have agents that fit.
	case known == 0, d.partiallyLinked() && slices.Contains(fits, false):
		return refuse(ReasonNoWorkers, false, d.retryAfter(time.Second))
	case slices.Contains(fits, false):
		return refuse(ReasonTooLarge, true, 0)
	}
	if known > 0 && !d.startingUp(now) && !d.partiallyLinked() && d.allEvacuated(j.queue.Service) {
		return refuse(ReasonEvacuated, false, d.retryAfter(maxRetryAfter))
	}
	d.unblock(j)
	if a := d.refusePoison(j); a != nil {
		return a
	}
	if lag := d.timerLag.value(now); lag > j.minOrderWait {
		// The process itself lags by more than that: further jobs would be late, and
		// delay all others, while another entry can serve them in time.
		return refuse(ReasonLagging, false, d.retryAfter(lag))
	}
	return nil
}

// admit chooses a worker for every task of a new job so that it starts in time or,
// failing that, so that its answer is still of use. Otherwise it refuses the job.
//
// A short burst delays jobs by some hundred milliseconds, and their answers are still
// of use. Late jobs yield to all that can meet their objective.
func (d *Dispatcher) admit(now time.Time, j *job) ([]placement, *Answer) {
	for _, j.late = range []bool{false, true} {
		if j.late && !d.admitsLate(now) {
			break
		}
		chosen, left, _ := d.choose(now, j)
		if d.startInTurn(now, j, chosen, left) {
			j.waiting = left
			return chosen, nil
		}
		for _, p := range chosen {
			p.agent.release(p.task, p.step)
		}
		if !j.late {
			d.requestAgents(now, j, &j.steps[left[0].step])
		}
	}
	d.waitlist(j.queue.Service).refusedAt = now
	return nil, &Answer{Outcome: NotRun, Reason: ReasonOverload, RetryAfter: d.retryAfter(d.predictWait(now, j))}
}

// startInTurn reports whether the tasks that found no worker are expected to start in time after
// others of their step, because that step has more tasks than its limit per worker lets run at a
// time. It is true if all have found one.
func (d *Dispatcher) startInTurn(now time.Time, j *job, chosen []placement, left []*task) bool {
	ahead := make(map[int]int) // tasks that have found no worker so far, by step
	for _, t := range left {
		s := &j.steps[t.step]
		places, start := 0, time.Duration(0)
		for _, p := range chosen {
			if p.task.step == t.step {
				places++
				start = max(start, p.wait)
			}
		}
		if places == 0 || !slices.ContainsFunc(d.agents, func(a *agent) bool { return a.stepLimitReached(t, s) }) {
			return false
		}
		turn := 1 + ahead[t.step]/places
		ahead[t.step]++
		start += time.Duration(turn) * s.expected
		latest := t.startBy()
		if j.late {
			latest = t.latestStart()
		}
		if now.Add(start).After(latest) {
			return false
		}
	}
	return true
}

// fits returns the number of linked workers of the job's service and, for each step,
// whether its tasks fit one that may run them.
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

// retryAfter returns when a refused caller should come back: after the expected wait,
// plus a random part of up to about the same length, so that callers refused together
// don't return together and get refused again. Callers are told whole seconds; rounding
// the result would undo the spread.
func (d *Dispatcher) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	seconds := math.Ceil(wait.Seconds())
	spread := math.Floor(d.opts.Random() * (seconds + 1))
	return time.Duration(seconds+spread) * time.Second
}
