package leasedcheck

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// conn is one connection between an agent and an entry. Each direction delivers in
// order. A cut holds back what is sent until it heals, also the end of the
// connection.
type conn struct {
	w     *World
	a     *agentNode
	e     *entryNode
	aLife int
	eLife int
	epoch uint64
	// open ends as each side sees them.
	aOpen, eOpen bool
	toA, toE     time.Time // when the last message sent arrives
}

// cuts holds until when each pair is cut.
func (w *World) cutUntil(a *agentNode, e *entryNode) time.Time { return a.cut[e.index] }

// arrival is when a message sent now arrives.
func (c *conn) arrival(last *time.Time) time.Duration {
	at := c.w.now.Add(c.w.latency())
	if cut := c.w.cutUntil(c.a, c.e); cut.After(c.w.now) {
		at = cut.Add(c.w.latency())
	}
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(c.w.now)
}

func (c *conn) toEntry(f func()) {
	c.w.at(c.arrival(&c.toE), func() {
		c.e.run(c.eLife, func() {
			if c.eOpen {
				f()
			}
		})
	})
}

func (c *conn) toAgent(f func()) {
	c.w.at(c.arrival(&c.toA), func() {
		c.a.run(c.aLife, func() {
			if c.aOpen {
				f()
			}
		})
	})
}

// closeByAgent ends the agent's side at once, and the entry's when it hears of it.
func (c *conn) closeByAgent() {
	if !c.aOpen {
		return
	}
	c.aOpen = false
	c.toEntry(c.entryClosed)
	c.a.closed(c)
}

func (c *conn) closeByEntry() {
	if !c.eOpen {
		return
	}
	c.entryClosed()
	c.toAgent(func() {
		c.aOpen = false
		c.a.closed(c)
	})
}

func (c *conn) entryClosed() {
	if !c.eOpen {
		return
	}
	c.eOpen = false
	if c.e.links[c.a.incarnationOf(c.aLife)] == c {
		delete(c.e.links, c.a.incarnationOf(c.aLife))
	}
	c.e.decide(func(now time.Time) { c.e.core.LinkDown(now, c.a.incarnationOf(c.aLife), c.epoch) })
}

// dial opens a link from an agent to an entry.
func (a *agentNode) dial(e *entryNode) {
	if a.conns[e.index] != nil {
		return
	}
	a.epoch++
	c := &conn{w: a.w, a: a, e: e, aLife: a.life, epoch: a.epoch, aOpen: true}
	a.conns[e.index] = c
	met := a.met[e.index]
	a.decide(func(now time.Time) { a.core.Closing(now, met) })
	greeting := a.core.Greeting(a.epoch)
	asked := a.w.now
	a.after(400*time.Millisecond, func() {
		if c.aOpen && !c.eOpen && a.conns[e.index] == c && a.linked[e.index] != c {
			c.aOpen = false
			a.closed(c)
		}
	})
	c.w.at(c.arrival(&c.toE), func() {
		if !e.up {
			// Nothing listens: the entry's process has ended.
			a.run(c.aLife, func() {
				if c.aOpen {
					c.aOpen = false
					a.gone(e, met)
					a.closed(c)
				}
			})
			return
		}
		c.eLife = e.life
		e.run(e.life, func() { e.accept(c, greeting, asked) })
	})
}

func (e *entryNode) accept(c *conn, g *pb.AgentGreeting, asked time.Time) {
	if old := e.links[g.Incarnation]; old != nil {
		if old.epoch >= g.Epoch {
			return
		}
		old.eOpen = false
	}
	c.eOpen = true
	e.links[g.Incarnation] = c
	var first *pb.OrderFrame
	e.decide(func(now time.Time) {
		first = e.core.LinkUp(now, g)
		// The greeting goes out before the frames that this input makes.
		c.toAgent(func() { c.a.greeted(c, first, asked) })
	})
}

func (a *agentNode) greeted(c *conn, f *pb.OrderFrame, asked time.Time) {
	i := c.e.index
	if met := a.met[i]; met != "" && met != f.Hello.Incarnation {
		a.gone(c.e, met)
	}
	a.met[i] = f.Hello.Incarnation
	a.linked[i] = c
	up := false
	a.decide(func(now time.Time) { up = a.core.LinkUp(now, asked, f.Hello, c.epoch, f.SentNs) })
	if !up {
		c.closeByAgent()
	}
}

func (a *agentNode) gone(e *entryNode, incarnation string) {
	a.met[e.index] = ""
	if incarnation != "" {
		a.decide(func(now time.Time) { a.core.EntryGone(now, incarnation, "gone") })
	}
}

// closed takes in that the agent's side of a connection has ended, and dials anew.
func (a *agentNode) closed(c *conn) {
	i := c.e.index
	if a.conns[i] != c {
		return
	}
	a.conns[i] = nil
	if a.linked[i] == c {
		a.linked[i] = nil
		a.decide(func(now time.Time) { a.core.LinkDown(now, a.met[i], c.epoch) })
	}
	a.after(60*time.Millisecond, func() {
		if a.wanted[i] {
			a.dial(c.e)
		}
	})
}
