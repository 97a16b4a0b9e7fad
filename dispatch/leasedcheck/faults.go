package leasedcheck

import (
	"time"
)

// injectFault injects one random fault.
func (w *World) injectFault() {
	a := w.agents[w.rand.IntN(len(w.agents))]
	e := w.entries[w.rand.IntN(len(w.entries))]
	kinds := 10
	if w.o.Links > 0 {
		kinds = 13 // three of the thirteen change an agent's subset of entries
	}
	if w.o.WorkerRestarts && w.chance(0.4) {
		w.injectWorkerFault(a)
		return
	}
	if w.o.WorkerStalls && w.chance(0.4) {
		w.stallWorker(a)
		return
	}
	switch w.rand.IntN(kinds) {
	case 0:
		if e.up {
			e.kill()
		}
	case 1:
		if a.up {
			a.kill()
		}
	case 2:
		if a.worker.up {
			a.worker.crash(w.chance(0.5))
		}
	case 3:
		w.freeze(&e.process)
	case 4:
		w.freeze(&a.process)
	case 5:
		w.partition(a, e)
	case 6:
		for _, x := range w.agents {
			w.partition(x, e)
		}
	case 7:
		w.trace("%s loses calls", a.name)
		a.worker.lossyUntil = w.now.Add(500*time.Millisecond + w.jitter(3*time.Second))
	case 10, 11, 12:
		a.replaceEntry()
	case 9:
		if e.up {
			e.shutDown()
		}
	case 8:
		if c := a.conns[e.index]; c != nil && c.entryOpen {
			w.trace("link of %s and %s is reset", a.name, e.name)
			if w.chance(0.5) {
				c.closeByEntry()
			} else {
				c.closeByAgent()
			}
		}
	}
}

// injectWorkerFault restarts a worker under the same identifier, immediately or while its
// calls are lost, or changes its capacity.
func (w *World) injectWorkerFault(a *agentNode) {
	s := a.worker
	switch {
	case !s.up:
	case w.chance(0.5):
		s.resize(int64(w.rand.IntN(2 * defaultCapacity)))
	case w.chance(0.5):
		w.trace("%s loses calls", a.name)
		s.lossyUntil = w.now.Add(w.jitter(time.Second))
		w.schedule(w.jitter(time.Second), func() {
			if s.up {
				s.crashFor(w.jitter(500 * time.Millisecond))
			}
		})
	default:
		s.crashFor(w.jitter(200 * time.Millisecond))
	}
}

func (w *World) freeze(p *process) {
	if !p.up {
		return
	}
	stalls := w.o.Stalls && w.chance(0.5)
	w.trace("%s freezes, clocks run: %v", p.name, stalls)
	from := w.now
	if p.frozenUntil.After(from) {
		from = p.frozenUntil
	}
	p.frozenUntil = w.now.Add(100*time.Millisecond + w.jitter(3*time.Second))
	if !stalls {
		p.frozenTotal += max(0, p.frozenUntil.Sub(from))
	}
}

func (w *World) partition(a *agentNode, e *entryNode) {
	w.trace("%s and %s are partitioned", a.name, e.name)
	a.partitions[e.index] = w.now.Add(100*time.Millisecond + w.jitter(3*time.Second))
}

// maxWorkerStall is the longest time for which workers of a sound service get no CPU.
const maxWorkerStall = 200 * time.Millisecond

// stallWorker lets a worker get no CPU several times, mostly while no call reaches it, and sometimes
// while no entry reaches its agent either.
func (w *World) stallWorker(a *agentNode) {
	s := a.worker
	w.trace("%s stalls", s.id())
	if w.chance(0.8) {
		s.silentUntil = w.now.Add(500*time.Millisecond + w.jitter(2*time.Second))
	}
	if w.chance(0.3) {
		for _, e := range w.entries {
			w.partition(a, e)
		}
	}
	end := w.now.Add(2 * time.Second)
	var stall func()
	stall = func() {
		if w.now.After(end) {
			return
		}
		d := w.jitter(maxWorkerStall)
		s.stalledUntil = w.now.Add(d)
		w.schedule(d+20*time.Millisecond+w.jitter(200*time.Millisecond), stall)
	}
	stall()
}
