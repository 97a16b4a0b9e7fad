package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// maxWait returns how long a task may be expected to wait for free capacity at a worker: until
// it must start for its job's objective or, if the job was admitted late, for its answer to be
// of use. A task that missed its latest start for the objective may wait for overdueWait.
func (d *Dispatcher) maxWait(now time.Time, t *task) time.Duration {
	if t.job.late {
		return t.latestStart().Sub(now)
	}
	return max(t.startBy().Sub(now), overdueWait)
}

// overdueWait limits the wait at one agent of a task that should have started already.
const overdueWait = 50 * time.Millisecond

// maxOrderWait returns how long an order may wait at a worker that is expected to start it after
// the given time. Beyond it the prediction has proved wrong, and the task is offered elsewhere.
func (d *Dispatcher) maxOrderWait(now time.Time, t *task, a *agent, expected time.Duration) time.Duration {
	useful := max(0, t.latestStart().Sub(now)+a.timeGained(t.job.steps[t.step].expected))
	if d.opts.Disabled.Has(disabled.OrderWaitLimit) {
		return useful
	}
	return min(useful, max(t.job.minOrderWait, orderWaitFactor*expected))
}

// startByMs returns the time in which a task must start at a worker, in milliseconds, as sent to
// its agent.
func startByMs(now time.Time, t *task, a *agent) int32 {
	if t.job.late {
		return lateStart
	}
	slack := t.startBy().Sub(now) + a.timeGained(t.job.steps[t.step].expected)
	return int32(max(0, slack.Milliseconds()))
}

// lateStart marks orders of jobs that were admitted late.
const lateStart = -1
