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
	index      int
	core       *dispatcher.Dispatcher
	links      map[string]*conn // by agent incarnation
	waiting    map[uint64][]*attempt
	suspension dispatcher.SuspensionDetector
	// refusesUntil is until when connections of agents are refused.
	refusesUntil time.Time
}

func newEntryNode(w *World, i int) *entryNode {
	e := &entryNode{process: process{w: w, name: fmt.Sprintf("entry-%d", i)}, index: i}
	e.start()
	return e
}

func (e *entryNode) start() {
	e.up = true
	e.suspension = dispatcher.SuspensionDetector{}
	e.links = map[string]*conn{}
	e.waiting = map[uint64][]*attempt{}
	e.core = e.newCore()
	if e.w.hasEvacuations() {
		e.w.operators.notify(e)
		e.after(e.w.jitter(exchangeInterval), e.exchange)
	}
}

func (e *entryNode) newCore() *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Options{
		Entry: e.name, Incarnation: fmt.Sprintf("%s.%d", e.name, e.incarnation), FailureDomain: "d", Timeouts: e.w.times, Link: e.w.link,
		Random:   e.w.rand.Float64,
		Disabled: e.w.o.Disabled,
		OnDecision: func(d dispatcher.Decision) {
			if l := e.w.load; l != nil {
				l.onDecision(d)
			}
			e.w.checker.checkEntryDecision(d)
			e.w.trace("%s %s job %s task %s run %d at %s: %s %s", e.name, d.Event, d.Job, d.Task, d.Run, d.Agent, d.Outcome, d.Reason)
		},
	})
}

