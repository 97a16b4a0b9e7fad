package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// runProgress is the progress of a run that is slower than expected.
type runProgress struct {
	reportedAt time.Time
	// ran is how long it had run, and remaining the least time it needs at its pace.
	ran, remaining time.Duration
}

const (
	// moveCost is the time to move a run beyond the run itself and its stop: two
	// messages, and the start.
	moveCost = 10 * time.Millisecond
	// siblingFactor is how many times longer than a task of the same step a run must
	// take to be moved. Tasks of a step are alike, so the worker is the likely cause.
	siblingFactor = 2
	// suspectFactor is the same relative to the estimate, on a worker that is slower
	// than others with other jobs as well.
	suspectFactor = 2.5
	// estimateFactor is the same without other evidence: far beyond the error of an estimate.
	estimateFactor = 6
	// suspectSlowness is the slowness above which a worker counts as slower than others.
	suspectSlowness = 1.7
)

// handleStall handles a run that is much slower than expected, or can't end in time. When
// neither it nor a new run of the task can, the job is answered at once: the caller can
// use the time that is left, and other jobs the worker.
func (d *Dispatcher) handleStall(now time.Time, o *order, n *pb.OrderNews) {
	o.progress = runProgress{now, time.Duration(n.RunMs) * time.Millisecond, time.Duration(n.RemainingMs) * time.Millisecond}
	d.reportHealth(now, o.agent, o.task.job, health.Result{Run: relativeRun(o.progress.ran+o.progress.remaining, o.expected)})
	d.considerMove(now, o)
	if !o.stopped && !o.task.job.ended && !d.opts.Disabled.Has(disabled.Abandonment) && now.Add(o.progress.remaining).After(o.task.job.deadline) {
		// Overlong runs never end here; without them the queue's run times would
		// seem shorter than they are.
		j := o.task.job
		if o.agent.healthState == place.Healthy {
			d.learn(j.queue.Name, j.steps[o.task.step].Estimated, o.nominalRun(o.progress.ran+o.progress.remaining))
		}
		d.abandon(now, j, ReasonInfeasible)
	}
}

// relativeRun normalizes a run time for comparison with others of its queue: the ratio to
// the expected time, in seconds.
func relativeRun(ran, expected time.Duration) time.Duration {
	return time.Duration(float64(ran) / float64(expected) * float64(time.Second))
}

// siblingDone records how long a task took, as if at speed 1, which predicts the run times of
// the others of its step better than the estimate.
func (d *Dispatcher) siblingDone(now time.Time, done *order, ran time.Duration) {
	j := done.task.job
	s := &j.steps[done.task.step]
	ran = done.nominalRun(ran)
	if s.shortestRun == 0 || ran < s.shortestRun {
		s.shortestRun = max(ran, minExpected)
	}
	for _, o := range j.orders {
		if o.task.step == done.task.step && !o.progress.reportedAt.IsZero() {
			d.considerMove(now, o)
		}
	}
}

// considerMove stops a run that is much slower than it should be, to run its task elsewhere,
// when that ends sooner. The job's estimate may be wrong, so the run must be slow compared
// with a task of the same step, or its worker compared with others.
func (d *Dispatcher) considerMove(now time.Time, o *order) {
	j := o.task.job
	if o.stopped || j.ended || d.opts.Disabled.Has(disabled.Moves) {
		return
	}
	s := &j.steps[o.task.step]
	total := o.progress.ran + o.progress.remaining
	reference, factor, evidence := o.nominal, float64(estimateFactor), "estimate"
	switch {
	case s.shortestRun > 0:
		reference, factor, evidence = s.shortestRun, siblingFactor, "task of the same step"
	case o.agent.healthState != place.Healthy || o.agent.slowness > suspectSlowness:
		factor, evidence = suspectFactor, "slow worker"
	}
	rerunTime := moveCost + d.opts.Timeouts.StopTime + reference
	remaining := o.progress.remaining - now.Sub(o.progress.reportedAt)
	if float64(total) < factor*float64(o.expectedFrom(reference)) || remaining < rerunTime || now.Add(rerunTime).After(j.deadline) {
		return
	}
	o.task.avoid = append(o.task.avoid, o.agent)
	d.stopOrder(o)
	d.opts.OnDecision(Decision{
		Event: "run_moved", Job: j.ID, Queue: j.queue.Name, Task: o.task.name(), Run: o.run, Agent: o.agent.name, Order: o.number,
		Reason: "slow against " + evidence, Elapsed: o.progress.ran, Age: now.Sub(o.progress.reportedAt), Retry: remaining,
	})
}
