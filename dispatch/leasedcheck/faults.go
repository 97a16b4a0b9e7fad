package leasedcheck

import "time"

// fault lets one thing go wrong.
func (w *World) fault() {
	a := w.agents[w.rand.IntN(len(w.agents))]
	e := w.entries[w.rand.IntN(len(w.entries))]
	kinds := 10
	if w.o.Links > 0 {
		kinds = 13 // three of thirteen are choices
	}
	if w.o.Reborn && w.chance(0.4) {
		w.workerFault(a)
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
		w.cut(a, e)
	case 6:
		for _, x := range w.agents {
			w.cut(x, e)
		}
	case 7:
		w.trace("%s loses calls", a.name)
		a.worker.lossy = w.now.Add(500*time.Millisecond + w.upTo(3*time.Second))
	case 10, 11, 12:
		a.choose()
	case 9:
		if e.up {
			e.leave()
		}
	case 8:
		if c := a.conns[e.index]; c != nil && c.eOpen {
			w.trace("link of %s and %s is reset", a.name, e.name)
			if w.chance(0.5) {
				c.closeByEntry()
			} else {
				c.closeByAgent()
			}
		}
	}
}

// workerFault has a worker start again under its identifier, at once or behind a cut, or
// change its capacity.
func (w *World) workerFault(a *agentNode) {
	s := a.worker
	switch {
	case !s.up:
	case w.chance(0.5):
		s.resize(int64(w.rand.IntN(2 * capacity)))
	case w.chance(0.5):
		w.trace("%s loses calls", a.name)
		s.lossy = w.now.Add(w.upTo(time.Second))
		w.at(w.upTo(time.Second), func() {
			if s.up {
				s.crashFor(w.upTo(500 * time.Millisecond))
			}
		})
	default:
		s.crashFor(w.upTo(200 * time.Millisecond))
	}
}

func (w *World) freeze(p *process) {
	if !p.up {
		return
	}
	w.trace("%s freezes", p.name)
	from := w.now
	if p.thaw.After(from) {
		from = p.thaw
	}
	p.thaw = w.now.Add(100*time.Millisecond + w.upTo(3*time.Second))
	p.frozen += max(0, p.thaw.Sub(from))
}

func (w *World) cut(a *agentNode, e *entryNode) {
	w.trace("%s and %s are cut off from each other", a.name, e.name)
	a.cut[e.index] = w.now.Add(100*time.Millisecond + w.upTo(3*time.Second))
}
