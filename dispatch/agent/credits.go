package agent

import "time"

// balance hands out free slots and asks for idle credits back, as package limit
// decides.
func (a *Agent) balance(now time.Time) {
	if a.leaving {
		return
	}
	for _, g := range a.slots.Balance(now, nil) {
		p := a.peer(g.Entry)
		p.out.Granted += uint32(g.Granted)
		p.out.Recall += uint32(g.Recall)
		p.dirty = true
	}
}

// regrant lets the slots of a task that ended ride on its result, to the entry
// that used them, unless they are due to another.
func (a *Agent) regrant(p *peer, units int) {
	if !a.leaving {
		p.out.Granted += uint32(a.slots.Sticky(p.hello.Incarnation, units))
	}
}
