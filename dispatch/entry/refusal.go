package entry

import (
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/dispatch/health"
)

// maxRefusals is how many refusals by endpoints end a task and its job.
const maxRefusals = 16

// refusedByEndpoint handles the refusal of a task by the endpoint beside the task's
// agent. It reports whether the refusal ends the task, and its job.
//
// An endpoint whose service is down refuses immediately, so its slots are always
// free and it would attract all work. A task that every endpoint refuses would be
// sent around until its deadline, at thousands of messages a second. Refusals
// therefore count as failures in the endpoint's health, and a task that was refused
// too often is abandoned.
func (e *Entry) refusedByEndpoint(now time.Time, t *taskState) bool {
	t.refusals++
	j := t.job.job
	e.policy.health.Report(t.agent.hello.Agent, health.Result{Contract: j.Contract, Kind: j.Kind, Failed: true}, now)
	e.updateAgent(now, t.agent)
	if t.refusals < maxRefusals || t.job.answer != nil || t.job.pending != nil {
		return false
	}
	t.phase = ended
	t.job.openTasks--
	e.endEarly(now, t.job, jobs.CodeUnavailable, "endpoints refuse to begin a task of the job")
	return true
}
