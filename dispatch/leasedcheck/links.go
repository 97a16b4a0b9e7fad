package leasedcheck

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// conn is one connection between an agent and an entry. Each direction delivers in
// order. A partition delays messages until it heals, including the close of the
// connection.
type conn struct {
	w                *World
	a                *agentNode
	e                *entryNode
	agentIncarnation int
	entryIncarnation int
	epoch            uint64
	// Whether the connection is open, as each side sees it.
	agentOpen, entryOpen       bool
	agentArrival, entryArrival time.Time // arrival of the last message sent in each direction
	// unsent holds messages of the entry that have not been passed to the connection.
	unsent []func()
}

// partitionEnd returns the end of the last partition between an agent and an entry.
func (w *World) partitionEnd(a *agentNode, e *entryNode) time.Time { return a.partitions[e.index] }

// arrivalDelay returns the time that a message sent now takes, and stores the time of
// its arrival in last.
func (c *conn) arrivalDelay(last *time.Time) time.Duration {
	at := c.w.now.Add(c.w.latency())
	if end := c.w.partitionEnd(c.a, c.e); end.After(c.w.now) {
		at = end.Add(c.w.latency())
	}
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(c.w.now)
}

func (c *conn) sendToEntry(f func()) {
	c.w.schedule(c.arrivalDelay(&c.entryArrival), func() {
		c.e.run(c.entryIncarnation, func() {
			if c.entryOpen {
				f()
			}
		})
	})
}

func (c *conn) sendToAgent(f func()) {
	c.w.schedule(c.arrivalDelay(&c.agentArrival), func() {
		c.a.run(c.agentIncarnation, func() {
			if c.agentOpen {
				f()
			}
		})
	})
}

// queueToAgent sends a message to the agent from the goroutine of the link.
func (c *conn) queueToAgent(f func()) {
	c.unsent = append(c.unsent, f)
	c.e.yield(func() {
		for _, f := range c.unsent {
			c.sendToAgent(f)
		}
		c.unsent = nil
	})
}

// closeByAgent closes the agent's side at once, and the entry's when the close arrives
// there.
func (c *conn) closeByAgent() {
	if !c.agentOpen {
		return
	}
	c.agentOpen = false
	c.sendToEntry(c.entryClosed)
	c.a.connClosed(c)
}

func (c *conn) closeByEntry() {
	if !c.entryOpen {
		return
	}
	c.entryClosed()
	c.sendToAgent(func() {
		c.agentOpen = false
		c.a.connClosed(c)
	})
}

func (c *conn) entryClosed() {
	if !c.entryOpen {
		return
	}
	c.entryOpen = false
	if c.e.links[c.a.incarnationName(c.agentIncarnation)] == c {
		delete(c.e.links, c.a.incarnationName(c.agentIncarnation))
	}
	c.e.decide(func(now time.Time) { c.e.core.LinkDown(now, c.a.incarnationName(c.agentIncarnation), c.epoch) })
}

// dial opens a link from an agent to an entry.
func (a *agentNode) dial(e *entryNode) {
	if a.conns[e.index] != nil {
		return
	}
	a.epoch++
	c := &conn{w: a.w, a: a, e: e, agentIncarnation: a.incarnation, epoch: a.epoch, agentOpen: true}
	a.conns[e.index] = c
	previous := a.entryIncarnations[e.index]
	a.decide(func(now time.Time) { a.core.CloseLink(now, previous) })
	greeting := a.core.Greeting(a.epoch)
	dialedAt := a.w.now
	a.after(400*time.Millisecond, func() {
		if c.agentOpen && !c.entryOpen && a.conns[e.index] == c && a.linked[e.index] != c {
			c.agentOpen = false
			a.connClosed(c)
		}
	})
	c.w.schedule(c.arrivalDelay(&c.entryArrival), func() {
		if !e.up || e.refuses() {
			// Nothing listens at the address.
			a.run(c.agentIncarnation, func() {
				if c.agentOpen {
					c.agentOpen = false
					a.connClosed(c)
				}
			})
			return
		}
		c.entryIncarnation = e.incarnation
		e.run(e.incarnation, func() { e.accept(c, greeting, dialedAt) })
	})
}

func (e *entryNode) accept(c *conn, g *pb.AgentGreeting, dialedAt time.Time) {
	if old := e.links[g.Incarnation]; old != nil {
		if old.epoch >= g.Epoch {
			return
		}
		old.entryOpen = false
	}
	c.entryOpen = true
	e.links[g.Incarnation] = c
	var first *pb.OrderFrame
	e.decide(func(now time.Time) {
		first = e.core.LinkUp(now, g)
		// The handshake response precedes the frames that this input causes.
		c.queueToAgent(func() { c.a.linkEstablished(c, first, dialedAt) })
	})
}

func (a *agentNode) linkEstablished(c *conn, f *pb.OrderFrame, dialedAt time.Time) {
	i := c.e.index
	if previous := a.entryIncarnations[i]; previous != "" && previous != f.Hello.Incarnation {
		a.entryEnded(c.e, previous)
	}
	a.entryIncarnations[i] = f.Hello.Incarnation
	a.linked[i] = c
	up := false
	a.decide(func(now time.Time) { up = a.core.LinkUp(now, dialedAt, f.Hello, c.epoch, f.SentNs) })
	if !up {
		c.closeByAgent()
	}
}

func (a *agentNode) entryEnded(e *entryNode, incarnation string) {
	a.entryIncarnations[e.index] = ""
	if incarnation != "" {
		a.decide(func(now time.Time) { a.core.EntryEnded(now, incarnation, "gone") })
	}
}

// connClosed handles the close of the agent's side of a connection, and redials after a
// pause.
func (a *agentNode) connClosed(c *conn) {
	i := c.e.index
	if a.conns[i] != c {
		return
	}
	a.conns[i] = nil
	if a.linked[i] == c {
		a.linked[i] = nil
		a.decide(func(now time.Time) { a.core.LinkDown(now, a.entryIncarnations[i], c.epoch) })
	}
	a.after(60*time.Millisecond, func() {
		if a.wanted[i] {
			a.dial(c.e)
		}
	})
}
