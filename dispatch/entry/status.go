package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Counts is a summary of an entry's state.
type Counts struct {
	// Jobs without an answer, tasks not dispatched, credits not used.
	Jobs, Waiting, Credits int
	// Agents with a link, and agents without one that are not abandoned.
	LinksUp, LinksDown int
	// Agents that get no work because tasks fail on them.
	Suspended int
}

// Counts returns the current summary. Its cost grows with the number of agents.
func (e *Entry) Counts() Counts {
	c := Counts{Jobs: e.deadlines.Len() + len(e.recoveries) - len(e.endedRecoveries), Waiting: e.policy.sched.Waiting(), Credits: e.policy.sched.Pool.Credits()}
	for _, a := range e.agents {
		switch {
		case a.session.IsUp():
			c.LinksUp++
		case !a.abandoned:
			c.LinksDown++
		}
		if a.healthState == place.Suspended {
			c.Suspended++
		}
	}
	return c
}

// AgentStatuses returns this entry's view of each agent, ordered by name. The nested
// messages are shared and must not be modified.
func (e *Entry) AgentStatuses() []*pb.AgentStatus {
	list := make([]*pb.AgentStatus, 0, len(e.agents))
	for _, a := range e.agents {
		list = append(list, &pb.AgentStatus{
			Hello:          a.hello,
			Load:           a.load,
			Credits:        e.creditsOf(a),
			Suspended:      healthStateTexts[a.healthState],
			Linked:         a.session.IsUp(),
			Leaving:        a.leaving,
			ConfigRevision: a.revision,
		})
	}
	return list
}

// healthStateTexts tell operators why an agent gets less work or none.
var healthStateTexts = map[place.HealthState]string{
	place.Trial:     "on trial",
	place.Suspended: "tasks fail there",
}

func (e *Entry) creditsOf(a *agent) uint32 {
	if known := e.policy.sched.Pool.Agent(a.hello.Agent); known != nil {
		return uint32(max(0, known.Credits()))
	}
	return 0
}

// ContractUsage is the resource usage of one contract's tasks at this entry.
type ContractUsage struct {
	Waiting, Running uint32
	// MemoryBytes is the memory reserved for the running tasks.
	MemoryBytes uint64
}

// Usage returns the usage by contract, for contracts with waiting or running tasks.
// Its cost grows with the number of tasks at agents.
func (e *Entry) Usage() map[string]ContractUsage {
	uses := make(map[string]ContractUsage)
	for name := range e.policy.contracts {
		if n := e.policy.sched.WaitingOf(name); n > 0 {
			uses[name] = ContractUsage{Waiting: uint32(n)}
		}
	}
	for _, a := range e.agents {
		for _, t := range a.tasks {
			u := uses[t.job.job.Contract]
			u.Running++
			u.MemoryBytes += t.start.MemoryBytes
			uses[t.job.job.Contract] = u
		}
	}
	return uses
}

// ResponseTime returns the response time, counted from acceptance, of a job that Ready
// has just answered, and the ideal response time, which is the longest run time of
// its tasks. It reports false if the job was not accepted here.
func (e *Entry) ResponseTime(a JobAnswer) (response, ideal time.Duration, ok bool) {
	js := e.jobs[job.Name(a.Contract, a.Answer.Job)]
	if js == nil || js.answer == nil {
		return 0, 0, false
	}
	accepted := js.deadline.Add(-time.Duration(js.job.TimeoutMs) * time.Millisecond)
	for _, res := range js.answer.Results {
		ideal = max(ideal, time.Duration(res.RunMillis)*time.Millisecond)
	}
	return js.answeredAt.Sub(accepted), ideal, true
}
