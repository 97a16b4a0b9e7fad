// Package connlimit limits what the clients of a process can make it hold: connections, and the
// memory of requests. It does the I/O for the table in package dispatch/connlimit: it wraps the
// listeners of the process and the handlers behind them.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/dispatch/connlimit"
)

// Errors of this package.
var (
	Errors      = errorx.NewNamespace("node.connlimit")
	errNoMemory = Errors.NewType("no_memory").New("not enough memory for the request")
)

const (
	// connBytes is the memory of one connection in the process: its goroutine and buffers.
	connBytes = 12 << 10
	// reserveFraction is the fraction of the memory that internal ports may hold beyond it.
	reserveFraction = 0.125
	// defaultBodyTimeout is the default of Port.BodyTimeout.
	defaultBodyTimeout = 10 * time.Second
)

// Limiter holds the limits of one process. A nil Limiter limits nothing. It is safe for
// concurrent use.
type Limiter struct {
	// OnLimited, if not nil, is called when connections or requests have been closed or refused at
	// a port, at most once in limitedInterval, with the totals since the start. It is set before
	// the Limiter is used, and must not block.
	OnLimited func(port string, evicted, refused uint64)

	mu    sync.Mutex
	table *connlimit.Table
	conns map[*connlimit.Conn]*conn
	ports []*port
}

// port is a port with its counters.
type port struct {
	*connlimit.Port
	evicted, refused atomic.Uint64
	reportedAt       atomic.Int64 // of the last call of OnLimited, in nanoseconds
}

// limitedInterval is the shortest time between two calls of OnLimited for a port.
const limitedInterval = 5 * time.Second

// count counts a connection or request that was closed or refused.
func (l *Limiter) count(p *port, counter *atomic.Uint64) {
	counter.Add(1)
	now, last := time.Now().UnixNano(), p.reportedAt.Load()
	if l.OnLimited != nil && now-last >= int64(limitedInterval) && p.reportedAt.CompareAndSwap(last, now) {
		l.OnLimited(p.Name, p.evicted.Load(), p.refused.Load())
	}
}

// New returns a Limiter without ports. All connections and requests together may hold maxBytes.
func New(maxBytes int64) *Limiter {
	return &Limiter{
		conns: make(map[*connlimit.Conn]*conn),
		table: connlimit.New(connlimit.Options{MaxBytes: maxBytes, ReserveBytes: int64(reserveFraction * float64(maxBytes))}),
	}
}

// Port describes a port and the requests that it serves.
type Port struct {
	Name string
	// MaxConns limits the open connections.
	MaxConns int
	// Buffers are those with which the port's listener was made; see Listen.
	Buffers Buffers
	// Internal ports serve the system itself, which callers must not keep out.
	Internal bool
	// BodyTimeout returns the time in which a request's body must be received. If it is nil, a
	// default applies.
	BodyTimeout func() time.Duration
	// Refuse responds to a request for which there is not enough memory. It has not been handled.
	// If it is nil, the response is 503.
	Refuse http.HandlerFunc
}

// Limit limits the connections of a port that s serves, and their requests. The caller serves
// the listener that it returns.
func (l *Limiter) Limit(p Port, ln net.Listener, s *http.Server) net.Listener {
	if l == nil {
		return ln
	}
	if p.BodyTimeout == nil {
		p.BodyTimeout = func() time.Duration { return defaultBodyTimeout }
	}
	if p.Refuse == nil {
		p.Refuse = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	}
	x := &port{Port: &connlimit.Port{
		Name: p.Name, MaxConns: p.MaxConns, Internal: p.Internal, ConnBytes: connBytes + kernelFactor*int64(p.Buffers.Receive),
	}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.AddPort(x.Port)
	l.ports = append(l.ports, x)
	s.Handler = l.handler(s.Handler, p)
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return withConn(ctx, c)
	}
	return &listener{ln, l, x}
}

// used returns the memory that connections and requests hold.
func (l *Limiter) used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Used()
}

type listener struct {
	net.Listener
	limiter *Limiter
	port    *port
}

// Accept implements net.Listener. Connections beyond the limits are closed, so that their clients
// don't wait in the kernel's queue.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.limiter.open(ln.port, accepted); c != nil {
			return c, nil
		}
		ln.limiter.count(ln.port, &ln.port.refused)
		_ = accepted.Close()
	}
}

func (l *Limiter) open(p *port, accepted net.Conn) *conn {
	var c *conn
	l.change(func() ([]*connlimit.Conn, bool) {
		entry, evicted := l.table.Open(p.Port)
		if entry != nil {
			c = &conn{Conn: accepted, limiter: l, port: p, entry: entry}
			c.inHeader.Store(true)
			l.conns[entry] = c
		}
		return evicted, entry != nil
	})
	return c
}

// take returns the connections of entries. The caller holds l.mu, and closes them after it.
func (l *Limiter) take(evicted []*connlimit.Conn) (victims []*conn) {
	for _, e := range evicted {
		if c := l.conns[e]; c != nil {
			victims = append(victims, c)
		}
	}
	return victims
}

func (l *Limiter) closeAll(victims []*conn) {
	for _, c := range victims {
		l.count(c.port, &c.port.evicted)
		_ = c.Close()
	}
}

// charge adds to the memory that a connection holds. It returns false if there is not enough.
func (l *Limiter) charge(c *conn, bytes int64) bool {
	return l.change(func() ([]*connlimit.Conn, bool) { return l.table.Charge(c.entry, bytes) })
}

// change calls f with l.mu held, and closes the connections that f returns.
func (l *Limiter) change(f func() (evicted []*connlimit.Conn, ok bool)) bool {
	l.mu.Lock()
	evicted, ok := f()
	victims := l.take(evicted)
	l.mu.Unlock()
	l.closeAll(victims)
	return ok
}
