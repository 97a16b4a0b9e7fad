package modelcheck

import "time"

// Profile defines the faults that a schedule may contain.
type Profile struct {
	Name string
	// Probabilities per frame.
	loss, duplicate, slow float64
	// Maximum number of faults of each kind per schedule.
	blackholes, breaks, partitions, pauses, agentCrashes, entryCrashes, drains, outages int
	// smallTables sets low limits on records, fences and jobs; longPauses makes pauses
	// longer than the peers' timeouts.
	smallTables, longPauses bool
}

var profiles = []Profile{
	{Name: "none"},
	{Name: "silent links", blackholes: 6, breaks: 3, slow: 0.05},
	{Name: "loss and duplication", loss: 0.02, duplicate: 0.05, slow: 0.1, breaks: 2},
	{Name: "cut between processes", partitions: 3, slow: 0.05},
	{Name: "agent crash", agentCrashes: 2, blackholes: 1},
	{Name: "entry crash", entryCrashes: 2, blackholes: 1},
	{Name: "pause", pauses: 4, blackholes: 1},
	{Name: "planned stop", drains: 2, blackholes: 1, slow: 0.05},
	{Name: "store outage and entry crash", outages: 1, entryCrashes: 2},
	{Name: "full tables", smallTables: true, blackholes: 2, entryCrashes: 1, pauses: 2, partitions: 1},
	{Name: "full tables and long pauses", smallTables: true, longPauses: true, pauses: 3},
	{Name: "all", loss: 0.005, duplicate: 0.02, slow: 0.05, blackholes: 3, breaks: 2, partitions: 1, pauses: 2,
		agentCrashes: 1, entryCrashes: 1, drains: 1, outages: 1},
}

func (p Profile) maxRecords() int {
	if p.smallTables {
		return 4
	}
	return 0
}

func (p Profile) maxFences() int {
	if p.smallTables {
		return 2
	}
	return 0
}

func (p Profile) maxJobs() int {
	if p.smallTables {
		return 6
	}
	return 0
}

// linkFaultsOnly reports whether every process stays reachable until it has drained,
// so that each job with enough time must complete.
func (p Profile) linkFaultsOnly() bool {
	return p.partitions+p.pauses+p.agentCrashes+p.entryCrashes == 0 && !p.smallTables
}

func (w *World) scheduleFaults() {
	p := w.profile
	w.scheduleUpTo(p.blackholes, w.blackholeLink)
	w.scheduleUpTo(p.breaks, func() {
		if c := w.randomLink(); c != nil {
			w.tracef("link %s-%s disconnects", c.entry.name, c.agent.name)
			w.breakLink(c)
		}
	})
	w.scheduleUpTo(p.partitions, w.partitionPair)
	w.scheduleUpTo(p.pauses, w.pauseProcess)
	w.scheduleUpTo(p.agentCrashes, w.crashAgent)
	w.scheduleUpTo(p.entryCrashes, w.crashEntry)
	w.scheduleUpTo(p.drains, w.drainProcess)
	w.scheduleUpTo(p.outages, w.storeOutage)
}

// scheduleUpTo schedules a fault one to n times, each at a random time, or not at all if n
// is zero.
func (w *World) scheduleUpTo(n int, fault func()) {
	if n == 0 {
		return
	}
	for range 1 + w.rng.IntN(n) {
		w.after(time.Duration(w.rng.Int64N(int64(faultsEnd))), fault)
	}
}

func (w *World) randomLink() *connection {
	e := w.entries[w.rng.IntN(numEntries)]
	a := w.agents[w.rng.IntN(numAgents)]
	if c := e.links[a.name]; c != nil && c.agent != nil && !c.broken {
		return c
	}
	return nil
}

// blackholeLink makes one or both directions of a link drop all further frames.
func (w *World) blackholeLink() {
	c := w.randomLink()
	if c == nil {
		return
	}
	direction := w.rng.IntN(3)
	c.blackholeToAgent = c.blackholeToAgent || direction != 0
	c.blackholeToEntry = c.blackholeToEntry || direction != 1
	w.tracef("link %s-%s drops all frames, direction %d", c.entry.name, c.agent.name, direction)
}

