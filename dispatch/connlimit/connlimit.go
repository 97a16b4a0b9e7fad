// Package connlimit decides which connections of a process make room for others.
//
// Each port has a limit of connections, and all ports together have a limit of the memory that
// connections and their requests hold. A connection lingers while it has no request, or one that
// has not been received whole. At a limit, the connections that have lingered longest are closed,
// so that a caller who sends a whole request at once is served however many others never end
// theirs. A connection that doesn't linger is never closed.
package connlimit

import "container/list"

// Options configure a Table.
type Options struct {
	// MaxBytes limits the memory of all connections and requests.
	MaxBytes int64
	// ReserveBytes may be held beyond MaxBytes by the connections of internal ports.
	ReserveBytes int64
}

// Port is a listening port.
type Port struct {
	Name string
	// MaxConns limits the open connections.
	MaxConns int
	// ConnBytes is the memory of one connection without a request.
	ConnBytes int64
	// Internal ports serve the system itself. It must not be kept out by callers.
	Internal bool

	conns     int
	lingering list.List // of *Conn, in the order of Conn.since
}

// Conns returns the number of open connections.
func (p *Port) Conns() int { return p.conns }

// Conn is an open connection.
type Conn struct {
	port  *Port
	bytes int64
	// partial and whole are the numbers of requests in progress that have been received up to
	// their bodies, and whole.
	partial, whole int
	since          uint64        // when it began to linger, in the table's order
	place          *list.Element // in port.lingering; nil: it doesn't linger
	evicted        bool
	closed         bool
}

// Port returns the port of the connection.
func (c *Conn) Port() *Port { return c.port }

// Table holds the open connections of a process. It isn't safe for concurrent use.
type Table struct {
	opts    Options
	ports   []*Port
	used    int64
	leaving int64 // the part of used that evicted connections have not released yet
	clock   uint64
}

// New returns a table without ports.
func New(o Options) *Table { return &Table{opts: o} }

// AddPort adds a port.
func (t *Table) AddPort(p *Port) { t.ports = append(t.ports, p) }

// Used returns the memory that connections and requests hold.
func (t *Table) Used() int64 { return t.used }

// Open adds a connection. It returns the connections to close, and nil if the new one must be
// refused.
func (t *Table) Open(p *Port) (c *Conn, evicted []*Conn) {
	if p.conns >= p.MaxConns {
		victim := oldest(p)
		if victim == nil {
			return nil, nil
		}
		t.evict(victim)
		evicted = append(evicted, victim)
	}
	c = &Conn{port: p}
	p.conns++
	t.add(c, p.ConnBytes)
	evicted = append(evicted, t.makeRoom(c)...)
	if t.full(p) {
		t.Close(c)
		return nil, evicted
	}
	t.linger(c)
	return c, evicted
}

// Close removes a connection. What its requests hold is released by Charge.
func (t *Table) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	t.add(c, -c.port.ConnBytes)
	t.stopLingering(c)
	if !c.evicted {
		c.port.conns--
	}
}

// Charge adds to the memory that a connection holds, or releases some of it. It returns the
// connections to close, and false if there is still not enough memory.
func (t *Table) Charge(c *Conn, bytes int64) (evicted []*Conn, ok bool) {
	t.add(c, bytes)
	if bytes <= 0 {
		return nil, true
	}
	evicted = t.makeRoom(c)
	return evicted, !c.evicted && !t.full(c.port)
}

// Begin records that the header of a request has been received.
func (t *Table) Begin(c *Conn) {
	c.partial++
	t.update(c)
}

// Received records that such a request has been received whole.
func (t *Table) Received(c *Conn) {
	c.partial--
	c.whole++
	t.update(c)
}

// End records that a request has been answered, and whether it had been received whole.
func (t *Table) End(c *Conn, received bool) {
	if received {
		c.whole--
	} else {
		c.partial--
	}
	t.stopLingering(c)
	t.update(c)
}

// update makes a connection linger, or stop to, as its requests demand.
func (t *Table) update(c *Conn) {
	switch lingers := c.partial > 0 || c.whole == 0; {
	case !lingers, c.closed, c.evicted:
		t.stopLingering(c)
	case c.place == nil:
		t.linger(c)
	}
}

func (t *Table) add(c *Conn, bytes int64) {
	c.bytes += bytes
	t.used += bytes
	if c.evicted {
		t.leaving += bytes
	}
}

func (t *Table) linger(c *Conn) {
	t.clock++
	c.since = t.clock
	c.place = c.port.lingering.PushBack(c)
}

func (t *Table) stopLingering(c *Conn) {
	if c.place != nil {
		c.port.lingering.Remove(c.place)
		c.place = nil
	}
}

// full reports whether the limit of a port's connections is exceeded even when all evicted
// connections have released their memory.
func (t *Table) full(p *Port) bool {
	limit := t.opts.MaxBytes
	if p.Internal {
		limit += t.opts.ReserveBytes
	}
	return t.used-t.leaving > limit
}

// makeRoom evicts the connections that have lingered longest until the limit is kept, other than
// the one that needs the memory.
func (t *Table) makeRoom(needs *Conn) (evicted []*Conn) {
	for t.full(needs.port) {
		var victim *Conn
		for _, p := range t.ports {
			if c := oldestBut(p, needs); c != nil && (victim == nil || c.since < victim.since) {
				victim = c
			}
		}
		if victim == nil {
			break
		}
		t.evict(victim)
		evicted = append(evicted, victim)
	}
	return evicted
}

func oldest(p *Port) *Conn { return oldestBut(p, nil) }

// oldestBut returns the connection of a port that has lingered longest, other than the given one.
func oldestBut(p *Port, but *Conn) *Conn {
	for e := p.lingering.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c != but {
			return c
		}
	}
	return nil
}

func (t *Table) evict(c *Conn) {
	t.stopLingering(c)
	c.evicted = true
	t.leaving += c.bytes
	c.port.conns--
}
