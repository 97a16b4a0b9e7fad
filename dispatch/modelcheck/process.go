package modelcheck

import (
	"fmt"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/link"
)

// process is the state common to entries and agents.
type process struct {
	name, incarnation string
	alive             bool
	draining          bool
	pausedUntil       time.Time
	wasPaused         bool // at any time
	timerAt           time.Time
}

type entryProcess struct {
	process
	core  *entry.Entry
	links map[string]*connection // by agent name
	// view is the membership as this process last read it, incarnation to name.
	view map[string]string
}

type agentProcess struct {
	process
	core    *agent.Agent
	links   map[string]*connection // by entry incarnation
	stopped map[agent.TaskRef]bool
	ended   map[agent.TaskRef]bool
}

// connection is one link. Frames of each direction stay in order.
type connection struct {
	epoch            uint64
	entry            *entryProcess
	agent            *agentProcess
	toAgent, toEntry time.Time // last arrival
	// A blackholed direction drops all frames without notice; broken means that the
	// link is closed, of which both ends are notified.
	blackholeToAgent, blackholeToEntry, broken bool
	open                                       bool // the agent's first frame has arrived
}

// openTimeout is how long the driver waits for a link to be established.
const openTimeout = 200 * time.Millisecond

// run executes f in the process: later if the process is paused, never if it has ended.
func (w *World) run(p *process, f func()) {
	if !p.alive {
		return
	}
	if w.now.Before(p.pausedUntil) {
		w.at(p.pausedUntil, func() { w.run(p, f) })
		return
	}
	f()
}

// setTimer schedules the process's next Tick.
func (w *World) setTimer(p *process, next time.Time, tick func()) {
	if next.IsZero() || (next.Equal(p.timerAt) && next.After(w.now)) {
		return
	}
	if !next.After(w.now) {
		next = w.now.Add(time.Millisecond)
	}
	p.timerAt = next
	w.at(next, func() {
		if p.timerAt.Equal(next) {
			w.run(p, tick)
		}
	})
}

var linkOptions = link.Options{
	AckDelay: 20 * time.Millisecond, AckTimeout: 120 * time.Millisecond,
	Heartbeat: 300 * time.Millisecond, HeartbeatTimeout: 700 * time.Millisecond,
}

const (
	agentLostAfter = time.Second
	peerLostAfter  = 1500 * time.Millisecond
	tokenTTL       = 5 * time.Second
	answerTTL      = 2 * time.Second
)

func (w *World) startEntry(i int) {
	p := &entryProcess{links: make(map[string]*connection)}
	p.name, p.alive, p.incarnation = fmt.Sprintf("e%d", i), true, w.newIncarnation()
	p.core = entry.New(entry.Options{
		Hello: &pb.EntryHello{Entry: p.name, Incarnation: p.incarnation}, Started: w.now, Link: linkOptions,
		Contract:  func(string) *pb.Contract { return w.contract },
		AnswerTTL: answerTTL, TokenTTL: tokenTTL, AgentLostAfter: agentLostAfter,
		RedialAfter: 50 * time.Millisecond, RedialMax: 200 * time.Millisecond, Random: w.rng.Float64, RecoverWait: 500 * time.Millisecond, MaxJobs: w.profile.maxJobs(),
	})
	w.entries[i] = p
	w.byIncarnation[p.incarnation] = p
	w.members[p.name] = p.incarnation
	w.readMembers(p)
	w.tracef("%s starts as %s", p.name, shortIncarnation(p.incarnation))
}

func (w *World) startAgent(i int) {
	p := &agentProcess{
		links:   make(map[string]*connection),
		stopped: make(map[agent.TaskRef]bool), ended: make(map[agent.TaskRef]bool),
	}
	p.name, p.alive, p.incarnation = fmt.Sprintf("a%d", i), true, w.newIncarnation()
	p.core = agent.New(agent.Options{
		Hello: &pb.AgentHello{Agent: p.name, Incarnation: p.incarnation, Slots: 3}, Link: linkOptions,
		MaxRecords: w.profile.maxRecords(), MaxFences: w.profile.maxFences(), FenceTTL: 30 * time.Second,
		PeerLostAfter: peerLostAfter,
	})
	w.agents[i] = p
	w.tracef("%s starts as %s", p.name, shortIncarnation(p.incarnation))
	// A new process may need some time to discover the entries.
	w.after(w.randomDuration(0, 400), func() { w.announce(p) })
}

// announce repeatedly announces an agent to the entries without a link to it, until the
// agent ends.
func (w *World) announce(a *agentProcess) {
	w.run(&a.process, func() {
		for _, e := range w.entries {
			if c := a.links[e.incarnation]; c == nil || c.broken {
				w.sendAnnounce(a, e, false)
			}
		}
	})
	if a.alive {
		w.after(w.randomDuration(100, 300), func() { w.announce(a) })
	}
}

