package agent

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/limit"
)

// slots is how the endpoint's slots are given to entries: divided by credits, or
// shared by all.
type slots interface {
	Link(entry string, now time.Time)
	Unlink(entry string)
	SetWant(entry string, want int)
	Returned(entry string, n int)
	Unused(entry string, units int)
	Start(entry string, units int) limit.Verdict
	Dequeue(entry string, units int) bool
	Queued(entry string) int
	Cancel(entry string, units int)
	End(entry string, units int)
	Sticky(entry string, units int) int
	Balance(now time.Time, changes []limit.Grant) []limit.Grant
	RecallAt() time.Time
	Free() int
}

func newSlots(o Options) slots {
	if o.Divided {
		return limit.NewCredits(limit.CreditsOptions{Slots: int(o.Hello.Slots), Damping: o.Damping})
	}
	return limit.NewShared(limit.SharedOptions{Slots: int(o.Hello.Slots), MaxQueued: o.MaxQueued})
}

// queued is a task that was accepted and has not started.
type queued struct {
	task  *task
	run   Run
	class pb.Class
}

// enqueue puts a task behind those of its class and before those of lower ones:
// an urgent task must not wait for another customer's bulk.
func (a *Agent) enqueue(q queued) {
	q.task.queued = true
	pos := slices.IndexFunc(a.queue, func(o queued) bool { return o.class > q.class })
	if pos < 0 {
		pos = len(a.queue)
	}
	a.queue = slices.Insert(a.queue, pos, q)
}

// runQueued starts what waits and fits now, in order. A task whose deadline has
// passed meanwhile is refused: nobody waits for it.
func (a *Agent) runQueued(now time.Time) {
	for len(a.queue) > 0 {
		q := a.queue[0]
		if !now.Before(q.run.Deadline) {
			a.unqueue(q.task, job.RefusedRevoked)
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

// unqueue refuses a task that waits. It has not started, and with its place in
// the queue gone it never will.
func (a *Agent) unqueue(t *task, why string) {
	rec := t.rec
	a.queue = slices.DeleteFunc(a.queue, func(q queued) bool { return q.task == t })
	t.queued = false
	a.slots.Cancel(rec.home, t.units)
	t.result = refusal(t.index, why)
	rec.running--
	if home := a.homeOf(rec); home != nil && home.session.IsUp() {
		a.addNews(home, rec.name, t.result)
		a.regrant(home, t.units)
	}
	a.retire(rec)
}

// unqueueJob refuses what waits of a job; an empty name means of all jobs.
func (a *Agent) unqueueJob(name, why string) {
	for _, q := range slices.Clone(a.queue) {
		if name == "" || q.task.rec.name == name {
			a.unqueue(q.task, why)
		}
	}
}
