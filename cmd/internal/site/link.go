package site

import (
	"net"
	"sync"
	"time"
)

// Link is the network link of one host, of limited bandwidth in each direction. The relays
// on the paths to and from the host share it. It is safe for concurrent use.
type Link struct{ in, out pacer }

// NewLink returns a link of the given bandwidth.
func NewLink(bytesPerSecond int64) *Link {
	return &Link{in: pacer{rate: bytesPerSecond}, out: pacer{rate: bytesPerSecond}}
}

// Bytes returns the number of bytes that have passed in both directions.
func (l *Link) Bytes() int64 { return l.in.total() + l.out.total() }

// relayLink is a link as one relay uses it.
type relayLink struct {
	link    *Link
	inbound Direction
}

// linkWindow is the size of the socket buffers of connections over a link. Larger ones would
// take in a whole message at once, which then arrives although its sender has given up.
const linkWindow = 16 << 10

// setWindow limits the bytes of a connection that are on their way. Without a link it does
// nothing.
func (l *relayLink) setWindow(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && l != nil {
		_ = tcp.SetReadBuffer(linkWindow)
		_ = tcp.SetWriteBuffer(linkWindow)
	}
}

// pacer returns that of a direction through the relay, nil without a link.
func (l *relayLink) pacer(d Direction) *pacer {
	switch {
	case l == nil:
		return nil
	case d == l.inbound:
		return &l.link.in
	default:
		return &l.link.out
	}
}

// pacer lets bytes pass at a fixed rate, in the order of the calls of wait.
type pacer struct {
	rate int64 // bytes per second

	mu     sync.Mutex
	free   time.Time // when the bytes that have been passed so far are through
	passed int64
}

// wait blocks until n more bytes have passed.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	p.passed += int64(n)
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (p *pacer) total() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed
}
