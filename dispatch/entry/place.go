package entry

import (
	"time"
)

// place sends waiting tasks to agents that have granted credits, and tells the
// agents how many more the entry could use.
func (e *Entry) place(now time.Time) {
	if starved := e.policy.starved; !starved.IsZero() && now.Sub(starved) >= e.opts.OverbookAfter {
		e.policy.sched.Pool.Overbook()
	}
	for p, ok := e.policy.sched.Next(now); ok; p, ok = e.policy.sched.Next(now) {
		js, a := e.jobs[p.Job.ID], e.byName[p.Agent.ID]
		for i := range p.Tasks {
			a.track(&js.tasks[p.Tasks[i].Number])
		}
	}
	e.policy.opensAt = e.policy.limits.OpensAt(now)
	e.hurry(now)
	e.noteStarved(now)
	e.tellWant()
}

func (e *Entry) noteStarved(now time.Time) {
	p := e.policy
	switch {
	case !p.sched.Queue().Ready():
		p.starved = time.Time{}
	case p.starved.IsZero():
		p.starved = now
	}
}

// tellWant tells the linked agents the unmet demand. Only demand that is new is
// worth a frame of its own; agents count down what they have granted.
func (e *Entry) tellWant() {
	for _, a := range e.agents {
		if !a.session.IsUp() || a.leaving {
			continue
		}
		n := uint32(e.policy.sched.Want(e.policy.sched.Pool.Agent(a.hello.Agent)))
		if n > 0 && a.wanted == 0 {
			a.dirty = true
		}
		a.wanted = n
	}
}
