package agent

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/limit"
)

// slotAllocator assigns the slots of the endpoint to entries: either divided by
// credits or shared by all entries.
type slotAllocator interface {
	Link(entry string, now time.Time)
	Unlink(entry string)
	SetWant(entry string, want int)
	Return(entry string, n int)
	Refund(entry string, units int)
	Start(entry string, units int) limit.Verdict
	Dequeue(entry string, units int) bool
	Queued(entry string) int
	Cancel(entry string, units int)
	End(entry string, units int)
	Regrant(entry string, units int) int
	Balance(now time.Time, changes []limit.Grant) []limit.Grant
	RecallAt() time.Time
	Free() int
}

func newSlotAllocator(o Options) slotAllocator {
	if o.Divided {
		return limit.NewCredits(limit.CreditsOptions{Slots: int(o.Hello.Slots), RecallDelay: o.RecallDelay})
	}
	return limit.NewSharedSlots(limit.SharedSlotsOptions{Slots: int(o.Hello.Slots), MaxQueued: o.MaxQueued})
}

// queuedTask is a task that was accepted but has not started.
type queuedTask struct {
	task  *task
	run   Run
	class pb.Class
}

// enqueue inserts a task after those of its class and before those of lower
// classes: an urgent task must not wait for bulk work of another customer.
func (a *Agent) enqueue(q queuedTask) {
	q.task.queued = true
	pos := slices.IndexFunc(a.queue, func(o queuedTask) bool { return o.class > q.class })
	if pos < 0 {
		pos = len(a.queue)
	}
	a.queue = slices.Insert(a.queue, pos, q)
}

// startQueued starts queued tasks in order, as far as slots are free. Expired tasks
// are refused, since no caller waits for them.
func (a *Agent) startQueued(now time.Time) {
	for len(a.queue) > 0 {
		q := a.queue[0]
		if !now.Before(q.run.Deadline) {
			a.refuseQueued(q.task, job.RefusedRevoked)
			continue
		}
		if !a.slots.Dequeue(q.task.rec.home, q.task.units) {
			return
		}
		a.queue = a.queue[1:]
		q.task.queued = false
		a.run(now, a.homeOf(q.task.rec), q.task, q.run)
	}
}

// refuseQueued removes a task from the queue and refuses it. The task has not
// started and can't start any more.
func (a *Agent) refuseQueued(t *task, reason string) {
	rec := t.rec
	a.queue = slices.DeleteFunc(a.queue, func(q queuedTask) bool { return q.task == t })
	t.queued = false
	a.slots.Cancel(rec.home, t.units)
	t.result = refusal(t.index, reason)
	rec.active--
	if home := a.homeOf(rec); home != nil && home.session.IsUp() {
		a.addResult(home, rec.name, t.result)
		a.grantAgain(home, t.units)
	}
	a.queueEviction(rec)
}

// refuseQueuedJob refuses the queued tasks of a job, or of all jobs if name is empty.
func (a *Agent) refuseQueuedJob(name, reason string) {
	for _, q := range slices.Clone(a.queue) {
		if name == "" || q.task.rec.name == name {
			a.refuseQueued(q.task, reason)
		}
	}
}
