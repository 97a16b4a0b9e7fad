package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// lag is how a run that is slower than expected gets on.
type lag struct {
	at time.Time
	// ran is how long it had run, and left the least that it still takes at its pace.
	ran, left time.Duration
}

const (
	// moveCost is what moving a run takes beside the run itself and its stop: two
	// messages, and the start.
	moveCost = 10 * time.Millisecond
	// siblingFactor is how many times longer than a task of the same step a run must
	// take to be moved. Tasks of a step are alike; the worker is the likely cause.
	siblingFactor = 2
	// suspectFactor is the same against the estimate, on a worker that is slower
	// than others with other jobs as well.
	suspectFactor = 2.5
	// loneFactor is the same without either sign: far beyond what an estimate is off.
	loneFactor = 6
	// suspectSlowness marks a worker as slower than others.
	suspectSlowness = 1.7
)

// stalled takes in that a run is much slower than expected, or can't end in time.
// When neither it nor a new run of the task can, the caller is told at once: it can
// use the time that is left, and others the worker.
func (d *Dispatcher) stalled(now time.Time, o *order, n *pb.OrderNews) {
	o.lag = lag{now, time.Duration(n.RunMs) * time.Millisecond, time.Duration(n.RemainingMs) * time.Millisecond}
	d.judge(now, o.agent, o.task.job, health.Result{Run: relative(o.lag.ran+o.lag.left, o.expected)})
	d.considerMove(now, o)
	if !o.stopped && !o.task.job.ended && !d.opts.Without.Has(without.GivingUp) && now.Add(o.lag.left).After(o.task.job.deadline) {
		// Runs that are too long never end here; without them the queue's run times
		// would seem shorter than they are.
		j := o.task.job
		if o.agent.standing == place.Open {
			d.learn(j.queue.Name, j.steps[o.task.step].Estimated, o.lag.ran+o.lag.left)
		}
		d.giveUp(now, j, ReasonHopeless)
	}
}

// relative is a run time as others of its queue are compared: against what was
// expected, in seconds for each expected one.
func relative(ran, expected time.Duration) time.Duration {
	return time.Duration(float64(ran) / float64(expected) * float64(time.Second))
}

// siblingDone takes in how long a task took, which tells more of the others of its
// step than the estimate did.
func (d *Dispatcher) siblingDone(now time.Time, done *order, ran time.Duration) {
	j := done.task.job
	s := &j.steps[done.task.step]
	if s.observed == 0 || ran < s.observed {
		s.observed = max(ran, minExpected)
	}
	for _, o := range j.orders {
		if o.task.step == done.task.step && !o.lag.at.IsZero() {
			d.considerMove(now, o)
		}
	}
}

// considerMove stops a run that is much slower than it should be, to run its task
// elsewhere, when that ends sooner. The job's estimate may be what is wrong, so the
// run must be slow against a task of the same step, or its worker against others.
func (d *Dispatcher) considerMove(now time.Time, o *order) {
	j := o.task.job
	if o.stopped || j.ended || d.opts.Without.Has(without.Moves) {
		return
	}
	s := &j.steps[o.task.step]
	total := o.lag.ran + o.lag.left
	should, factor, sign := o.expected, float64(loneFactor), "estimate"
	switch {
	case s.observed > 0:
		should, factor, sign = s.observed, siblingFactor, "task of the same step"
	case o.agent.standing != place.Open || o.agent.slowness > suspectSlowness:
		factor, sign = suspectFactor, "slow worker"
	}
	anew := moveCost + d.opts.Times.Stop + should
	left := o.lag.left - now.Sub(o.lag.at)
	if float64(total) < factor*float64(should) || left < anew || now.Add(anew).After(j.deadline) {
		return
	}
	o.task.avoid = append(o.task.avoid, o.agent)
	d.stop(o)
	d.opts.Decided(Decision{
		Event: "run_moved", Job: j.ID, Queue: j.queue.Name, Task: o.task.name(), Run: o.run, Agent: o.agent.name, Order: o.number,
		Reason: "slow against " + sign, Elapsed: o.lag.ran, Age: now.Sub(o.lag.at), Retry: left,
	})
}
