package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Counts sums up an entry's state.
type Counts struct {
	// Jobs accepted and not answered, tasks not dispatched, credits not used.
	Jobs, Waiting, Credits int
	// Agents with a link, and those not given up without one.
	LinksUp, LinksDown int
	// Agents that get no work because tasks fail there.
	Suspended int
}

// Counts returns the sums of now; its cost grows with the number of agents.
func (e *Entry) Counts() Counts {
	c := Counts{Jobs: e.deadlines.Len() + len(e.recoveries) - len(e.recovered), Waiting: e.policy.sched.Waiting(), Credits: e.policy.sched.Pool.Credits()}
	for _, a := range e.agents {
		switch {
		case a.session.IsUp():
			c.LinksUp++
		case !a.gone:
			c.LinksDown++
		}
		if a.standing == place.Suspended {
			c.Suspended++
		}
	}
	return c
}

// AgentStatuses returns each agent as this entry sees it, by name. The messages
// in it are shared and must not be changed.
func (e *Entry) AgentStatuses() []*pb.AgentStatus {
	list := make([]*pb.AgentStatus, 0, len(e.agents))
	for _, a := range e.agents {
		list = append(list, &pb.AgentStatus{
			Hello:          a.hello,
			Load:           a.load,
			Credits:        e.creditsOf(a),
			Suspended:      standingTexts[a.standing],
			Linked:         a.session.IsUp(),
			Leaving:        a.leaving,
			ConfigRevision: a.revision,
		})
	}
	return list
}

// standingTexts tell operators why an agent gets less work or none.
var standingTexts = map[place.Standing]string{
	place.Trial:     "on trial",
	place.Suspended: "tasks fail there",
}

func (e *Entry) creditsOf(a *agent) uint32 {
	if known := e.policy.sched.Pool.Agent(a.hello.Agent); known != nil {
		return uint32(max(0, known.Credits()))
	}
	return 0
}

// Use is what one contract's tasks of this entry take.
type Use struct {
	Waiting, Running uint32
	// MemoryBytes is what is reserved for the running ones.
	MemoryBytes uint64
}

// Uses returns the use of each contract with waiting or running tasks; its cost
// grows with the number of tasks at agents.
func (e *Entry) Uses() map[string]Use {
	uses := make(map[string]Use)
	for name := range e.policy.contracts {
		if n := e.policy.sched.WaitingOf(name); n > 0 {
			uses[name] = Use{Waiting: uint32(n)}
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

// Answered tells of a job that Ready has just answered: the time from its
// acceptance, and the ideal, the longest run time of its tasks. False: it was not
// accepted here.
func (e *Entry) Answered(a Ended) (response, ideal time.Duration, ok bool) {
	js := e.jobs[job.Name(a.Contract, a.Answer.Job)]
	if js == nil || js.answer == nil {
		return 0, 0, false
	}
	accepted := js.deadline.Add(-time.Duration(js.job.TimeoutMs) * time.Millisecond)
	for _, res := range js.answer.Results {
		ideal = max(ideal, time.Duration(res.RunMillis)*time.Millisecond)
	}
	return js.answered.Sub(accepted), ideal, true
}
