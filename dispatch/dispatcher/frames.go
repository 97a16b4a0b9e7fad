package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// An input concerns few agents, so only those that it touches are looked at after it:
// an entry with a thousand agents must not pay for each of them at each report.

// touch has Ready look at an agent.
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

// eagerAgents is how many agents are told at once that work waits, beside those that
// get a frame anyway. Work waits for the first room, not for a report of all.
const eagerAgents = 16

// eagerAfter is how long after a job was refused for want of room agents go on to tell of
// room at once: the next jobs of the same burst come meanwhile.
//
// Under overload jobs are refused and none waits; room heard of only with the next regular
// report has been taken by then.
const eagerAfter = 300 * time.Millisecond

// tellEager has some agents told that work of their service waits, or was refused a moment
// ago, and those that were told so when that is over.
func (d *Dispatcher) tellEager(now time.Time) {
	for service, w := range d.waits {
		if eager := (len(w.jobs) > 0 || now.Sub(w.refusedAt) < eagerAfter) && !d.opts.Without.Has(without.Eager); eager != w.eager {
			w.eager = eager
			d.tellEagerOf(service, eager)
		}
	}
}

func (d *Dispatcher) tellEagerOf(service string, eager bool) {
	left := eagerAgents
	for i := range d.agents {
		a := d.agents[(d.cursor+i)%len(d.agents)]
		if a.state.GetService() != service || !a.session.IsUp() || a.eager == eager {
			continue
		}
		a.dirty = true
		d.touch(a)
		if left--; eager && left == 0 {
			return
		}
	}
}

// flushTouched makes the frames that are due, and sets when each agent is next.
func (d *Dispatcher) flushTouched(now time.Time) {
	for _, a := range d.touched {
		a.touched = false
		d.flush(now, a)
		d.schedule(a)
	}
	d.touched = d.touched[:0]
}

func (d *Dispatcher) schedule(a *agent) {
	if d.byIncarnation[a.incarnation] != a {
		return // removed
	}
	a.wakeAt = d.nextAgent(a)
	if a.wakePos == indexheap.Absent {
		d.wakes.Push(a)
		return
	}
	d.wakes.Fix(a.wakePos)
}

func (d *Dispatcher) nextAgent(a *agent) time.Time {
	if a.session.IsUp() {
		next := a.session.Next()
		if len(a.live) > 0 {
			next = link.Earlier(next, a.lastSent.Add(d.renewEvery()))
		}
		return next
	}
	if !a.gaveUp {
		return a.downAt.Add(d.opts.Times.GiveUp)
	}
	if len(a.live) > 0 {
		return a.lastSent.Add(d.opts.Times.RunsOver)
	}
	return a.downAt.Add(forgetAgentAfter)
}

func (d *Dispatcher) renewEvery() time.Duration {
	return time.Duration(renewPart * float64(d.opts.Times.Silence))
}

// flush makes the frame for an agent, if one is due.
func (d *Dispatcher) flush(now time.Time, a *agent) {
	if !a.session.IsUp() {
		return
	}
	eager := d.waitlist(a.state.GetService()).eager
	renew := len(a.live) > 0 && !now.Before(a.lastSent.Add(d.renewEvery()))
	if !a.dirty && !renew && !a.session.Due(now) && !a.tellEntries && !a.tellEvacuations && !d.over {
		return
	}
	f := &pb.OrderFrame{
		Orders: a.out.Orders, Stops: a.out.Stops, SentNs: now.UnixNano(), Eager: eager,
		ReportEveryMs: uint32(d.reportEvery(now).Milliseconds()), Clock: d.opts.Events.Stamp(now), Ended: d.over,
	}
	if a.tellEntries {
		f.Entries = a.entries
	}
	if a.tellEvacuations {
		f.Evacuations = d.evacuations.Message()
	}
	f.Seq, f.Ack = a.session.Send(now, len(f.Orders) > 0 || len(f.Stops) > 0)
	f.InvitedBy, a.invitedBy = a.invitedBy, nil
	a.out = pb.OrderFrame{}
	a.dirty, a.tellEntries, a.tellEvacuations, a.eager, a.lastSent = false, false, false, eager, now
	d.ready.Frames = append(d.ready.Frames, Out{Agent: a.incarnation, Epoch: a.session.Epoch(), Frame: f})
}
