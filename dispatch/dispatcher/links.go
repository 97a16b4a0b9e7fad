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

// handshake is an agent's request for a link, until the agent's first frame confirms that it
// has received the reply.
//
// A handshake may be delivered after its process has ended and another one is linked. A
// process that replies was alive when its handshake arrived, and an agent has one process at
// a time. So of two processes that have replied, the one with the later handshake is the
// current one; no clocks are compared.
type handshake struct {
	*pb.AgentGreeting
	at      time.Time
	entries []string // sent to the agent in reply
	// evacuations sent to the agent in reply
	evacuations *pb.Evacuations
}

// LinkUp handles an agent's request for a link and returns the first frame for it. The link
// is up from the agent's first frame on.
func (d *Dispatcher) LinkUp(now time.Time, g *pb.AgentGreeting) *pb.OrderFrame {
	d.recordFirstInput(now)
	entries := subset.First(g.Agent, d.entries, subset.Advertised)
	d.handshakes[g.Incarnation] = handshake{g, now, entries, d.evacuations.Message()}
	// The agent has closed its earlier link before it requested this one.
	if a := d.agent(g.Incarnation); a != nil && a.session.IsUp() {
		d.linkLost(now, a, "the agent asked for another link")
	}
	return &pb.OrderFrame{
		Hello: &pb.EntryGreeting{
			Entry: d.opts.Entry, Incarnation: d.opts.Incarnation, FailureDomain: d.opts.FailureDomain,
			Evacuations: d.evacuations.Message(),
		},
		SentNs: now.UnixNano(), Clock: d.opts.Events.Stamp(now), Entries: entries,
	}
}

// completeHandshake records that the agent has confirmed the link with its first frame. Any earlier
// process of the same agent has ended.
func (d *Dispatcher) completeHandshake(now time.Time, g handshake, first *pb.WorkerFrame) {
	delete(d.handshakes, g.Incarnation)
	for _, other := range d.agents {
		if other.name == g.Agent && other.incarnation != g.Incarnation && other.handshakeAt.After(g.at) {
			d.opts.OnDecision(Decision{Event: "late_greeting", Agent: g.Agent, Reason: "a later process is linked", Age: now.Sub(g.at)})
			d.ready.Close = append(d.ready.Close, g.Incarnation)
			return
		}
	}
	hasPredecessor := false
	for _, old := range d.agents {
		if old.name == g.Agent && old.incarnation != g.Incarnation {
			hasPredecessor = true
			if !old.replaced {
				d.handleReplacement(now, old)
			}
		}
	}
	a := d.agent(g.Incarnation)
	if a != nil && len(a.live) > 0 && (a.forgetful || !d.isNamedBy(g.AgentGreeting)) {
		// What the agent doesn't remember may have begun there. Links are refused until these runs
		// have certainly ended, since its later greetings leave them out, too.
		a.forgetful = true
		d.opts.OnDecision(Decision{Event: "link_refused", Agent: g.Agent, Reason: "the agent has forgotten this entry", Waiting: len(a.live)})
		d.ready.Close = append(d.ready.Close, g.Incarnation)
		return
	}
	if a == nil {
		a = &agent{name: g.Agent, incarnation: g.Incarnation, domain: g.FailureDomain, slowness: 1, speed: 1, loggedSpeed: 1, wakePos: indexheap.Absent}
		d.agents = append(d.agents, a)
		d.byIncarnation[a.incarnation] = a
		d.health.Add(a.incarnation)
	}
	d.lastLink++
	if a.firstLink == 0 {
		a.firstLink = d.lastLink
	}
	a.latestLink = d.lastLink
	a.session.Up(now, g.Epoch, d.opts.Link)
	a.lastSent, a.abandoned, a.replaced, a.forgetful, a.handshakeAt, a.hasPredecessor = now, false, false, false, g.at, hasPredecessor
	a.pending = pb.OrderFrame{}
	a.entries, a.sendEntries, a.dirty = g.entries, false, true
	d.recordExpedite(a, false)
	a.sendEvacuations = g.evacuations != d.evacuations.Message()
	d.updateEntries(a)
	d.touch(a)
	d.opts.OnDecision(Decision{Event: "agent_linked", Agent: a.name, Waiting: len(a.live), Age: now.Sub(g.at)})
	d.reconcile(now, a, max(g.seenOrder(d.opts.Incarnation), first.State.GetSeenOrder()))
}

// expireHandshakes closes links that their agents haven't confirmed in time.
func (d *Dispatcher) expireHandshakes(now time.Time) {
	for _, incarnation := range slices.Sorted(maps.Keys(d.handshakes)) {
		if g := d.handshakes[incarnation]; !now.Before(d.expiryOf(g)) {
			delete(d.handshakes, incarnation)
			d.opts.OnDecision(Decision{Event: "late_greeting", Agent: g.Agent, Reason: "no frame followed", Age: now.Sub(g.at)})
			d.ready.Close = append(d.ready.Close, incarnation)
		}
	}
}

