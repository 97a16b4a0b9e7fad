package leasedcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// entryNode is an entry's process.
type entryNode struct {
	process
	index   int
	core    *dispatcher.Dispatcher
	links   map[string]*conn // by agent incarnation
	waiting map[uint64][]*attempt
	wake    dispatcher.Wake
}

func newEntryNode(w *World, i int) *entryNode {
	e := &entryNode{process: process{w: w, name: fmt.Sprintf("entry-%d", i)}, index: i}
	e.start()
	return e
}

func (e *entryNode) start() {
	e.up = true
	e.wake = dispatcher.Wake{}
	e.links = map[string]*conn{}
	e.waiting = map[uint64][]*attempt{}
	e.core = e.newCore()
	if e.w.evacuates() {
		e.w.operators.tell(e)
		e.after(e.w.upTo(shareEvery), e.share)
	}
}

func (e *entryNode) newCore() *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Options{
		Entry: e.name, Incarnation: fmt.Sprintf("%s.%d", e.name, e.life), FailureDomain: "d", Times: e.w.times, Link: e.w.link,
		Random:  e.w.rand.Float64,
		Without: e.w.o.Without,
		Decided: func(d dispatcher.Decision) {
			if l := e.w.load; l != nil {
				l.decided(d)
			}
			e.w.trace("%s %s job %s task %s run %d at %s: %s %s", e.name, d.Event, d.Job, d.Task, d.Run, d.Agent, d.Outcome, d.Reason)
		},
	})
}

// decide runs one input and carries out what the core asks for.
func (e *entryNode) decide(input func(now time.Time)) {
	input(e.w.now)
	r := e.core.Ready(e.w.now)
	for _, o := range r.Frames {
		if c := e.links[o.Agent]; c != nil && c.epoch == o.Epoch {
			e.w.frames.toAgents++
			c.toAgent(func() {
				c.a.invited(o.Frame.InvitedBy)
				c.a.decide(func(now time.Time) {
					c.a.core.Step(now, fmt.Sprintf("%s.%d", e.name, c.eLife), c.epoch, o.Frame)
				})
			})
		}
	}
	for _, a := range r.Answers {
		for _, t := range e.waiting[a.Number] {
			t.answer(a)
		}
		delete(e.waiting, a.Number)
	}
	for _, want := range r.Wants {
		e.ask(want)
	}
	for _, incarnation := range r.Close {
		if c := e.links[incarnation]; c != nil {
			c.closeByEntry()
		}
	}
	e.setTimer(e.core.Next(), func() { e.decide(e.core.Tick) })
}

// ask has two other entries invite agents of theirs.
func (e *entryNode) ask(want dispatcher.Want) {
	for range 2 {
		other := e.w.entries[e.w.rand.IntN(len(e.w.entries))]
		if other == e || !other.up {
			continue
		}
		life := e.life
		e.w.at(e.w.latency(), func() {
			other.run(other.life, func() {
				invited := 0
				other.decide(func(now time.Time) { invited = other.core.Invite(now, e.name, want) })
				e.w.at(e.w.latency(), func() { e.run(life, func() { e.core.Invited(want, invited) }) })
			})
		})
	}
}

// setTimer asks for one call at the time; the last one asked for counts.
func (p *process) setTimer(at time.Time, f func()) {
	if at.IsZero() {
		p.timer = nil
		return
	}
	var t *timed
	t = p.after(max(time.Millisecond, at.Sub(p.w.now)), func() {
		if p.timer == t {
			f()
		}
	})
	p.timer = t
}

func (e *entryNode) kill() {
	e.w.trace("%s is killed", e.name)
	e.die()
	for _, incarnation := range sortedKeys(e.links) {
		c := e.links[incarnation]
		// The system resets its connections, unless a cut holds that back.
		c.eOpen = false
		c.toAgent(func() {
			c.aOpen = false
			c.a.closed(c)
		})
	}
	for _, number := range sortedKeys(e.waiting) {
		for _, t := range e.waiting[number] {
			t.broken()
		}
	}
	e.w.at(50*time.Millisecond+e.w.upTo(time.Second), e.start)
}

// leave is a planned stop: the entry refuses what it can't end, answers the rest,
// tells its agents, and is gone.
func (e *entryNode) leave() {
	grace := 500*time.Millisecond + e.w.upTo(3*time.Second)
	e.w.trace("%s leaves in %v", e.name, grace)
	e.decide(func(now time.Time) { e.core.Leave(now, now.Add(grace)) })
	e.after(grace, func() {
		e.decide(func(time.Time) { e.core.End() })
		e.after(20*time.Millisecond, e.kill)
	})
}