// partitionPair prevents two processes from communicating for a while.
func (w *World) partitionPair() {
	e := w.entries[w.rng.IntN(numEntries)]
	other := w.agents[w.rng.IntN(numAgents)].name
	if w.chance(0.4) {
		other = w.entries[w.rng.IntN(numEntries)].name
	}
	key := e.name + other
	w.partitions[key] = true
	w.tracef("%s and %s are partitioned", e.name, other)
	for _, c := range e.links {
		if c.agent != nil && c.agent.name == other {
			c.blackholeToAgent, c.blackholeToEntry = true, true
		}
	}
	w.after(w.randomDuration(100, 2500), func() {
		delete(w.partitions, key)
		w.tracef("%s and %s reach each other again", e.name, other)
	})
}

func (w *World) pauseProcess() {
	p := w.randomProcess()
	if !p.alive {
		return
	}
	pause := w.randomDuration(50, 2500)
	if w.profile.longPauses {
		pause = w.randomDuration(1500, 3000)
	}
	p.pausedUntil = w.now.Add(pause)
	p.wasPaused = true
	w.tracef("%s pauses until %v", p.name, p.pausedUntil.Sub(w.now))
}

func (w *World) randomProcess() *process {
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
	w.after(w.randomDuration(5, 1000), func() { w.startAgent(i) })
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
	leaseLapse := w.randomDuration(300, 600)
	w.after(leaseLapse, func() {
		if w.members[e.name] == e.incarnation {
			delete(w.members, e.name)
		}
	})
	w.after(w.randomDuration(50, 1500), func() { w.startEntry(i) })
}

func (w *World) agentNames() []string {
	names := make([]string, numAgents)
	for i, a := range w.agents {
		names[i] = a.name
	}
	return names
}

// drainProcess starts the planned stop of a process, which ends when it has drained.
func (w *World) drainProcess() {
	if w.chance(0.5) {
		i := w.rng.IntN(numEntries)
		w.drainEntry(i, w.entries[i])
		return
	}
	i := w.rng.IntN(numAgents)
	w.drainAgent(i, w.agents[i])
}

// maxDrain is the longest time that a drain may take: that of the longest job and of
// establishing a new link.
const maxDrain = 4 * time.Second

func (w *World) drainEntry(i int, e *entryProcess) {
	if !e.alive || e.draining {
		return
	}
	e.draining = true
	w.tracef("%s starts to drain", e.name)
	w.run(&e.process, func() { e.core.Leave(w.now); w.pumpEntry(e) })
	deadline := w.now.Add(maxDrain)
	var poll func()
	poll = func() {
		if !e.alive {
			return
		}
		if e.core.Drained() && !w.now.Before(e.pausedUntil) {
			e.core.NotifyExit(w.now)
			w.pumpEntry(e)
			w.endEntry(i, "ends after its drain")
			return
		}
		if w.now.After(deadline) && !e.wasPaused {
			w.violation("%s has not drained after %v", e.name, maxDrain)
			return
		}
		w.after(20*time.Millisecond, poll)
	}
	poll()
}

func (w *World) drainAgent(i int, a *agentProcess) {
	if !a.alive || a.draining {
		return
	}
	a.draining = true
	w.tracef("%s starts to drain", a.name)
	w.run(&a.process, func() { a.core.Leave(w.now); w.pumpAgent(a) })
	deadline := w.now.Add(maxDrain)
	var poll func()
	poll = func() {
		if !a.alive {
			return
		}
		if a.core.Drained() {
			w.endAgent(i, "ends after its drain")
			return
		}
		if w.now.After(deadline) && !a.wasPaused {
			w.violation("%s has not drained after %v", a.name, maxDrain)
			return
		}
		w.after(20*time.Millisecond, poll)
	}
	poll()
}

func (w *World) storeOutage() {
	w.storeDown = true
	w.tracef("store becomes unavailable")
	w.after(w.randomDuration(500, 3000), func() { w.storeDown = false; w.tracef("store becomes available") })
}
