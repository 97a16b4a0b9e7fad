package entry

import (
	"time"
)

// place sends waiting tasks to agents that have granted credits, and advertises to
// the agents how many more the entry could use.
func (e *Entry) place(now time.Time) {
	if since := e.policy.starvedSince; !since.IsZero() && now.Sub(since) >= e.opts.OverbookDelay {
		e.policy.sched.Pool.Overbook()
	}
	for p, ok := e.policy.sched.Next(now); ok; p, ok = e.policy.sched.Next(now) {
		js, a := e.jobs[p.Job.ID], e.byName[p.Agent.ID]
		for i := range p.Tasks {
			a.track(&js.tasks[p.Tasks[i].Number])
		}
	}
	e.policy.rateOpensAt = e.policy.limits.UnblocksAt(now)
	e.requestExchange(now)
	e.trackStarvation(now)
	e.advertiseDemand()
}

func (e *Entry) trackStarvation(now time.Time) {
	p := e.policy
	switch {
	case !p.sched.Queue().Ready():
		p.starvedSince = time.Time{}
	case p.starvedSince.IsZero():
		p.starvedSince = now
	}
}

// advertiseDemand sends the unmet demand to the linked agents. Only new demand is
// worth a frame of its own: agents deduct the credits that they grant.
func (e *Entry) advertiseDemand() {
	for _, a := range e.agents {
		if !a.session.IsUp() || a.leaving {
			continue
		}
		n := uint32(e.policy.sched.WantedCredits(e.policy.sched.Pool.Agent(a.hello.Agent)))
		if n > 0 && a.sentDemand == 0 {
			a.dirty = true
		}
		a.sentDemand = n
	}
}
