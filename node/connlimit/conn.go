package connlimit

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/connlimit"
)

const (
	// headerFactor is the memory of a request's header relative to its text, if it consists of
	// the shortest possible fields.
	headerFactor = 20
	// writeTimeout is the longest time for which a client may read nothing of what is sent to it.
	writeTimeout = 5 * time.Second
)

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
