package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// order is one run of a task given to an agent.
type order struct {
	number uint64
	task   *task
	run    uint32
	agent  *agent
	size   size.Size
	sentAt time.Time
	// expected on a sound worker.
	expected time.Duration
	started  bool
	stopped  bool // a stop was asked for
	// lag is what was said last of a run that is slower than expected.
	lag lag
}

// stop ends a run. An order that has not left this process is taken back.
func (d *Dispatcher) stop(o *order) {
	if o.stopped {
		return
	}
	a := o.agent
	if i := slices.IndexFunc(a.out.Orders, func(x *pb.Order) bool { return x.Number == o.number }); i >= 0 {
		a.out.Orders = slices.Delete(a.out.Orders, i, i+1)
		d.drop(o)
		a.renewFree()
		d.requeue(o.task.job, o.task)
		return
	}
	o.stopped = true
	a.out.Stops = append(a.out.Stops, o.number)
	a.dirty = true
	d.touch(a)
}

// send orders a run.
func (d *Dispatcher) send(now time.Time, a *agent, t *task, s *step, wait time.Duration) {
	d.orderNo++
	if t.firstSent.IsZero() {
		t.firstSent, t.foretold = now, wait
	}
	t.runs++
	t.job.highestRun = max(t.job.highestRun, t.runs)
	o := &order{
		number: d.orderNo, task: t, run: t.runs, agent: a, size: s.Size, sentAt: now, expected: s.expect,
	}
	if d.suspected(t) {
		a.trialUntil = now.Add(trialFor)
	}
	a.live = append(a.live, o)
	a.frees.Add(o.expected, s.Size.CPUMillis)
	t.job.orders = append(t.job.orders, o)
	t.job.ordered = true
	a.out.Orders = append(a.out.Orders, &pb.Order{
		Number: o.number, Task: t.name(), Run: o.run, Payload: t.job.Payload, Size: s.Size.Message(),
		Priority: t.job.queue.Priority, WaitMs: uint32(d.waitAt(now, t, wait).Milliseconds()),
		ExpectedMs: uint32(s.expect.Milliseconds()), LimitMs: uint32(max(0, t.job.deadline.Sub(now).Milliseconds())),
		StartByMs: startByMs(now, t),
	})
	a.dirty = true
	d.touch(a)
	reason := "has room"
	if wait > 0 {
		reason = "shortest wait"
	}
	d.opts.Decided(Decision{
		Event: "task_ordered", Job: t.job.ID, Queue: t.job.queue.Name, Version: t.job.Version, Task: t.name(), Run: o.run,
		Agent: a.name, Order: o.number, Reason: reason, Age: now.Sub(a.stateAt), Elapsed: now.Sub(t.job.arrived), Free: a.free, Retry: wait,
	})
}

// drop forgets an order that has ended.
func (d *Dispatcher) drop(o *order) {
	same := func(x *order) bool { return x == o }
	o.agent.live = slices.DeleteFunc(o.agent.live, same)
	o.task.job.orders = slices.DeleteFunc(o.task.job.orders, same)
	if j := o.task.job; j.ended && len(j.orders) == 0 {
		d.settled(j)
	}
}

