package dispatcher

import (
	"maps"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// greeting is what asks for a link, until the agent's first frame shows that it has
// taken the answer.
//
// A greeting may be delivered after its process has ended and another one is linked. A
// process that answers was alive when its greeting arrived, and an agent has one process at a
// time, so of two that have answered the one greeted later is the later one; no clocks are
// compared.
type greeting struct {
	*pb.AgentGreeting
	at      time.Time
	entries []string // that the agent was told in answer
	// evacuations that the agent was told in answer
	evacuations *pb.Evacuations
}

// LinkUp takes in that an agent asks for a link, and returns the first frame for it.
// The link counts from the agent's first frame on.
func (d *Dispatcher) LinkUp(now time.Time, g *pb.AgentGreeting) *pb.OrderFrame {
	d.begin(now)
	entries := subset.First(g.Agent, d.entries, subset.Told)
	d.greeted[g.Incarnation] = greeting{g, now, entries, d.evacuations.Message()}
	// The agent has closed its earlier link before it asked for this one.
	if a := d.agent(g.Incarnation); a != nil && a.session.IsUp() {
		d.down(now, a, "the agent asked for another link")
	}
	return &pb.OrderFrame{
		Hello: &pb.EntryGreeting{
			Entry: d.opts.Entry, Incarnation: d.opts.Incarnation, FailureDomain: d.opts.FailureDomain,
			Evacuations: d.evacuations.Message(),
		},
		SentNs: now.UnixNano(), Clock: d.opts.Events.Stamp(now), Entries: entries,
	}
}

// confirm takes in that the agent has taken the link. An earlier process of the same
// agent has ended.
func (d *Dispatcher) confirm(now time.Time, g greeting) {
	delete(d.greeted, g.Incarnation)
	for _, other := range d.agents {
		if other.name == g.Agent && other.incarnation != g.Incarnation && other.greetedAt.After(g.at) {
			d.opts.Decided(Decision{Event: "late_greeting", Agent: g.Agent, Reason: "a later process is linked", Age: now.Sub(g.at)})
			d.ready.Close = append(d.ready.Close, g.Incarnation)
			return
		}
	}
	afterOther := false
	for _, old := range d.agents {
		if old.name == g.Agent && old.incarnation != g.Incarnation {
			afterOther = true
			if !old.replaced {
				d.replaced(now, old)
			}
		}
	}
	a := d.agent(g.Incarnation)
	if a == nil {
		a = &agent{name: g.Agent, incarnation: g.Incarnation, domain: g.FailureDomain, slowness: 1, wakePos: indexheap.Absent}
		d.agents = append(d.agents, a)
		d.byIncarnation[a.incarnation] = a
		d.health.Add(a.incarnation)
	}
	a.session.Up(now, g.Epoch, d.opts.Link)
	a.lastSent, a.gaveUp, a.greetedAt, a.afterOther = now, false, g.at, afterOther
	a.out = pb.OrderFrame{}
	a.entries, a.tellEntries, a.dirty, a.eager = g.entries, false, true, false
	a.tellEvacuations = g.evacuations != d.evacuations.Message()
	d.setEntriesOf(a)
	d.touch(a)
	d.opts.Decided(Decision{Event: "agent_linked", Agent: a.name, Waiting: len(a.live), Age: now.Sub(g.at)})
	d.reconcile(now, a, g.AgentGreeting)
}

// dropUnconfirmed closes links that their agents have not taken.
func (d *Dispatcher) dropUnconfirmed(now time.Time) {
	for _, incarnation := range slices.Sorted(maps.Keys(d.greeted)) {
		if g := d.greeted[incarnation]; !now.Before(d.confirmBy(g)) {
			delete(d.greeted, incarnation)
			d.opts.Decided(Decision{Event: "late_greeting", Agent: g.Agent, Reason: "no frame followed", Age: now.Sub(g.at)})
			d.ready.Close = append(d.ready.Close, incarnation)
		}
	}
}

func (d *Dispatcher) confirmBy(g greeting) time.Time { return g.at.Add(d.opts.Link.HeartbeatTimeout) }

// nextUnconfirmed is when dropUnconfirmed is due; zero: there are none.
func (d *Dispatcher) nextUnconfirmed() (next time.Time) {
	for _, g := range d.greeted {
		next = link.Earlier(next, d.confirmBy(g))
	}
	return next
}

// reconcile settles the orders of an earlier link with what the agent says it has
// received: an order that did not arrive never will, since the agent has closed
// that link. Ends that were lost with it come again as news.
func (d *Dispatcher) reconcile(now time.Time, a *agent, g *pb.AgentGreeting) {
	seen := uint64(0)
	for _, m := range g.Met {
		if m.Incarnation == d.opts.Incarnation {
			seen = m.SeenOrder
		}
	}
	for _, o := range slices.Clone(a.live) {
		switch {
		case o.number > seen:
			d.refused(now, o, "lost with its link")
		case o.stopped:
			a.out.Stops = append(a.out.Stops, o.number)
		}
	}
}

// replaced takes in that an agent's process has ended and another has begun beside
// the same worker. The worker goes on with what the first one started until its
// lease ends, so these runs count as live until the second one has found none.
func (d *Dispatcher) replaced(now time.Time, a *agent) {
	a.replaced = true
	if a.session.IsUp() {
		d.down(now, a, "the agent was restarted")
	}
	d.opts.Decided(Decision{Event: "agent_replaced", Agent: a.name, Waiting: len(a.live)})
}

// settlePredecessors takes in that nothing is left of what an agent's earlier
// processes started.
func (d *Dispatcher) settlePredecessors(now time.Time, a *agent) {
	a.afterOther = false
	for _, old := range slices.Clone(d.agents) {
		if old.name == a.name && old.replaced {
			d.lost(now, old, "the agent was restarted")
			d.remove(old)
		}
	}
}

func (d *Dispatcher) remove(a *agent) {
	d.health.Remove(a.incarnation)
	d.agents = slices.DeleteFunc(d.agents, func(x *agent) bool { return x == a })
	delete(d.byIncarnation, a.incarnation)
	if a.wakePos != indexheap.Absent {
		d.wakes.Remove(a.wakePos)
	}
}

// LinkDown takes in that a link was lost.
func (d *Dispatcher) LinkDown(now time.Time, incarnation string, epoch uint64) {
	if g, ok := d.greeted[incarnation]; ok && g.Epoch == epoch {
		delete(d.greeted, incarnation)
	}
	a := d.agent(incarnation)
	if a == nil || !a.session.IsUp() || a.session.Epoch() != epoch {
		return
	}
	d.down(now, a, "the link broke")
}

func (d *Dispatcher) down(now time.Time, a *agent, why string) {
	a.session.Down()
	a.downAt = now
	d.touch(a)
	d.opts.Decided(Decision{Event: "agent_lost", Agent: a.name, Reason: why, Waiting: len(a.live), Age: now.Sub(a.stateAt)})
	// Starts that are not framed yet have not left this process.
	framed := a.out.Orders
	a.out = pb.OrderFrame{}
	for _, f := range framed {
		if o := a.byNumber(f.Number); o != nil {
			d.refused(now, o, "not sent")
		}
	}
}
