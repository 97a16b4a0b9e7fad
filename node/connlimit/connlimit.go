// Package connlimit limits what the clients of a process can make it hold: connections, and the
// memory of requests. It does the I/O for the table in package dispatch/connlimit: it wraps the
// listeners of the process and the handlers behind them.
package connlimit

import (
	"context"
	"errors"
	"io"
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
	// headerFactor is the memory of a request's header relative to its text, if it consists of
	// the shortest possible fields.
	headerFactor = 20
	// fieldBytes is the memory of one header field beside its text.
	fieldBytes = 160
	// bodyFactor is the memory of a request's body relative to its text, while it is read into a
	// buffer that doubles as it grows.
	bodyFactor = 3
	// reserveFraction is the fraction of the memory that internal ports may hold beyond it.
	reserveFraction = 0.125
	// defaultBodyTimeout is the default of Port.BodyTimeout.
	defaultBodyTimeout = 10 * time.Second
	// writeTimeout is the longest time for which a client may read nothing of what is sent to it.
	writeTimeout = 5 * time.Second
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

// conn is a connection of a limited port.
type conn struct {
	net.Conn
	limiter *Limiter
	port    *port
	entry   *connlimit.Conn
	// inHeader: no request is in progress, and what is read belongs to the next one's header.
	inHeader atomic.Bool
	closed   atomic.Bool

	// Guarded by limiter.mu.
	headerBytes int64 // charged for the text of a header
	released    bool  // closed, and not charged any more
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.inHeader.Load() && !c.chargeHeader(headerFactor*int64(n)) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) chargeHeader(bytes int64) bool {
	return c.limiter.change(func() ([]*connlimit.Conn, bool) {
		if c.released {
			return nil, false
		}
		c.headerBytes += bytes
		return c.limiter.table.Charge(c.entry, bytes)
	})
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.Close()
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.released = true
	l.table.Charge(c.entry, -c.headerBytes)
	c.headerBytes = 0
	l.table.Close(c.entry)
	delete(l.conns, c.entry)
	return err
}

type connKey struct{}

// withConn returns a context with the connection of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	for nc != nil {
		if c, ok := nc.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		wrapped, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = wrapped.NetConn()
	}
	return ctx
}

// handler returns a handler that limits the requests to next.
func (l *Limiter) handler(next http.Handler, p Port) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		q := &request{conn: c, control: http.NewResponseController(w), handling: true}
		defer q.end(r.ProtoMajor == 1)
		if !q.begin(r, p.BodyTimeout) {
			l.count(c.port, &c.port.refused)
			w.Header().Set("Connection", "close")
			p.Refuse(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, q)))
		if b, ok := r.Body.(*body); ok && r.ProtoMajor == 1 && w.Header().Get("Connection") != "close" {
			b.discard()
		}
	})
}

type requestKey struct{}

// Hold replaces what the request of ctx has been charged for its body. Handlers call it when they
// have decoded the body and drop its text. It returns false if there is not enough memory; the
// handler then refuses the request.
func Hold(ctx context.Context, bytes int64) bool {
	q, _ := ctx.Value(requestKey{}).(*request)
	return q == nil || q.hold(bytes)
}

// KeepOpen makes the request of ctx a stream that both sides keep open: its body has no time
// limit, and its connection doesn't make room for others.
func KeepOpen(ctx context.Context) {
	if q, _ := ctx.Value(requestKey{}).(*request); q != nil {
		q.received(true)
		q.hold(0)
	}
}

// request is a request in progress. Its fields are used by the goroutine that reads the body.
type request struct {
	conn    *conn
	control *http.ResponseController

	mu       sync.Mutex
	header   int64 // charged for the header
	body     int64 // and for the body
	whole    bool
	stream   bool
	handling bool // the handler has not returned, after which control must not be used
}

// begin charges a request for its header. It returns false if there is not enough memory.
func (q *request) begin(r *http.Request, bodyTimeout func() time.Duration) bool {
	c, l := q.conn, q.conn.limiter
	c.inHeader.Store(false)
	q.header = headerBytes(r)
	ok := l.change(func() ([]*connlimit.Conn, bool) {
		l.table.Begin(c.entry)
		// The charge for the text is replaced by that for the decoded header.
		text := c.headerBytes
		c.headerBytes = 0
		return l.table.Charge(c.entry, q.header-text)
	})
	if r.Body != nil && r.Body != http.NoBody {
		_ = q.control.SetReadDeadline(time.Now().Add(bodyTimeout()))
		r.Body = &body{r.Body, q}
	} else {
		q.received(false)
	}
	return ok
}

// end releases what a request holds. Next, the connection may receive the header of another one.
func (q *request) end(nextHeader bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handling = false
	c, l := q.conn, q.conn.limiter
	// A connection with the rest of a body is closed.
	c.inHeader.Store(nextHeader && q.whole)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Charge(c.entry, -q.header-q.body)
	l.table.End(c.entry, q.whole)
}

// received records that nothing of the request is missing any more.
func (q *request) received(stream bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stream = stream; q.whole || !q.handling {
		return
	}
	q.whole = true
	_ = q.control.SetReadDeadline(time.Time{})
	l := q.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Received(q.conn.entry)
}

func (q *request) isWhole() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.whole
}

func (q *request) hold(bytes int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	change := bytes - q.body
	q.body = bytes
	return q.handling && q.conn.limiter.charge(q.conn, change)
}

// read charges a request for a part of its body.
func (q *request) read(n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stream || !q.handling {
		return true
	}
	q.body += bodyFactor * int64(n)
	return q.conn.limiter.charge(q.conn, bodyFactor*int64(n))
}

// maxDiscardedBytes is how much of a body that the handler has not read is read after it, so that
// the connection can be used again.
const maxDiscardedBytes = 256 << 10

// body is the body of a request.
type body struct {
	io.ReadCloser
	request *request
}

// IsNoMemory reports whether a body could not be read because there is not enough memory for it.
func IsNoMemory(err error) bool { return errors.Is(err, errNoMemory) }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.request.read(n) {
		return n, errNoMemory
	}
	if err == io.EOF {
		b.request.received(false)
	}
	return n, err
}

// discard reads what the handler has not read.
func (b *body) discard() {
	if b.request.isWhole() {
		return
	}
	_, err := io.CopyN(io.Discard, b.ReadCloser, maxDiscardedBytes+1)
	if err == io.EOF {
		b.request.received(false)
	}
}

// headerBytes estimates the memory of a decoded header.
func headerBytes(r *http.Request) int64 {
	total := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		total += fieldBytes + len(name)
		for _, v := range values {
			total += len(v) + fieldBytes/8
		}
	}
	return int64(total)
}
