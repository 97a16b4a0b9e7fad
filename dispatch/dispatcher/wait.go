package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// mayWait is how long a task may be expected to wait for room at a worker: until it
// must start for its job's objective or, of a job that was taken in late, for its answer
// to be of use. A task that missed its start takes the next room that is near.
func (d *Dispatcher) mayWait(now time.Time, t *task) time.Duration {
	if t.job.late {
		return t.latestStart().Sub(now)
	}
	return max(t.startBy().Sub(now), lateWait)
}

// lateWait bounds the wait at one agent of a task that is late already.
const lateWait = 50 * time.Millisecond

// waitAt is how long an order may wait at a worker that is expected to start it after
// the given time. Beyond it the forecast has proved wrong, and it's offered elsewhere.
func (d *Dispatcher) waitAt(now time.Time, t *task, expected time.Duration) time.Duration {
	useful := max(0, t.latestStart().Sub(now))
	if d.opts.Without.Has(without.Patience) {
		return useful
	}
	return min(useful, max(t.job.patience, patienceFactor*expected))
}

// startByMs is by when a task must start, as agents are told.
func startByMs(now time.Time, t *task) int32 {
	if t.job.late {
		return lateStart
	}
	return int32(max(0, t.startBy().Sub(now).Milliseconds()))
}

// lateStart marks orders of jobs that were taken in late.
const lateStart = -1