// agentNode is an agent's process, and the worker beside it.
type agentNode struct {
	process
	index  int
	core   *runner.Runner
	worker *simWorker
	epoch  uint64
	conns  []*conn
	linked []*conn
	wanted []bool   // the entries that it links to
	met    []string // incarnation of each entry met last
	// record is the life of the worker that is on record, also one that has ended.
	record runner.Worker
	cut    []time.Time
	token  uint64
}

func newAgentNode(w *World, i int) *agentNode {
	n := len(w.entries)
	a := &agentNode{process: process{w: w, name: fmt.Sprintf("agent-%d", i)}, index: i, cut: make([]time.Time, n)}
	a.worker = newSimWorker(w, a, 0)
	a.start()
	return a
}

func (a *agentNode) incarnationOf(life int) string { return fmt.Sprintf("%s.%d", a.name, life) }

func (a *agentNode) start() {
	n := len(a.w.entries)
	a.up = true
	a.conns, a.linked, a.met = make([]*conn, n), make([]*conn, n), make([]string, n)
	a.token++
	domain := ""
	if a.w.evacuates() {
		domain = domainOf(a.index)
	}
	a.core = runner.New(runner.Options{
		Agent: a.name, Incarnation: a.incarnationOf(a.life), FailureDomain: domain, Times: a.w.times, Link: a.w.link, Token: a.token, Without: a.w.o.Without,
		Decided: func(d runner.Decision) {
			a.w.trace("%s %s task %s run %d of %s: %s", a.name, d.Event, d.Task, d.Run, d.Entry, d.Reason)
		},
	})
	if a.record.ID != "" && a.life%2 == 1 {
		// It is read in every other process: the store may be away.
		a.after(a.w.latency(), func() { a.decide(func(now time.Time) { a.core.Recalled(now, a.record) }) })
	}
	a.wanted = make([]bool, n)
	links := n
	if a.w.o.Links > 0 {
		links = a.w.o.Links
	}
	for i := range links {
		e := a.w.entries[(a.index+i)%n]
		a.wanted[e.index] = true
		a.dial(e)
	}
	a.look(true)
}

func (a *agentNode) decide(input func(now time.Time)) {
	input(a.w.now)
	r := a.core.Ready(a.w.now)
	for _, s := range r.Starts {
		a.w.checker.ordered(a, s.Task)
		a.worker.callStart(a, s)
	}
	for _, s := range r.Stops {
		a.worker.callStop(a, s)
	}
	if r.Look {
		a.look(false)
	}
	for _, o := range r.Frames {
		for i, c := range a.linked {
			if c != nil && a.met[i] == o.Entry && c.epoch == o.Epoch {
				a.w.frames.toEntries++
				c.toEntry(func() {
					c.e.decide(func(now time.Time) { c.e.core.Step(now, a.incarnationOf(c.aLife), c.epoch, o.Frame) })
				})
			}
		}
	}
	for _, incarnation := range append(r.Redial, r.Closed...) {
		for i, c := range a.linked {
			if c != nil && a.met[i] == incarnation {
				c.closeByAgent()
			}
		}
	}
	a.setTimer(a.core.Next(), func() { a.decide(a.core.Tick) })
}

// invited links to entries that ask for it.
func (a *agentNode) invited(names []string) {
	for _, e := range a.w.entries {
		if slices.Contains(names, e.name) && !a.wanted[e.index] {
			a.wanted[e.index] = true
			a.dial(e)
		}
	}
}

// choose has the agent leave one entry for another.
func (a *agentNode) choose() {
	left, taken := a.w.entries[a.w.rand.IntN(len(a.wanted))], a.w.entries[a.w.rand.IntN(len(a.wanted))]
	if !a.up || !a.wanted[left.index] || a.wanted[taken.index] {
		return
	}
	a.w.trace("%s leaves %s for %s", a.name, left.name, taken.name)
	a.wanted[left.index], a.wanted[taken.index] = false, true
	a.run(a.life, func() {
		a.dial(taken)
		a.decide(func(now time.Time) {
			a.core.Retire(now, a.met[left.index])
			a.core.Keep(now, a.met[taken.index])
		})
	})
}

// look makes a look; waiting ones follow each other.
func (a *agentNode) look(waiting bool) {
	a.w.frames.looks++
	l, ok := a.core.NextLook(a.w.now, waiting)
	if !ok {
		if waiting {
			a.after(50*time.Millisecond, func() { a.look(true) })
		}
		return
	}
	a.worker.callLook(a, l, waiting)
}

func (a *agentNode) kill() {
	a.w.trace("%s is killed", a.name)
	a.die()
	for _, c := range a.conns {
		if c != nil {
			c.aOpen = false
			c.toEntry(c.entryClosed)
		}
	}
	a.w.at(50*time.Millisecond+a.w.upTo(800*time.Millisecond), a.start)
}
