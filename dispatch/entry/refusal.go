package entry

import (
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/dispatch/health"
)

// maxRefusals is how often endpoints may refuse a task before they begin it.
const maxRefusals = 16

// refusedByEndpoint takes in that the endpoint beside the task's agent did not
// begin it. It returns whether that ends the task, and its job.
//
// An endpoint whose service is down refuses in no time, so its slots are always
// free and it would draw all work; a task that no endpoint takes would go round
// until its deadline. One would notice thousands of messages a second for a task
// that never runs. The endpoint is judged as one that fails its tasks, and the
// task is given up when it was refused too often.
func (e *Entry) refusedByEndpoint(now time.Time, t *taskState) bool {
	t.refusals++
	j := t.job.job
	e.policy.health.Report(t.agent.hello.Agent, health.Result{Contract: j.Contract, Kind: j.Kind, Failed: true}, now)
	e.updateAgent(now, t.agent)
	if t.refusals < maxRefusals || t.job.answer != nil || t.job.ending != nil {
		return false
	}
	t.phase = ended
	t.job.open--
	e.endEarly(now, t.job, jobs.CodeUnavailable, "endpoints refuse to begin a task of the job")
	return true
}
