package modelcheck

import "time"

// Profile says which faults a schedule may show.
type Profile struct {
	Name string
	// Chances per frame.
	loss, duplicate, slow float64
	// Faults per schedule, at most.
	silent, breaks, cuts, pauses, agentCrashes, entryCrashes, leaves, outages int
	// small tables, and pauses that outlast the peers' patience.
	small, long bool
}

var profiles = []Profile{
	{Name: "none"},
	{Name: "silent links", silent: 6, breaks: 3, slow: 0.05},
	{Name: "loss and duplication", loss: 0.02, duplicate: 0.05, slow: 0.1, breaks: 2},
	{Name: "cut between processes", cuts: 3, slow: 0.05},
	{Name: "agent crash", agentCrashes: 2, silent: 1},
	{Name: "entry crash", entryCrashes: 2, silent: 1},
	{Name: "pause", pauses: 4, silent: 1},
	{Name: "planned stop", leaves: 2, silent: 1, slow: 0.05},
	{Name: "store outage and entry crash", outages: 1, entryCrashes: 2},
	{Name: "full tables", small: true, silent: 2, entryCrashes: 1, pauses: 2, cuts: 1},
	{Name: "full tables and long pauses", small: true, long: true, pauses: 3},
	{Name: "all", loss: 0.005, duplicate: 0.02, slow: 0.05, silent: 3, breaks: 2, cuts: 1, pauses: 2,
		agentCrashes: 1, entryCrashes: 1, leaves: 1, outages: 1},
}

func (p Profile) maxRecords() int {
	if p.small {
		return 4
	}
	return 0
}

func (p Profile) maxFences() int {
	if p.small {
		return 2
	}
	return 0
}

func (p Profile) maxJobs() int {
	if p.small {
		return 6
	}
	return 0
}

// onlyLinks reports whether every process stays reachable until it has drained,
// so that each job with enough time must complete.
func (p Profile) onlyLinks() bool {
	return p.cuts+p.pauses+p.agentCrashes+p.entryCrashes == 0 && !p.small
}

func (w *World) scheduleFaults() {
	p := w.profile
	w.some(p.silent, w.silenceLink)
	w.some(p.breaks, func() {
		if c := w.anyLink(); c != nil {
			w.tracef("link %s-%s breaks", c.entry.name, c.agent.name)
			w.breakLink(c)
		}
	})
	w.some(p.cuts, w.cutPair)
	w.some(p.pauses, w.pauseOne)
	w.some(p.agentCrashes, w.crashAgent)
	w.some(p.entryCrashes, w.crashEntry)
	w.some(p.leaves, w.leaveOne)
	w.some(p.outages, w.storeOutage)
}

// some schedules up to n of a fault, each at a random time.
func (w *World) some(n int, fault func()) {
	if n == 0 {
		return
	}
	for range 1 + w.rng.IntN(n) {
		w.after(time.Duration(w.rng.Int64N(int64(faultsEnd))), fault)
	}
}

func (w *World) anyLink() *connection {
	e := w.entries[w.rng.IntN(numEntries)]
	a := w.agents[w.rng.IntN(numAgents)]
	if c := e.links[a.name]; c != nil && c.agent != nil && !c.broken {
		return c
	}
	return nil
}

// silenceLink makes one or both directions swallow frames for good.
func (w *World) silenceLink() {
	c := w.anyLink()
	if c == nil {
		return
	}
	way := w.rng.IntN(3)
	c.silentToAgent = c.silentToAgent || way != 0
	c.silentToEntry = c.silentToEntry || way != 1
	w.tracef("link %s-%s goes silent, way %d", c.entry.name, c.agent.name, way)
}

// cutPair keeps two processes from reaching each other for a while.
func (w *World) cutPair() {
	e := w.entries[w.rng.IntN(numEntries)]
	other := w.agents[w.rng.IntN(numAgents)].name
	if w.chance(0.4) {
		other = w.entries[w.rng.IntN(numEntries)].name
	}
	key := e.name + other
	w.cuts[key] = true
	w.tracef("%s and %s are cut off", e.name, other)
	for _, c := range e.links {
		if c.agent != nil && c.agent.name == other {
			c.silentToAgent, c.silentToEntry = true, true
		}
	}
	w.after(w.between(100, 2500), func() {
		delete(w.cuts, key)
		w.tracef("%s and %s reach each other again", e.name, other)
	})
}

