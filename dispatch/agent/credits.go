package agent

import "time"

// balance grants free slots to entries and recalls idle credits, as package limit
// decides.
func (a *Agent) balance(now time.Time) {
	if a.leaving {
		return
	}
	for _, g := range a.slots.Balance(now, nil) {
		p := a.peer(g.Entry)
		p.pending.Granted += uint32(g.Granted)
		p.pending.Recall += uint32(g.Recalled)
		p.dirty = true
	}
}

// grantAgain grants the slots of an ended task again to the entry that used them,
// in the frame that carries the result, unless another entry is entitled to them.
func (a *Agent) grantAgain(p *peer, units int) {
	if !a.leaving {
		p.pending.Granted += uint32(a.slots.Regrant(p.hello.Incarnation, units))
	}
}