func (w *World) sendAnnounce(a *agentProcess, e *entryProcess, relink bool) {
	if w.partitioned(a.name, e.name) {
		return
	}
	hello := &pb.AgentHello{Agent: a.name, Incarnation: a.incarnation, Slots: 3}
	draining := a.draining
	w.after(w.randomDelay(), func() {
		w.run(&e.process, func() {
			e.core.AgentAnnounced(w.now, hello, relink, draining)
			w.pumpEntry(e)
		})
	})
}

// pumpEntry executes the actions that an entry's state machine has ready.
func (w *World) pumpEntry(e *entryProcess) {
	ready := e.core.Ready(w.now)
	for _, d := range ready.Dials {
		w.dial(e, d)
	}
	for _, o := range ready.Frames {
		if c := e.links[o.Agent]; c != nil && c.epoch == o.Epoch {
			w.sendToAgent(c, o.Frame)
		}
	}
	for _, a := range ready.Answers {
		w.answered(e, a.Contract, a.Answer)
	}
	w.setTimer(&e.process, e.core.Next(), func() { e.core.Tick(w.now); w.pumpEntry(e) })
}

// pumpAgent executes the actions that an agent's state machine has ready.
func (w *World) pumpAgent(a *agentProcess) {
	ready := a.core.Ready(w.now)
	for _, r := range ready.Run {
		w.endpointStart(a, r)
	}
	for _, ref := range ready.Stop {
		w.endpointStop(a, ref)
	}
	for _, o := range ready.Frames {
		if c := a.links[o.Entry]; c != nil && c.epoch == o.Epoch {
			w.sendToEntry(c, o.Frame)
		}
	}
	for _, inc := range ready.Reconnect {
		if e := w.byIncarnation[inc]; e != nil {
			w.sendAnnounce(a, e, true)
		}
	}
	w.checkBounds(a)
	w.setTimer(&a.process, a.core.Next(), func() { a.core.Tick(w.now); w.pumpAgent(a) })
}

// dial opens a link as the drivers do: the entry's hello reaches whichever process runs
// under the agent's name, and the agent's first frame completes the handshake.
func (w *World) dial(e *entryProcess, d entry.Dial) {
	c := &connection{epoch: d.Hello.Epoch, entry: e}
	e.links[d.Agent] = c
	fail := func(refused bool) {
		w.after(w.randomDelay(), func() {
			w.run(&e.process, func() { e.core.LinkDown(w.now, d.Agent, c.epoch, refused); w.pumpEntry(e) })
		})
	}
	w.after(openTimeout, func() {
		if !c.open && c.agent != nil {
			w.breakLink(c)
		}
	})
	w.after(w.randomDelay(), func() {
		a := w.agentNamed(d.Agent)
		if !a.alive || w.partitioned(a.name, e.name) || w.chance(w.profile.loss) {
			w.after(100*time.Millisecond, func() { fail(false) })
			return
		}
		w.run(&a.process, func() {
			if refused := a.core.LinkUp(w.now, d.Hello); refused != "" {
				fail(a.incarnation != d.Hello.AgentIncarnation)
				return
			}
			c.agent = a
			a.links[e.incarnation] = c
			w.pumpAgent(a)
		})
	})
}

func (w *World) sendToAgent(c *connection, f *pb.EntryFrame) {
	w.checkFrame(c, f)
	if c.agent == nil || c.blackholeToAgent || w.chance(w.profile.loss) {
		return
	}
	w.deliver(&c.toAgent, func() {
		w.run(&c.agent.process, func() {
			c.agent.core.Step(w.now, c.entry.incarnation, c.epoch, f)
			w.pumpAgent(c.agent)
		})
	})
}

func (w *World) sendToEntry(c *connection, f *pb.AgentFrame) {
	w.recordFences(c.agent, f)
	if c.blackholeToEntry || w.chance(w.profile.loss) {
		return
	}
	first := f.Hello != nil
	name := c.agent.name
	w.deliver(&c.toEntry, func() {
		w.run(&c.entry.process, func() {
			if first {
				c.open = true
				c.entry.core.LinkUp(w.now, name, c.epoch)
			}
			c.entry.core.Step(w.now, name, c.epoch, f)
			w.pumpEntry(c.entry)
		})
	})
}

// deliver delivers a frame after a delay, in order within its direction, and sometimes
// a second time later.
func (w *World) deliver(last *time.Time, arrive func()) {
	at := w.now.Add(w.randomDelay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	w.at(at, arrive)
	if w.chance(w.profile.duplicate) {
		w.at(at.Add(w.randomDuration(0, 400)), arrive)
	}
}

// breakLink closes a connection and notifies both ends.
func (w *World) breakLink(c *connection) {
	if c.broken {
		return
	}
	c.broken, c.blackholeToAgent, c.blackholeToEntry = true, true, true
	w.after(w.randomDelay(), func() {
		w.run(&c.entry.process, func() {
			name := c.agent.name
			c.entry.core.LinkDown(w.now, name, c.epoch, false)
			w.pumpEntry(c.entry)
		})
	})
	w.after(w.randomDelay(), func() {
		w.run(&c.agent.process, func() {
			c.agent.core.LinkDown(w.now, c.entry.incarnation, c.epoch)
			w.pumpAgent(c.agent)
		})
	})
}
