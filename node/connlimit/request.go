package connlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/connlimit"
)

const (
	// fieldBytes is the memory of one header field beside its text.
	fieldBytes = 160
	// valueBytes is the memory of one value of a header field beside its text.
	valueBytes = 20
	// bodyFactor is the memory of a request's body relative to its text, while it is read into a
	// buffer that doubles as it grows.
	bodyFactor = 3
	// maxDiscardedBytes is how much of a body that the handler has not read is read after it, so
	// that the connection can be used again.
	maxDiscardedBytes = 256 << 10
)

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

// request is a request in progress. Its body may be read by another goroutine than its handler's.
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
			total += valueBytes + len(v)
		}
	}
	return int64(total)
}
