package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// order is an instruction to an agent to start one run of a task.
type order struct {
	number uint64
	task   *task
	run    uint32
	agent  *agent
	// worker is the incarnation that the agent reported when the order was made; empty once it has
	// reported another one, as the run may be on either.
	worker string
	size   size.Size
	sentAt time.Time
	// nominal is the predicted run time on a healthy worker of speed 1, and expected the one
	// at the order's worker.
	nominal, expected time.Duration
	started           bool
	stopped           bool // a stop was requested
	// progress is the last reported progress if the run is slower than expected.
	progress runProgress
}

// stopOrder ends a run. An order that has not left this process is withdrawn.
func (d *Dispatcher) stopOrder(o *order) {
	if o.stopped {
		return
	}
	a := o.agent
	if i := slices.IndexFunc(a.pending.Orders, func(x *pb.Order) bool { return x.Number == o.number }); i >= 0 {
		a.pending.Orders = slices.Delete(a.pending.Orders, i, i+1)
		d.removeOrder(o)
		a.recomputeFree()
		d.requeue(o.task.job, o.task)
		return
	}
	o.stopped = true
	a.pending.Stops = append(a.pending.Stops, o.number)
	a.dirty = true
	d.touch(a)
}

// sendOrder orders a run.
func (d *Dispatcher) sendOrder(now time.Time, a *agent, t *task, s *step, wait time.Duration) {
	d.lastOrder++
	if t.firstOrderedAt.IsZero() {
		t.firstOrderedAt, t.predictedWait = now, wait
	}
	t.lastRun++
	t.job.highestRun = max(t.job.highestRun, t.lastRun)
	o := &order{
		number: d.lastOrder, task: t, run: t.lastRun, agent: a, worker: a.state.GetWorker(), size: s.Size, sentAt: now,
		nominal: s.expected, expected: a.expectedRun(s.expected),
	}
	if d.suspected(t) {
		a.trialUntil = now.Add(trialPeriod)
	}
	a.endReservation(t)
	a.live = append(a.live, o)
	a.releases.Add(o.expected, s.Size.CPUMillis)
	t.job.orders = append(t.job.orders, o)
	t.job.ordered = true
	a.pending.Orders = append(a.pending.Orders, &pb.Order{
		Number: o.number, Task: t.name(), Run: o.run, Payload: t.job.Payload, Size: s.Size.Message(),
		Priority: t.job.queue.Priority, WaitMs: uint32(d.maxOrderWait(now, t, a, wait).Milliseconds()),
		ExpectedMs: uint32(o.expected.Milliseconds()), LimitMs: uint32(max(0, t.job.deadline.Sub(now).Milliseconds())),
		StartByMs: startByMs(now, t, a),
	})
	a.dirty = true
	d.touch(a)
	reason := "has room"
	if wait > 0 {
		reason = "shortest wait"
	}
	d.opts.OnDecision(Decision{
		Event: "task_ordered", Job: t.job.ID, Queue: t.job.queue.Name, Version: t.job.Version, Task: t.name(), Run: o.run,
		Agent: a.name, Order: o.number, Reason: reason, Age: now.Sub(a.stateAt), Elapsed: now.Sub(t.job.arrived), Free: a.free, Retry: wait,
	})
}

// removeOrder removes an order that has ended.
func (d *Dispatcher) removeOrder(o *order) {
	same := func(x *order) bool { return x == o }
	o.agent.live = slices.DeleteFunc(o.agent.live, same)
	o.task.job.orders = slices.DeleteFunc(o.task.job.orders, same)
	if j := o.task.job; j.ended && len(j.orders) == 0 {
		d.handleSettled(j)
	}
}

// handleRefusal handles an order whose run has not begun and never will.
func (d *Dispatcher) handleRefusal(now time.Time, o *order, reason string) {
	t, a := o.task, o.agent
	d.removeOrder(o)
	a.recomputeFree()
	switch reason {
	case runner.ReasonOldRun:
		// Another entry has run the task before, for the caller's earlier attempt.
		t.lastRun += runNumberStep
	case runner.ReasonStaleOrder:
		d.recordStaleOrder(now, a)
	case runner.ReasonNoCapacity, runner.ReasonWaitTimeout:
		d.recordOngoingWait(now, t)
	case runner.ReasonStopped, runner.ReasonNotAccepting:
	default:
		if a.session.IsUp() {
			t.avoid = append(t.avoid, a)
		}
	}
	d.opts.OnDecision(Decision{
		Event: "order_refused", Job: t.job.ID, Task: t.name(), Run: o.run, Agent: a.name, Order: o.number, Reason: reason,
		Elapsed: now.Sub(t.job.arrived), Free: a.free,
	})
	j := t.job
	if j.ended {
		return
	}
	d.requeue(j, t)
	if !d.opts.Disabled.Has(disabled.Abandonment) && (!now.Before(t.latestStart()) || !j.started && !d.servable(now, t)) {
		// Its answer would be of no use, and its other tasks would only take capacity.
		d.abandon(now, j, ReasonNoFreeWorker)
		return
	}
	if !j.started && !j.hasOrders() && !now.Before(j.placeBy) {
		d.abandon(now, j, ReasonNoFreeWorker)
	}
}

