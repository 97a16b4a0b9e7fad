package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// In a fleet an entry is linked to a subset of the agents. Other entries may have what it
// lacks: workers with a label that none of its own has, or free capacity while its own are
// full. It asks some of them to have suitable agents link to it for a while. The job's runs
// are then its own like all others, so no guarantee depends on a third process; forwarding
// the job would put one between the caller and its runs.

// AgentRequest asks the driver to have other entries invite agents.
type AgentRequest struct {
	Service string
	Size    size.Size
	// Label that a worker must have; empty: any.
	Label     string
	MaxAgents int
}

const (
	// minRequestInterval is the least time between two requests for the same kind of worker.
	// The interval grows up to maxRequestInterval while requests yield no agents: then the
	// whole fleet is full, and requests only cost entries that have nothing to offer.
	minRequestInterval = 250 * time.Millisecond
	maxRequestInterval = 4 * time.Second
	// agentsPerRequest is how many agents each entry asked may invite at most. With two
	// entries asked, that adds a tenth or two to an entry's own agents.
	agentsPerRequest = 4
	// requestTimeout is how long a job that no known worker may run is held: time for a
	// request and its reply, the frame to the agent and its handshake, on busy processors.
	requestTimeout = 150 * time.Millisecond
	// maxRequestKeys bounds the recorded requests: labels come from callers, who may use
	// any number of them.
	maxRequestKeys = 64
)

// requestBackoff limits how often the same kind of worker is requested.
type requestBackoff struct {
	last     time.Time
	interval time.Duration // until the next request is allowed
}

// partiallyLinked reports whether some agents have no link to this entry by design.
func (d *Dispatcher) partiallyLinked() bool {
	return len(d.entries) > subset.LinksPerAgent && !d.opts.Disabled.Has(disabled.Invitations)
}

// requestAgents asks other entries for agents that may run a step's tasks, subject to backoff.
func (d *Dispatcher) requestAgents(now time.Time, j *job, s *step) {
	if !d.partiallyLinked() {
		return
	}
	key := j.queue.Service + "/" + s.Requires
	w := d.requests[key]
	if w == nil {
		if len(d.requests) >= maxRequestKeys {
			clear(d.requests)
		}
		w = &requestBackoff{}
		d.requests[key] = w
	}
	elapsed := now.Sub(w.last)
	if elapsed < w.interval {
		return
	}
	if elapsed >= 2*maxRequestInterval {
		w.interval = minRequestInterval / 2
	}
	w.last, w.interval = now, min(2*w.interval, maxRequestInterval)
	d.ready.AgentRequests = append(d.ready.AgentRequests, AgentRequest{Service: j.queue.Service, Size: s.Size, Label: s.Requires, MaxAgents: agentsPerRequest})
	d.opts.OnDecision(Decision{Event: "agents_wanted", Job: j.ID, Queue: j.queue.Name, Reason: s.Requires, Waiting: len(d.agents)})
}

// RecordInvitations records how many agents other entries have invited.
func (d *Dispatcher) RecordInvitations(w AgentRequest, agents int) {
	if a := d.requests[w.Service+"/"+w.Label]; a != nil && agents > 0 {
		a.interval = minRequestInterval
	}
}

// requestFitting asks other entries for workers that fit those steps of a job which fit no
// known worker, and reports whether the job is to be held meanwhile.
func (d *Dispatcher) requestFitting(now time.Time, j *job, fits []bool) bool {
	if !d.partiallyLinked() || j.requested {
		return false
	}
	j.requested, j.requestedUntil = true, now.Add(requestTimeout)
	for i := range j.steps {
		if !fits[i] {
			d.requestAgents(now, j, &j.steps[i])
		}
	}
	return true
}

// InviteAgents has agents with free capacity that may run what another entry requests link to it,
// and returns how many.
func (d *Dispatcher) InviteAgents(now time.Time, address string, w AgentRequest) int {
	invited := 0
	n := len(d.agents)
	for i := range n {
		a := d.agents[(d.cursor+i)%n]
		if invited >= w.MaxAgents {
			break
		}
		if !d.takesOrders(a, w.Service) || a.healthState != place.Healthy {
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
	d.opts.OnDecision(Decision{Event: "agents_invited", Reason: w.Label, Waiting: invited, Outcome: address})
	return invited
}
