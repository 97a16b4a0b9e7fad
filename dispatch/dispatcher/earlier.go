package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// lostOrder is an order whose run has ended without a report, as far as this entry knows.
type lostOrder struct {
	at    time.Time
	order *order
}

const (
	// lostRetention is how long a success of a lost order is still taken: an agent's next process has
	// met its worker by then.
	lostRetention = 5 * time.Second
	// maxLost bounds the lost orders that are kept.
	maxLost = 1000
)

// recordLost keeps an order for the case that the end of its run is reported later.
func (d *Dispatcher) recordLost(now time.Time, o *order) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostOrder) bool { return now.Sub(l.at) > lostRetention })
	d.lost = append(d.lost, lostOrder{now, o})
	d.lost = d.lost[max(0, len(d.lost)-maxLost):]
}

// isOf reports whether an end is that of the order's run.
func (o *order) isOf(m *pb.RunEnd) bool {
	return o.worker == m.Worker && o.run == m.Run && o.task.name() == m.Task
}

// applyEarlierEnds applies the ends of runs that earlier processes of an agent started. How long these
// runs have lasted isn't known, so nothing is learned from them.
func (d *Dispatcher) applyEarlierEnds(now time.Time, a *agent, ends []*pb.RunEnd) {
	for _, m := range ends {
		for _, old := range d.agents {
			if old.name != a.name || !old.replaced {
				continue
			}
			if i := slices.IndexFunc(old.live, func(o *order) bool { return o.isOf(m) }); i >= 0 {
				d.handleEarlierEnd(now, a, old.live[i], m.State)
				break
			}
		}
		i := slices.IndexFunc(d.lost, func(l lostOrder) bool { return l.order.agent.name == a.name && l.order.isOf(m) })
		if i >= 0 && m.State == pb.OrderState_ORDER_STATE_DONE {
			d.handleLateSuccess(now, d.lost[i].order)
		}
	}
}

func (d *Dispatcher) handleEarlierEnd(now time.Time, a *agent, o *order, state pb.OrderState) {
	t := o.task
	switch state {
	case pb.OrderState_ORDER_STATE_DONE:
		d.removeOrder(o)
		t.job.started = true
		d.logRunEnd(now, o, "done", 0)
		d.taskDone(now, t)
	case pb.OrderState_ORDER_STATE_FAILED:
		d.removeOrder(o)
		t.job.started = true
		d.logRunEnd(now, o, "failed", 0)
		d.recordFailure(now, a, t.job)
		d.taskFailed(now, t, a)
	}
}

// handleLateSuccess handles the success of a run that was taken for lost. A later run of the task is
// stopped.
func (d *Dispatcher) handleLateSuccess(now time.Time, o *order) {
	t := o.task
	j := t.job
	if t.done || j.ended {
		return
	}
	d.logRunEnd(now, o, "done, after it was lost", 0)
	j.waiting = slices.DeleteFunc(j.waiting, func(x *task) bool { return x == t })
	d.taskDone(now, t)
	for _, later := range slices.Clone(j.orders) {
		if later.task == t {
			d.stopOrder(later)
		}
	}
}
