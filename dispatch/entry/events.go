package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// record records an event about a job. The contract may be empty.
func (e *Entry) record(now time.Time, kind event.Kind, jobID, contract, detail string, value int) {
	e.opts.Events.Record(now, event.Event{
		Kind: kind, Job: jobID, Contract: contract, Detail: detail, Value: uint64(max(0, value)),
	})
}

// recordPeer records an event about an agent.
func (e *Entry) recordPeer(now time.Time, kind event.Kind, a *agent, detail string, value uint64) {
	e.opts.Events.Record(now, event.Event{Kind: kind, Peer: a.hello.Agent, Detail: detail, Value: value})
}

// recordHealthState records a change of an agent's health state.
func (e *Entry) recordHealthState(now time.Time, a *agent, to place.HealthState) {
	if a.healthState == to {
		return
	}
	kind := map[place.HealthState]event.Kind{
		place.Suspended: event.WorkerSuspended, place.Trial: event.WorkerTrial, place.Healthy: event.WorkerResumed,
	}[to]
	a.healthState = to
	e.recordPeer(now, kind, a, healthStateTexts[to], 0)
}

// recordTask records an event about a task and its agent.
func (e *Entry) recordTask(now time.Time, kind event.Kind, t *taskState, a *agent, detail string) {
	e.opts.Events.Record(now, event.Event{
		Kind: kind, Job: t.job.job.Id, Contract: t.job.job.Contract, Task: t.index, Peer: a.hello.Agent, Detail: detail,
	})
}

// recordRefusal records a submission that was answered without starting a job.
func (e *Entry) recordRefusal(now time.Time, j *pb.Job, a *pb.Answer) {
	kind := event.JobRefused
	if a.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
		kind = event.JobAnswered
	}
	e.record(now, kind, j.Id, j.Contract, outcomeText(a), 0)
}

// recordAnswers records the answers that Ready returns.
func (e *Entry) recordAnswers(now time.Time, answers []JobAnswer) {
	for _, ended := range answers {
		a, took := ended.Answer, time.Duration(0)
		if js := e.jobs[job.Name(ended.Contract, a.Job)]; js != nil {
			took = now.Sub(js.deadline.Add(-time.Duration(js.job.TimeoutMs) * time.Millisecond))
		}
		e.record(now, event.JobAnswered, a.Job, ended.Contract, outcomeText(a), int(took.Milliseconds()))
	}
}

// outcomeTexts are the texts of outcomes in events.
var outcomeTexts = map[pb.Outcome]string{
	pb.Outcome_OUTCOME_COMPLETE: "complete",
	pb.Outcome_OUTCOME_FAILED:   "failed",
	pb.Outcome_OUTCOME_NOT_RUN:  "not run",
	pb.Outcome_OUTCOME_UNKNOWN:  "outcome unknown",
}

// outcomeText returns the outcome with its code and message. The common case, an
// answer without a code, does not allocate.
func outcomeText(a *pb.Answer) string {
	text := outcomeTexts[a.Outcome]
	if a.Code == "" {
		return text
	}
	return text + ", " + a.Code + ": " + a.Message
}

// recordSent records the contents of a frame to an agent. Call it before the frame's
// number is assigned to the pending starts: a task that has a number was sent before,
// over an older link.
func (e *Entry) recordSent(now time.Time, a *agent, f *pb.EntryFrame) {
	for _, t := range a.pendingStarts {
		if t.seq != 0 {
			e.recordTask(now, event.TaskResent, t, a, "over a new link")
			continue
		}
		e.recordTask(now, event.TaskDispatched, t, a, "")
	}
	for _, r := range f.Revokes {
		for _, index := range r.Tasks {
			e.recordNamed(now, r.Job, event.Event{Kind: event.TaskRevoked, Task: index, Peer: a.hello.Agent})
		}
	}
	for _, fence := range f.Fences {
		e.recordNamed(now, fence.Job, event.Event{Kind: event.JobFenced, Peer: a.hello.Agent})
	}
	if f.Returned > 0 {
		e.recordPeer(now, event.CreditsReturned, a, "", uint64(f.Returned))
	}
}

// recordReceived records the contents of a frame from an agent.
func (e *Entry) recordReceived(now time.Time, a *agent, f *pb.AgentFrame) {
	if f.Granted > 0 {
		e.recordPeer(now, event.CreditsGranted, a, "", uint64(f.Granted))
	}
	if f.Recall > 0 {
		e.recordPeer(now, event.CreditsRecalled, a, "", uint64(f.Recall))
	}
	if f.Leaving && !a.leaving {
		e.recordPeer(now, event.DrainBegun, a, "the agent is leaving", 0)
	}
	for _, n := range f.News {
		for _, res := range n.Results {
			e.recordResult(now, a, n.Job, res)
		}
	}
	for _, r := range f.Fenced {
		e.recordNamed(now, r.Job, event.Event{
			Kind: event.JobFenced, Peer: a.hello.Agent, Value: uint64(len(r.Results)), Detail: fenceText(r),
		})
	}
}

func (e *Entry) recordResult(now time.Time, a *agent, name string, res *pb.TaskResult) {
	ev := event.Event{
		Kind: event.TaskResult, Task: res.Task, Peer: a.hello.Agent,
		Detail: resultText(res), Value: uint64(res.RunMillis),
	}
	if res.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
		ev.Kind = event.TaskRefused
		ev.Detail = res.Error
	}
	e.recordNamed(now, name, ev)
}

// recordNamed records an event about the job with the given job.Name.
func (e *Entry) recordNamed(now time.Time, name string, ev event.Event) {
	ev.Contract, ev.Job = job.SplitName(name)
	e.opts.Events.Record(now, ev)
}

func resultText(res *pb.TaskResult) string {
	text := outcomeTexts[res.Outcome]
	if res.Error == "" {
		return text
	}
	return text + ": " + res.Error
}

func fenceText(r *pb.FenceReport) string {
	switch {
	case r.HomeAlive:
		return "not fenced, the home has a link here"
	case r.Evicted:
		return "records dropped, more may have run here"
	case len(r.Running) > 0:
		return "tasks still running here"
	}
	return "nothing running here"
}
