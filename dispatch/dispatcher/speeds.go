package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Expected run times of steps and jobs are those on a worker of speed 1. On another worker, a
// task is expected to take the time divided by the worker's speed; see package speed.

// timeGainedWeight is the weight in the score of the time that a task gains at a fast worker, or
// loses at a slow one. A job is worth no more if it ends earlier within its objective. With the full
// weight, long tasks are queued at fast workers while others are idle, several entries choose the
// same ones, and the predicted waits there fail.
const timeGainedWeight = 0.25

// speedLogFactor is the factor by which a speed must change to be logged again.
const speedLogFactor = 1.1

// expectedRun returns the expected run time of a task at the worker, from that at speed 1.
func (a *agent) expectedRun(nominal time.Duration) time.Duration {
	if a.speed == 1 {
		return nominal
	}
	return max(time.Duration(float64(nominal)/a.speed), minExpected)
}

// timeGained returns by how much earlier a task ends than at a worker of speed 1 that starts it at
// the same time; it is negative at a slow worker.
func (a *agent) timeGained(nominal time.Duration) time.Duration {
	return nominal - a.expectedRun(nominal)
}

// nominalRun returns how long a run would have taken at speed 1.
func (o *order) nominalRun(ran time.Duration) time.Duration {
	if o.expected == o.nominal {
		return ran
	}
	return time.Duration(float64(ran) * float64(o.nominal) / float64(o.expected))
}

// expectedFrom returns the expected run time at the order's worker, from that at speed 1.
func (o *order) expectedFrom(nominal time.Duration) time.Duration {
	if o.expected == o.nominal {
		return nominal
	}
	return time.Duration(float64(nominal) * float64(o.expected) / float64(o.nominal))
}

// waitLimit limits the wait of one task at a worker.
type waitLimit struct {
	// slack is the longest wait at a worker of speed 1, before the margin is deducted.
	slack, margin time.Duration
	// overdue: the task can't end within its objective at any such worker, and slack limits
	// its wait only so that it is offered elsewhere.
	overdue bool
	// useful is the longest wait at a worker of speed 1 after which the answer is of use.
	useful time.Duration
}

func (d *Dispatcher) waitLimit(now time.Time, t *task) waitLimit {
	slack := d.maxWait(now, t)
	return waitLimit{
		slack: slack, margin: d.marginFor(now, t.job), useful: t.latestStart().Sub(now),
		overdue: !t.job.late && t.startBy().Sub(now) < slack,
	}
}

// at returns the longest wait at a worker where the task ends earlier by the given time than at
// speed 1. It returns false if the task would end too late there even if it started at once.
func (l waitLimit) at(gained time.Duration) (limit time.Duration, ok bool) {
	slack := l.slack
	switch {
	case gained == 0:
		return max(0, slack-l.margin), true
	case l.overdue:
		slack = min(slack, l.useful+gained)
	default:
		slack += gained
	}
	return max(0, slack-l.margin), slack >= 0
}

// reportSpeed records the speed of a worker at one completed run. Runs on a worker that is
// suspended or on trial say little of its speed afterwards.
func (d *Dispatcher) reportSpeed(now time.Time, o *order, ran time.Duration) {
	if o.agent.healthState != place.Healthy || d.opts.Disabled.Has(disabled.Speeds) {
		return
	}
	if !d.speeds.Report(o.agent.incarnation, ran, o.nominal, now) {
		return
	}
	for _, a := range d.agents {
		d.setSpeed(a, d.speeds.Speed(a.incarnation))
	}
}

// setSpeed sets a worker's speed, which applies to the orders sent from now on.
func (d *Dispatcher) setSpeed(a *agent, speed float64) {
	a.speed = speed
	if ratio := speed / a.loggedSpeed; ratio > speedLogFactor || ratio < 1/speedLogFactor {
		a.loggedSpeed = speed
		d.opts.OnDecision(Decision{Event: "worker_speed", Agent: a.name, Speed: speed})
	}
}

// UnevenWorkers returns the number of linked agents whose worker's speed isn't 1.
func (d *Dispatcher) UnevenWorkers() int {
	n := 0
	for _, a := range d.agents {
		if a.session.IsUp() && a.speed != 1 {
			n++
		}
	}
	return n
}
