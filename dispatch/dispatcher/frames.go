package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/link"
)

// An input concerns few agents, so only those that it touches are processed after it:
// an entry with a thousand agents must not visit each of them at each report.

// touch has Ready process an agent.
func (d *Dispatcher) touch(a *agent) {
	if !a.touched {
		a.touched = true
		d.touched = append(d.touched, a)
	}
}

func (d *Dispatcher) touchAll() {
	for _, a := range d.agents {
		d.touch(a)
	}
}

// expediteAgents is how many agents may be asked for immediate reports at a time. Work waits for
// the first free capacity, not for reports of all agents. An agent near capacity reports more than
// a hundred changes a second; those of sixty agents leave a small entry too little CPU to place
// work, and it refuses jobs for which workers have free capacity.
const expediteAgents = 16

// expediteAfterRefusal is how long after a job was refused for lack of free capacity agents
// keep reporting released capacity immediately: the next jobs of the burst arrive meanwhile.
//
// Under overload jobs are refused rather than queued, and capacity that is reported only with
// the next regular report has been taken by then.
const expediteAfterRefusal = 300 * time.Millisecond

// updateExpedite asks some agents for immediate reports when work of their service waits or was
// refused recently, and ends that request afterwards.
func (d *Dispatcher) updateExpedite(now time.Time) {
	for service, w := range d.waitlists {
		if expedite := (len(w.jobs) > 0 || now.Sub(w.refusedAt) < expediteAfterRefusal) && !d.opts.Disabled.Has(disabled.Expedite); expedite != w.expedite {
			w.expedite = expedite
			d.setExpedite(service, expedite)
		}
	}
}

func (d *Dispatcher) setExpedite(service string, expedite bool) {
	remaining := expediteAgents - d.expedited
	for i := range d.agents {
		if expedite && remaining <= 0 {
			return
		}
		a := d.agents[(d.cursor+i)%len(d.agents)]
		if a.state.GetService() != service || !a.session.IsUp() || a.expedite == expedite {
			continue
		}
		a.dirty = true
		d.touch(a)
		remaining--
	}
}

// recordExpedite records whether an agent has been asked for immediate reports.
func (d *Dispatcher) recordExpedite(a *agent, expedite bool) {
	if a.expedite == expedite {
		return
	}
	a.expedite = expedite
	if expedite {
		d.expedited++
	} else {
		d.expedited--
	}
}

// flushTouched builds the frames that are due and reschedules the touched agents.
func (d *Dispatcher) flushTouched(now time.Time) {
	for _, a := range d.touched {
		a.touched = false
		d.flush(now, a)
		d.scheduleWake(a)
	}
	d.touched = d.touched[:0]
}

func (d *Dispatcher) scheduleWake(a *agent) {
	if d.byIncarnation[a.incarnation] != a {
		return // removed
	}
	a.wakeAt = d.nextWake(a)
	if a.wakePos == indexheap.Absent {
		d.timers.Push(a)
		return
	}
	d.timers.Fix(a.wakePos)
}

func (d *Dispatcher) nextWake(a *agent) time.Time {
	if a.session.IsUp() {
		next := a.session.Next()
		if len(a.live) > 0 {
			next = link.Earlier(next, a.lastSent.Add(d.renewInterval()))
		}
		return next
	}
	if !a.abandoned {
		return a.downAt.Add(d.opts.Timeouts.ReconnectTimeout)
	}
	if len(a.live) > 0 {
		return a.lastSent.Add(d.opts.Timeouts.RunsEndedAfter)
	}
	return a.downAt.Add(agentRetention)
}

func (d *Dispatcher) renewInterval() time.Duration {
	return time.Duration(renewShare * float64(d.opts.Timeouts.EntryTimeout))
}

// flush builds the frame for an agent, if one is due.
func (d *Dispatcher) flush(now time.Time, a *agent) {
	if !a.session.IsUp() {
		return
	}
	expedite := d.waitlist(a.state.GetService()).expedite && (a.expedite || d.expedited < expediteAgents)
	renew := len(a.live) > 0 && !now.Before(a.lastSent.Add(d.renewInterval()))
	if !a.dirty && !renew && !a.session.Due(now) && !a.sendEntries && !a.sendEvacuations && !d.terminated {
		return
	}
	f := &pb.OrderFrame{
		Orders: a.pending.Orders, Stops: a.pending.Stops, SentNs: now.UnixNano(), Eager: expedite,
		ReportEveryMs: uint32(d.reportInterval(now).Milliseconds()), Clock: d.opts.Events.Stamp(now), Ended: d.terminated,
	}
	if a.sendEntries {
		f.Entries = a.entries
	}
	if a.sendEvacuations {
		f.Evacuations = d.evacuations.Message()
	}
	f.Seq, f.Ack = a.session.Send(now, len(f.Orders) > 0 || len(f.Stops) > 0)
	f.InvitedBy, a.invitedBy = a.invitedBy, nil
	a.pending = pb.OrderFrame{}
	a.dirty, a.sendEntries, a.sendEvacuations, a.lastSent = false, false, false, now
	d.recordExpedite(a, expedite)
	d.ready.Frames = append(d.ready.Frames, OutgoingFrame{Agent: a.incarnation, Epoch: a.session.Epoch(), Frame: f})
}