// refused takes in that a run has not begun and never will.
func (d *Dispatcher) refused(now time.Time, o *order, reason string) {
	t, a := o.task, o.agent
	d.drop(o)
	a.renewFree()
	switch reason {
	case runner.ReasonOldRun:
		// Another entry has run the task before, at the caller's earlier attempt.
		t.runs += runNumberStep
	case runner.ReasonLate:
		d.arrivedLate(now, a)
	case runner.ReasonRoom, runner.ReasonWaited:
		d.waitsStill(now, t)
	case runner.ReasonStopped, runner.ReasonHeld:
	default:
		if a.session.IsUp() {
			t.avoid = append(t.avoid, a)
		}
	}
	d.opts.Decided(Decision{
		Event: "order_refused", Job: t.job.ID, Task: t.name(), Run: o.run, Agent: a.name, Order: o.number, Reason: reason,
		Elapsed: now.Sub(t.job.arrived), Free: a.free,
	})
	j := t.job
	if j.ended {
		return
	}
	d.requeue(j, t)
	if !d.opts.Without.Has(without.GivingUp) && (!now.Before(t.latestStart()) || !j.started && !d.servable(now, t)) {
		// Its answer would be of no use; the others of its tasks would only take room.
		d.giveUp(now, j, ReasonHeld)
		return
	}
	if !j.started && !j.hasOrders() && !now.Before(j.holdEnd) {
		d.giveUp(now, j, ReasonHeld)
	}
}

// runNumberStep passes the run numbers that an earlier entry may have used.
const runNumberStep = 1000

// news takes in what became of an order.
func (d *Dispatcher) news(now time.Time, o *order, n *pb.OrderNews) {
	t, a := o.task, o.agent
	switch n.State {
	case pb.OrderState_ORDER_STATE_REFUSED:
		d.refused(now, o, n.Reason)
	case pb.OrderState_ORDER_STATE_STARTED:
		d.began(now, o, time.Duration(n.RunMs)*time.Millisecond)
	case pb.OrderState_ORDER_STATE_DONE:
		ran := time.Duration(n.RunMs) * time.Millisecond
		// Its start may have gone unanswered.
		d.began(now, o, ran)
		d.drop(o)
		d.learnFrom(now, o, ran)
		d.decideEnd(now, o, "done", ran)
		d.siblingDone(now, o, ran)
		d.taskDone(now, t)
	case pb.OrderState_ORDER_STATE_FAILED:
		d.drop(o)
		t.job.started = true
		d.decideEnd(now, o, "failed", time.Duration(n.RunMs)*time.Millisecond)
		d.judge(now, a, t.job, health.Result{Failed: true})
		d.taskFailed(now, t, a)
	case pb.OrderState_ORDER_STATE_STOPPED, pb.OrderState_ORDER_STATE_LOST:
		d.drop(o)
		t.job.started = true
		d.decideEnd(now, o, "stopped or lost", time.Duration(n.RunMs)*time.Millisecond)
		d.afterLoss(now, t, a, n.Reason)
	case pb.OrderState_ORDER_STATE_STALLED:
		d.stalled(now, o, n)
	}
}

// began takes in that a run has begun so long ago.
func (d *Dispatcher) began(now time.Time, o *order, ago time.Duration) {
	if !o.started {
		d.waited(now, o.task, now.Sub(o.task.firstSent)-ago)
	}
	o.started, o.task.job.started = true, true
}

func (d *Dispatcher) decideEnd(now time.Time, o *order, outcome string, ran time.Duration) {
	d.opts.Decided(Decision{
		Event: "run_ended", Job: o.task.job.ID, Queue: o.task.job.queue.Name, Task: o.task.name(), Run: o.run, Agent: o.agent.name,
		Order: o.number, Outcome: outcome, Elapsed: ran, Age: now.Sub(o.sentAt),
	})
}

// learnFrom compares a run with what was expected of it.
func (d *Dispatcher) learnFrom(now time.Time, o *order, ran time.Duration) {
	j := o.task.job
	d.judge(now, o.agent, j, health.Result{Run: relative(ran, o.expected)})
	if o.agent.standing == place.Open {
		d.learn(j.queue.Name, j.steps[o.task.step].Estimated, ran)
	}
}

func (d *Dispatcher) judge(now time.Time, a *agent, j *job, r health.Result) {
	if d.opts.Without.Has(without.Health) {
		return
	}
	r.Contract = j.queue.Name
	if d.health.Report(a.incarnation, r, now) {
		d.updateStanding(now, a)
	}
	a.slowness = d.health.Slowness(a.incarnation)
}