func (d *Dispatcher) expiryOf(g handshake) time.Time { return g.at.Add(d.opts.Link.HeartbeatTimeout) }

// nextHandshakeExpiry returns when expireHandshakes is due; zero: no handshake is open.
func (d *Dispatcher) nextHandshakeExpiry() (next time.Time) {
	for _, g := range d.handshakes {
		next = link.Earlier(next, d.expiryOf(g))
	}
	return next
}

// isNamedBy reports whether an agent's greeting says which orders of this entry it has received.
func (d *Dispatcher) isNamedBy(g *pb.AgentGreeting) bool {
	return slices.ContainsFunc(g.Met, func(m *pb.MetEntry) bool { return m.Incarnation == d.opts.Incarnation })
}

// seenOrder returns the last order of an entry that the agent had received when it asked for the link.
func (g handshake) seenOrder(incarnation string) uint64 {
	for _, m := range g.Met {
		if m.Incarnation == incarnation {
			return m.SeenOrder
		}
	}
	return 0
}

// reconcile compares the orders of earlier links with the last one that the agent had received when
// it sent its first frame on the new link: from then on it ignores all earlier links, so an order
// beyond that one never arrives. The greeting may be older, and an order may have arrived after it
// on a link that was still open. Run ends that were lost with a link are reported again.
func (d *Dispatcher) reconcile(now time.Time, a *agent, seen uint64) {
	for _, o := range slices.Clone(a.live) {
		switch {
		case o.number > seen:
			d.handleRefusal(now, o, "lost with its link")
		case o.stopped:
			a.pending.Stops = append(a.pending.Stops, o.number)
		}
	}
}

// handleReplacement records that an agent's process has ended and another one has started beside
// the same worker. The worker continues what the first process started until its lease
// ends, so these runs count as live until the second process finds none.
func (d *Dispatcher) handleReplacement(now time.Time, a *agent) {
	a.replaced = true
	if a.session.IsUp() {
		d.linkLost(now, a, "the agent was restarted")
	}
	d.opts.OnDecision(Decision{Event: "agent_replaced", Agent: a.name, Waiting: len(a.live)})
}

// settlePredecessors records that no run started by an agent's earlier processes is left on its
// worker. Runs that may be on another one are waited for like those of an agent that can't be
// reached.
func (d *Dispatcher) settlePredecessors(now time.Time, a *agent) {
	a.hasPredecessor = false
	for _, old := range slices.Clone(d.agents) {
		if old.name != a.name || !old.replaced {
			continue
		}
		reason := "their worker may be another one"
		if old.latestLink > a.firstLink {
			reason = "their process has linked after this one"
		} else {
			d.loseOrdersIf(now, old, "the agent was restarted", func(o *order) bool { return o.worker == a.state.Worker })
		}
		// The process is remembered for a while: it may have stood still, and link again.
		if len(old.live) > 0 {
			d.opts.OnDecision(Decision{Event: "orders_kept", Agent: a.name, Reason: reason, Outcome: a.state.Worker, Waiting: len(old.live)})
		}
	}
}

func (d *Dispatcher) remove(a *agent) {
	d.health.Remove(a.incarnation)
	d.speeds.Remove(a.incarnation)
	d.agents = slices.DeleteFunc(d.agents, func(x *agent) bool { return x == a })
	delete(d.byIncarnation, a.incarnation)
	if a.wakePos != indexheap.Absent {
		d.timers.Remove(a.wakePos)
	}
}

// LinkDown records that a link was lost.
func (d *Dispatcher) LinkDown(now time.Time, incarnation string, epoch uint64) {
	if g, ok := d.handshakes[incarnation]; ok && g.Epoch == epoch {
		delete(d.handshakes, incarnation)
	}
	a := d.agent(incarnation)
	if a == nil || !a.session.IsUp() || a.session.Epoch() != epoch {
		return
	}
	d.linkLost(now, a, "the link broke")
}

func (d *Dispatcher) linkLost(now time.Time, a *agent, reason string) {
	a.session.Down()
	a.downAt = now
	d.recordExpedite(a, false)
	d.touch(a)
	d.opts.OnDecision(Decision{Event: "agent_lost", Agent: a.name, Reason: reason, Waiting: len(a.live), Age: now.Sub(a.stateAt)})
	// Orders that aren't in a frame yet have not left this process.
	unsent := a.pending.Orders
	a.pending = pb.OrderFrame{}
	for _, f := range unsent {
		if o := a.findOrder(f.Number); o != nil {
			d.handleRefusal(now, o, "not sent")
		}
	}
}