// runNumberStep skips the run numbers that an earlier entry may have used.
const runNumberStep = 1000

// handleOrderUpdate applies an agent's report on an order.
func (d *Dispatcher) handleOrderUpdate(now time.Time, o *order, n *pb.OrderNews) {
	t, a := o.task, o.agent
	switch n.State {
	case pb.OrderState_ORDER_STATE_REFUSED:
		d.handleRefusal(now, o, n.Reason)
	case pb.OrderState_ORDER_STATE_STARTED:
		d.recordStart(now, o, time.Duration(n.RunMs)*time.Millisecond)
	case pb.OrderState_ORDER_STATE_DONE:
		ran := time.Duration(n.RunMs) * time.Millisecond
		// The report of its start may be missing.
		d.recordStart(now, o, ran)
		d.removeOrder(o)
		d.learnFrom(now, o, ran)
		d.logRunEnd(now, o, "done", ran)
		d.siblingDone(now, o, ran)
		d.taskDone(now, t)
	case pb.OrderState_ORDER_STATE_FAILED:
		d.removeOrder(o)
		t.job.started = true
		d.logRunEnd(now, o, "failed", time.Duration(n.RunMs)*time.Millisecond)
		d.recordFailure(now, a, t.job)
		d.taskFailed(now, t, a)
	case pb.OrderState_ORDER_STATE_STOPPED, pb.OrderState_ORDER_STATE_LOST:
		d.removeOrder(o)
		t.job.started = true
		d.logRunEnd(now, o, "stopped or lost", time.Duration(n.RunMs)*time.Millisecond)
		d.handleLoss(now, t, a, n.Reason)
	case pb.OrderState_ORDER_STATE_STALLED:
		d.handleStall(now, o, n)
	}
}

// recordStart records that a run has started the given time ago.
func (d *Dispatcher) recordStart(now time.Time, o *order, ago time.Duration) {
	if !o.started {
		d.recordWait(now, o.task, now.Sub(o.task.firstOrderedAt)-ago)
	}
	o.started, o.task.job.started = true, true
}

func (d *Dispatcher) logRunEnd(now time.Time, o *order, outcome string, ran time.Duration) {
	d.opts.OnDecision(Decision{
		Event: "run_ended", Job: o.task.job.ID, Queue: o.task.job.queue.Name, Task: o.task.name(), Run: o.run, Agent: o.agent.name,
		Order: o.number, Outcome: outcome, Elapsed: ran, Age: now.Sub(o.sentAt),
	})
}

// learnFrom compares a run with its prediction.
func (d *Dispatcher) learnFrom(now time.Time, o *order, ran time.Duration) {
	j := o.task.job
	d.reportHealth(now, o.agent, j, health.Result{Run: relativeRun(ran, o.expected)})
	if o.agent.healthState == place.Healthy {
		d.learn(j.queue.Name, j.steps[o.task.step].Estimated, o.nominalRun(ran))
	}
	d.reportSpeed(now, o, ran)
}

// recordFailure counts a failed run against its worker. All failures of a job at a worker count
// once, since the job may be their cause.
func (d *Dispatcher) recordFailure(now time.Time, a *agent, j *job) {
	if slices.Contains(j.failedAt, a) {
		return
	}
	j.failedAt = append(j.failedAt, a)
	d.reportHealth(now, a, j, health.Result{Failed: true})
}

func (d *Dispatcher) reportHealth(now time.Time, a *agent, j *job, r health.Result) {
	if d.opts.Disabled.Has(disabled.Health) {
		return
	}
	r.Contract = j.queue.Name
	if d.health.Report(a.incarnation, r, now) {
		d.updateHealthState(now, a)
	}
	a.slowness = d.health.Slowness(a.incarnation)
}
