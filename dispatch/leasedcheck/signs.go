package leasedcheck

import "time"

// Misleading is a set of signs that look as if a process had ended although it lives, or as if it
// lived although it has ended.
type Misleading uint16

// Misleading signs.
const (
	// RefusedByWorkers: a worker resets its connections and refuses new ones for a while.
	RefusedByWorkers Misleading = 1 << iota
	// RefusedByEntries: the same of an entry.
	RefusedByEntries
	// LateReports: reports of a worker arrive late, also after its incarnation has ended.
	LateReports
	// EarlyLeave: a worker that leaves says so while runs are left, which go on for a while.
	EarlyLeave
	// IncompleteAnswers: answers to polls of a worker lack its lists for a while.
	IncompleteAnswers
	// Misdirected: calls to a worker are answered as if another incarnation were at its address,
	// whether they have been carried out or not.
	Misdirected
	// Succeeded: another incarnation answers at a worker's address while the runs of the earlier one
	// go on, until they end or its lease expires.
	Succeeded
	// ReusedNames: a machine is removed and another one gets its name, with a worker of its own. The
	// removed agent's worker is out of reach and goes on.
	ReusedNames
	// KilledAgents: an agent is killed, and its next process finds what its runs have come to.
	KilledAgents
)

func (m Misleading) has(x Misleading) bool { return m&x != 0 }

// injectMisleading gives one random sign of the options.
func (w *World) injectMisleading() {
	a := w.agents[w.rand.IntN(len(w.agents))]
	e := w.entries[w.rand.IntN(len(w.entries))]
	var signs []func()
	if w.o.Misleading.has(RefusedByWorkers) && a.worker.up {
		signs = append(signs, func() { a.worker.refuse(20*time.Millisecond + w.jitter(time.Second)) })
	}
	if w.o.Misleading.has(RefusedByEntries) && e.up {
		signs = append(signs, func() { e.refuse(20*time.Millisecond + w.jitter(500*time.Millisecond)) })
	}
	if w.o.Misleading.has(LateReports) && a.worker.up {
		signs = append(signs, func() { a.worker.crashSilently() })
	}
	if w.o.Misleading.has(EarlyLeave) && a.worker.up {
		signs = append(signs, a.worker.leave)
	}
	if w.o.Misleading.has(IncompleteAnswers) && a.worker.up {
		signs = append(signs, func() { a.worker.incompleteUntil = w.now.Add(20*time.Millisecond + w.jitter(400*time.Millisecond)) })
	}
	if w.o.Misleading.has(Misdirected) && a.worker.up {
		signs = append(signs, func() { a.worker.misdirectedUntil = w.now.Add(20*time.Millisecond + w.jitter(400*time.Millisecond)) })
	}
	if w.o.Misleading.has(Succeeded) && a.worker.up {
		signs = append(signs, func() { a.worker.succeed(w.jitter(time.Second)) })
	}
	if w.o.Misleading.has(KilledAgents) && a.up {
		signs = append(signs, a.kill)
	}
	if w.o.Misleading.has(ReusedNames) && a.up && a.worker.up {
		signs = append(signs, a.replaceMachine)
	}
	if len(signs) > 0 {
		signs[w.rand.IntN(len(signs))]()
	}
}

// crashSilently ends this incarnation while reports of it are on their way. The next one doesn't
// answer for a while, when they may arrive.
func (s *simWorker) crashSilently() {
	s.crashFor(s.w.jitter(300 * time.Millisecond))
	s.w.schedule(600*time.Millisecond+s.w.jitter(time.Second), func() {
		s.a.worker.silentUntil = s.w.now.Add(s.w.jitter(800 * time.Millisecond))
	})
}

// succeed lets the worker's next incarnation answer at its address after it has been silent for a
// while. It isn't reached any more, and goes on with its runs.
func (s *simWorker) succeed(silence time.Duration) {
	if s.w.chance(0.5) {
		silence = 0
	}
	s.silentUntil = s.w.now.Add(silence)
	s.w.schedule(silence, func() {
		if !s.up || s.a.worker != s {
			return
		}
		s.a.worker = newSimWorker(s.w, s.a, s.incarnation+1)
		s.w.trace("%s answers instead of %s, which has %d runs", s.a.worker.id(), s.id(), len(s.runs))
	})
}

func (s *simWorker) isSucceeded() bool { return s.a.worker != s }

// replaceMachine ends the agent, whose next process runs beside another worker.
func (a *agentNode) replaceMachine() {
	a.w.trace("%s gets another machine than that of %s", a.name, a.worker.id())
	a.kill()
	a.worker = newSimWorker(a.w, a, a.worker.incarnation+1)
}

// refuse resets all connections and refuses new ones for a while. Runs go on.
func (s *simWorker) refuse(d time.Duration) {
	s.w.trace("%s refuses connections for %v", s.id(), d)
	s.refusesUntil = s.w.now.Add(d)
	resets := s.resets
	s.resets = nil
	for _, reset := range resets {
		reset()
	}
}

func (s *simWorker) refuses() bool { return s.w.now.Before(s.refusesUntil) }

// answersIncompletely draws whether the answer to a poll lacks its lists.
func (s *simWorker) answersIncompletely() bool {
	return s.w.now.Before(s.incompleteUntil) && s.w.chance(0.5)
}

// misdirects draws whether a call is answered as misdirected, and whether it is carried out.
func (s *simWorker) misdirects() (answered, carriedOut bool) {
	if !s.w.now.Before(s.misdirectedUntil) || s.w.chance(0.5) {
		return false, true
	}
	return true, s.w.chance(0.5)
}

// onReset registers what the caller does when the connection of a call is reset.
func (s *simWorker) onReset(f func()) {
	if s.w.o.Misleading.has(RefusedByWorkers) {
		s.resets = append(s.resets, f)
	}
}

// leave drains the worker, announces its end, and ends it a little later.
func (s *simWorker) leave() {
	s.w.trace("%s drains", s.id())
	s.draining = true
	s.w.schedule(400*time.Millisecond+s.w.jitter(300*time.Millisecond), func() {
		if !s.up {
			return
		}
		s.w.trace("%s says that it leaves", s.id())
		s.a.run(s.a.incarnation, func() {
			s.a.decide(func(now time.Time) { s.a.core.HandleLeave(now, s.identity().ID) })
		})
		s.w.schedule(s.w.jitter(400*time.Millisecond), func() {
			if s.up {
				s.crash(false)
			}
		})
	})
}

// reportDelay draws how late a report arrives.
func (w *World) reportDelay() time.Duration {
	if w.o.Misleading.has(LateReports) && w.chance(0.3) {
		return w.jitter(3 * time.Second)
	}
	return 0
}

// refuse resets all links and refuses new ones for a while. The process goes on.
func (e *entryNode) refuse(d time.Duration) {
	e.w.trace("%s refuses connections for %v", e.name, d)
	e.refusesUntil = e.w.now.Add(d)
	for _, incarnation := range sortedKeys(e.links) {
		if c := e.links[incarnation]; c != nil {
			c.closeByEntry()
		}
	}
}

func (e *entryNode) refuses() bool { return e.w.now.Before(e.refusesUntil) }
