package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/subset"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// In a fleet an entry is linked to a part of the agents. What it lacks is with others:
// workers with a label that none of its own has, or room while all of its own are taken.
// It asks some other entries, which have agents of theirs that fit link to it for a
// while. The job's runs are then its own like all others, so that no promise rests on a
// third process; handing the job over would put one between the caller and its runs.

// Want asks the driver to have other entries invite agents.
type Want struct {
	Service string
	Size    size.Size
	// Label that a worker must have; empty: any.
	Label  string
	Agents int
}

const (
	// wantEvery is the least time between two questions for the same; it grows up to
	// wantAtMost while they bring nothing: then the whole fleet is taken, and questions
	// would only cost those that have no room to give.
	wantEvery  = 250 * time.Millisecond
	wantAtMost = 4 * time.Second
	// wantAgents is how many agents each entry that is asked invites at most. With two
	// asked, it is a tenth or two of an entry's own.
	wantAgents = 4
	// askWithin is how long a job is held that no known worker may run: a question and
	// its answer, the frame to the agent and its greeting, on processors with other work.
	askWithin = 150 * time.Millisecond
	// maxWants bounds what is remembered of questions: labels come from callers, who may
	// name any number of them.
	maxWants = 64
)

// asked is when something was asked for last.
type asked struct {
	at    time.Time
	pause time.Duration // until it may be asked for again
}

// partial reports whether there are agents that have no link here by design.
func (d *Dispatcher) partial() bool {
	return len(d.entries) > subset.Links && !d.opts.Without.Has(without.Invitations)
}

// want asks others for agents that may run a step's tasks, unless it did so a moment ago.
func (d *Dispatcher) want(now time.Time, j *job, s *step) {
	if !d.partial() {
		return
	}
	key := j.queue.Service + "/" + s.Requires
	w := d.wants[key]
	if w == nil {
		if len(d.wants) >= maxWants {
			clear(d.wants)
		}
		w = &asked{}
		d.wants[key] = w
	}
	ago := now.Sub(w.at)
	if ago < w.pause {
		return
	}
	if ago >= 2*wantAtMost {
		w.pause = wantEvery / 2
	}
	w.at, w.pause = now, min(2*w.pause, wantAtMost)
	d.ready.Wants = append(d.ready.Wants, Want{Service: j.queue.Service, Size: s.Size, Label: s.Requires, Agents: wantAgents})
	d.opts.Decided(Decision{Event: "agents_wanted", Job: j.ID, Queue: j.queue.Name, Reason: s.Requires, Waiting: len(d.agents)})
}

// Invited takes in how many agents other entries have invited.
func (d *Dispatcher) Invited(w Want, agents int) {
	if a := d.wants[w.Service+"/"+w.Label]; a != nil && agents > 0 {
		a.pause = wantEvery
	}
}

// ask has others asked for workers that may run a job's steps at all, and reports
// whether the job is to be held meanwhile.
func (d *Dispatcher) ask(now time.Time, j *job, fits []bool) bool {
	if !d.partial() || j.asked {
		return false
	}
	j.asked, j.askedUntil = true, now.Add(askWithin)
	for i := range j.steps {
		if !fits[i] {
			d.want(now, j, &j.steps[i])
		}
	}
	return true
}

// Invite has agents that have room and may run what another entry wants link to it, and
// returns how many.
func (d *Dispatcher) Invite(now time.Time, address string, w Want) int {
	invited := 0
	n := len(d.agents)
	for i := range n {
		a := d.agents[(d.cursor+i)%n]
		if invited >= w.Agents {
			break
		}
		if !d.takesOrders(a, w.Service) || a.standing != place.Open {
			continue
		}
		if !a.hasLabel(w.Label) || !w.Size.FitsIn(a.free) || len(a.state.GetQueued()) > 0 {
			continue
		}
		a.invitedBy = append(a.invitedBy, address)
		a.dirty = true
		d.touch(a)
		invited++
	}
	d.opts.Decided(Decision{Event: "agents_invited", Reason: w.Label, Waiting: invited, Outcome: address})
	return invited
}