func (w *World) pauseOne() {
	p := w.anyProcess()
	if !p.alive {
		return
	}
	pause := w.between(50, 2500)
	if w.profile.long {
		pause = w.between(1500, 3000)
	}
	p.pausedUntil = w.now.Add(pause)
	p.disturbed = true
	w.tracef("%s pauses until %v", p.name, p.pausedUntil.Sub(w.now))
}

func (w *World) anyProcess() *process {
	if w.chance(0.5) {
		return &w.entries[w.rng.IntN(numEntries)].process
	}
	return &w.agents[w.rng.IntN(numAgents)].process
}

func (w *World) crashAgent() { w.endAgent(w.rng.IntN(numAgents), "crashes") }

func (w *World) endAgent(i int, how string) {
	a := w.agents[i]
	if !a.alive {
		return
	}
	a.alive = false
	w.tracef("%s %s", a.name, how)
	for _, e := range w.entries {
		if c := e.links[a.name]; c != nil && c.agent == a && w.chance(0.7) {
			w.breakLink(c)
		}
	}
	w.after(w.between(5, 1000), func() { w.startAgent(i) })
}

func (w *World) crashEntry() { w.endEntry(w.rng.IntN(numEntries), "crashes") }

func (w *World) endEntry(i int, how string) {
	e := w.entries[i]
	if !e.alive {
		return
	}
	e.alive = false
	w.tracef("%s %s", e.name, how)
	for _, name := range w.agentNames() {
		if c := e.links[name]; c != nil && c.agent != nil && w.chance(0.7) {
			w.breakLink(c)
		}
	}
	lapse := w.between(300, 600)
	w.after(lapse, func() {
		if w.members[e.name] == e.incarnation {
			delete(w.members, e.name)
		}
	})
	w.after(w.between(50, 1500), func() { w.startEntry(i) })
}

func (w *World) agentNames() []string {
	names := make([]string, numAgents)
	for i, a := range w.agents {
		names[i] = a.name
	}
	return names
}

// leaveOne stops a process as planned; it ends when it has drained.
func (w *World) leaveOne() {
	if w.chance(0.5) {
		i := w.rng.IntN(numEntries)
		w.leaveEntry(i, w.entries[i])
		return
	}
	i := w.rng.IntN(numAgents)
	w.leaveAgent(i, w.agents[i])
}

// drainBound is the longest that a drain may take: the longest job and a new link.
const drainBound = 4 * time.Second

func (w *World) leaveEntry(i int, e *entryProcess) {
	if !e.alive || e.leaving {
		return
	}
	e.leaving = true
	w.tracef("%s leaves", e.name)
	w.run(&e.process, func() { e.core.Leave(w.now); w.pumpEntry(e) })
	limit := w.now.Add(drainBound)
	var poll func()
	poll = func() {
		if !e.alive {
			return
		}
		if e.core.Drained() && !w.now.Before(e.pausedUntil) {
			e.core.End(w.now)
			w.pumpEntry(e)
			w.endEntry(i, "has drained and ends")
			return
		}
		if w.now.After(limit) && !e.disturbed {
			w.violation("%s has not drained after %v", e.name, drainBound)
			return
		}
		w.after(20*time.Millisecond, poll)
	}
	poll()
}

func (w *World) leaveAgent(i int, a *agentProcess) {
	if !a.alive || a.leaving {
		return
	}
	a.leaving = true
	w.tracef("%s leaves", a.name)
	w.run(&a.process, func() { a.core.Leave(w.now); w.pumpAgent(a) })
	limit := w.now.Add(drainBound)
	var poll func()
	poll = func() {
		if !a.alive {
			return
		}
		if a.core.Drained() {
			w.endAgent(i, "has drained and ends")
			return
		}
		if w.now.After(limit) && !a.disturbed {
			w.violation("%s has not drained after %v", a.name, drainBound)
			return
		}
		w.after(20*time.Millisecond, poll)
	}
	poll()
}

func (w *World) storeOutage() {
	w.storeDown = true
	w.tracef("store down")
	w.after(w.between(500, 3000), func() { w.storeDown = false; w.tracef("store up") })
}
