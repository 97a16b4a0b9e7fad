package entry

import (
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// place sends waiting tasks to agents that have granted credits, and tells the
// agents how many more the entry could use.
func (e *Entry) place(now time.Time) {
	for p, ok := e.policy.sched.Next(now); ok; p, ok = e.policy.sched.Next(now) {
		js, a := e.jobs[p.Job.ID], e.byName[p.Agent.ID]
		js.touched = true
		for i := range p.Tasks {
			a.track(&js.tasks[p.Tasks[i].Number])
		}
	}
	e.policy.opensAt = e.policy.limits.OpensAt(now)
	e.tellWant(now)
}

// tellWant tells the linked agents the unmet demand. Only demand that is new is
// worth a frame of its own; agents count down what they have granted.
func (e *Entry) tellWant(now time.Time) {
	for _, a := range e.agents {
		if !a.session.IsUp() || a.leaving {
			continue
		}
		n := uint32(e.policy.sched.Want(e.policy.sched.Pool.Agent(a.hello.Agent)))
		if n > 0 && a.wanted == 0 {
			a.flushLater(now, e.opts.CreditDelay)
		}
		a.wanted = n
	}
}

// refused takes in that an agent has not started a task and never will.
func (e *Entry) refused(now time.Time, t *taskState, res *pb.TaskResult) {
	if res.Error == job.RefusedFenced {
		// Another entry took this one for dead and is gathering the job's results;
		// starting the task elsewhere could contradict what it tells the caller.
		t.phase = ended
		t.job.open--
		if t.job.answer == nil {
			e.revokeAll(t.job)
			e.answer(now, t.job, unknown(t.job.job.Id, jobs.CodeHomeLost, "another entry took over the job's recovery"))
		}
		return
	}
	e.requeue(t)
}