// decide applies one input to the core and executes the actions that the core returns.
func (e *entryNode) decide(input func(now time.Time)) {
	if e.core.Stall(e.w.now) > 0 {
		e.dropEnded()
	}
	input(e.w.now)
	r := e.core.Ready(e.w.now)
	for _, o := range r.Frames {
		if c := e.links[o.Agent]; c != nil && c.epoch == o.Epoch {
			e.w.frames.toAgents++
			c.queueToAgent(func() {
				c.a.handleInvitations(o.Frame.InvitedBy)
				c.a.decide(func(now time.Time) {
					c.a.core.Step(now, fmt.Sprintf("%s.%d", e.name, c.entryIncarnation), c.epoch, o.Frame)
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
	for _, request := range r.AgentRequests {
		e.requestInvitations(request)
	}
	for _, incarnation := range r.Close {
		if c := e.links[incarnation]; c != nil {
			c.closeByEntry()
		}
	}
	e.setTimer(e.core.Next(), func() { e.decide(e.core.Tick) })
}

// dropEnded ends the jobs of callers whose connections have ended.
func (e *entryNode) dropEnded() {
	for _, number := range sortedKeys(e.waiting) {
		e.drop(number, func(t *attempt) bool { return t.closed })
	}
}

// drop removes the attempts at a job for which gone returns true, and ends the job if none is
// left.
func (e *entryNode) drop(number uint64, gone func(*attempt) bool) {
	remaining := slices.DeleteFunc(e.waiting[number], gone)
	if len(remaining) > 0 {
		e.waiting[number] = remaining
		return
	}
	delete(e.waiting, number)
	e.core.CallerDisconnected(e.w.now, number)
}

// requestInvitations asks up to two other entries to invite agents of theirs.
func (e *entryNode) requestInvitations(request dispatcher.AgentRequest) {
	for range 2 {
		other := e.w.entries[e.w.rand.IntN(len(e.w.entries))]
		if other == e || !other.up {
			continue
		}
		incarnation := e.incarnation
		e.w.schedule(e.w.latency(), func() {
			other.run(other.incarnation, func() {
				invited := 0
				other.decide(func(now time.Time) { invited = other.core.InviteAgents(now, e.name, request) })
				e.w.schedule(e.w.latency(), func() { e.run(incarnation, func() { e.core.RecordInvitations(request, invited) }) })
			})
		})
	}
}

// setTimer schedules one call of f at the given time and replaces the one set before. The
// zero time cancels it.
func (p *process) setTimer(at time.Time, f func()) {
	if at.IsZero() {
		p.timer = nil
		return
	}
	var t *event
	t = p.after(max(time.Millisecond, at.Sub(p.w.now)), func() {
		if p.timer == t {
			f()
		}
	})
	p.timer = t
}

func (e *entryNode) kill() {
	e.w.trace("%s is killed", e.name)
	e.terminate()
	for _, incarnation := range sortedKeys(e.links) {
		c := e.links[incarnation]
		// The operating system resets the connections; a partition delays the reset.
		c.entryOpen = false
		c.sendToAgent(func() {
			c.agentOpen = false
			c.a.connClosed(c)
		})
	}
	for _, number := range sortedKeys(e.waiting) {
		for _, t := range e.waiting[number] {
			t.connectionLost()
		}
	}
	e.w.schedule(50*time.Millisecond+e.w.jitter(time.Second), e.start)
}

// shutDown is a planned shutdown: the entry refuses the jobs that it can't complete in
// time, answers the others, notifies its agents, and exits.
func (e *entryNode) shutDown() {
	grace := 500*time.Millisecond + e.w.jitter(3*time.Second)
	e.w.trace("%s shuts down in %v", e.name, grace)
	e.decide(func(now time.Time) { e.core.Drain(now, now.Add(grace)) })
	e.after(grace, func() {
		e.decide(func(time.Time) { e.core.NotifyExit() })
		e.after(20*time.Millisecond, e.kill)
	})
}

// agentNode is an agent's process, and the worker beside it.
type agentNode struct {
	process
	index             int
	core              *runner.Runner
	worker            *simWorker
	epoch             uint64
	conns             []*conn
	linked            []*conn
	wanted            []bool   // by entry: whether to keep a link to it
	entryIncarnations []string // by entry: incarnation at the last handshake
	// recordedWorker is the worker's incarnation recorded last, which may have ended.
	recordedWorker runner.Worker
	partitions     []time.Time
	token          uint64
	runEnds        map[runKey]runEnd
}

func newAgentNode(w *World, i int) *agentNode {
	n := len(w.entries)
	a := &agentNode{process: process{w: w, name: fmt.Sprintf("agent-%d", i)}, index: i, partitions: make([]time.Time, n), runEnds: map[runKey]runEnd{}}
	a.worker = newSimWorker(w, a, 0)
	a.start()
	return a
}

func (a *agentNode) incarnationName(n int) string { return fmt.Sprintf("%s.%d", a.name, n) }

func (a *agentNode) start() {
	n := len(a.w.entries)
	a.up = true
	a.conns, a.linked, a.entryIncarnations = make([]*conn, n), make([]*conn, n), make([]string, n)
	a.token++
	domain := ""
	if a.w.hasEvacuations() {
		domain = domainName(a.index)
	}
	a.core = runner.New(runner.Options{
		Agent: a.name, Incarnation: a.incarnationName(a.incarnation), FailureDomain: domain, Timeouts: a.w.times, Link: a.w.link, Token: a.token, Disabled: a.w.o.Disabled,
		OnDecision: func(d runner.Decision) {
			a.w.checker.checkAgentDecision(a, d)
			a.w.trace("%s %s task %s run %d of %s: %s", a.name, d.Event, d.Task, d.Run, d.Entry, d.Reason)
		},
	})
	if a.recordedWorker.ID != "" && a.incarnation%2 == 1 {
		// Only every other process reads the record: the store may be unavailable.
		a.after(a.w.latency(), func() { a.decide(func(now time.Time) { a.core.RestoreWorker(now, a.recordedWorker) }) })
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
	a.poll(true)
}

func (a *agentNode) decide(input func(now time.Time)) {
	input(a.w.now)
	r := a.core.Ready(a.w.now)
	for _, s := range r.Starts {
		a.w.checker.checkStart(a, s.Task)
		a.worker.callStart(a, s)
	}
	for _, s := range r.Stops {
		a.worker.callStop(a, s)
	}
	if r.Poll {
		a.poll(false)
	}
	for _, o := range r.Frames {
		for i, c := range a.linked {
			if c != nil && a.entryIncarnations[i] == o.Entry && c.epoch == o.Epoch {
				a.w.frames.toEntries++
				c.sendToEntry(func() {
					c.e.decide(func(now time.Time) { c.e.core.Step(now, a.incarnationName(c.agentIncarnation), c.epoch, o.Frame) })
				})
			}
		}
	}
	for _, incarnation := range append(r.Reconnect, r.Disconnect...) {
		for i, c := range a.linked {
			if c != nil && a.entryIncarnations[i] == incarnation {
				c.closeByAgent()
			}
		}
	}
	a.setTimer(a.core.Next(), func() { a.decide(a.core.Tick) })
}

// handleInvitations opens links to the entries that ask for one.
func (a *agentNode) handleInvitations(names []string) {
	for _, e := range a.w.entries {
		if slices.Contains(names, e.name) && !a.wanted[e.index] {
			a.wanted[e.index] = true
			a.dial(e)
		}
	}
}

// replaceEntry makes the agent replace one of its entries by another one.
func (a *agentNode) replaceEntry() {
	oldEntry, newEntry := a.w.entries[a.w.rand.IntN(len(a.wanted))], a.w.entries[a.w.rand.IntN(len(a.wanted))]
	if !a.up || !a.wanted[oldEntry.index] || a.wanted[newEntry.index] {
		return
	}
	a.w.trace("%s replaces %s by %s", a.name, oldEntry.name, newEntry.name)
	a.wanted[oldEntry.index], a.wanted[newEntry.index] = false, true
	a.run(a.incarnation, func() {
		a.dial(newEntry)
		a.decide(func(now time.Time) {
			a.core.RetireLink(now, a.entryIncarnations[oldEntry.index])
			a.core.KeepLink(now, a.entryIncarnations[newEntry.index])
		})
	})
}

// poll polls the worker once. A waiting poll is followed by the next one.
func (a *agentNode) poll(waiting bool) {
	a.w.frames.polls++
	l, ok := a.core.NextPoll(a.w.now, waiting)
	if !ok {
		if waiting {
			a.after(50*time.Millisecond, func() { a.poll(true) })
		}
		return
	}
	a.worker.callPoll(a, l, waiting)
}

func (a *agentNode) kill() {
	a.w.trace("%s is killed", a.name)
	a.terminate()
	for _, c := range a.conns {
		if c != nil {
			c.agentOpen = false
			c.sendToEntry(c.entryClosed)
		}
	}
	a.w.schedule(50*time.Millisecond+a.w.jitter(800*time.Millisecond), a.start)
}
