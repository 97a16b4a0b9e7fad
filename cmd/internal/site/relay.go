package site

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to a backend and can inject network faults. It
// is safe for concurrent use.
type Relay struct {
	address string
	backend atomic.Pointer[string]
	delay   atomic.Int64 // one way, in nanoseconds
	link    atomic.Pointer[relayLink]

	mu          sync.Mutex
	ln          net.Listener // nil while connections are refused
	refusals    int          // calls of Refuse without a Listen
	stopped     bool
	conns       map[*relayedConn]struct{}
	lastNumber  int // number of the newest connection
	partitioned bool
	held        holdRule
}

// Direction is the direction of bytes through a relay.
type Direction uint8

// Directions, which can be combined.
const (
	ToBackend Direction = 1 << iota
	FromBackend
	BothWays = ToBackend | FromBackend
)

// holdRule selects the connections and directions whose bytes are held back.
type holdRule struct {
	direction Direction
	every     int // applies to every n-th connection
}

func (h holdRule) matches(number int, d Direction) bool {
	return h.direction&d != 0 && number%h.every == 0
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	number      int
	front, back net.Conn
	discarding  atomic.Bool
	to, from    gate
	closed      chan struct{}
	closeOnce   sync.Once
}

// gate lets bytes through or holds them back.
type gate struct{ held atomic.Pointer[chan struct{}] }

func (g *gate) hold() {
	opened := make(chan struct{})
	g.held.CompareAndSwap(nil, &opened)
}

func (g *gate) release() {
	if opened := g.held.Swap(nil); opened != nil {
		close(*opened)
	}
}

// wait blocks until the gate is open or the connection is closed.
func (g *gate) wait(closed <-chan struct{}) {
	for {
		opened := g.held.Load()
		if opened == nil {
			return
		}
		select {
		case <-*opened:
		case <-closed:
			return
		}
	}
}

// NewRelay listens on a free loopback port. Bytes in each direction are delayed
// by delay.
func NewRelay(delay time.Duration) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", delay)
}

// NewRelayAt listens on the given IP and port. Bytes in each direction are
// delayed by delay.
func NewRelayAt(address string, delay time.Duration) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrStart.Wrap(err, "relay")
	}
	r := &Relay{address: ln.Addr().String(), ln: ln, conns: make(map[*relayedConn]struct{})}
	r.SetDelay(delay)
	go r.accept(ln)
	return r, nil
}

// Address returns the relay's listen address.
func (r *Relay) Address() string { return r.address }

// SetBackend sets the backend of new connections.
func (r *Relay) SetBackend(address string) { r.backend.Store(&address) }

// SetDelay sets the one-way delay of bytes that arrive from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetLink limits the bandwidth of connections that are opened from now on to that of a link.
// The given direction is the inbound one of the link's host.
func (r *Relay) SetLink(l *Link, inbound Direction) { r.link.Store(&relayLink{l, inbound}) }

// Blackhole discards all further bytes of open connections without closing them.
// New connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.discarding.Store(true)
	}
}

// Partition discards the bytes of open connections for good, and those of new ones
// until Heal.
func (r *Relay) Partition() {
	r.Blackhole()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = true
}

// Heal ends a Partition for new connections.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = false
}

// Hold buffers bytes until Release delivers them, in the given direction or
// both, on every n-th connection, open or new. It replaces an earlier Hold.
func (r *Relay) Hold(d Direction, every int) {
	r.hold(holdRule{d, max(1, every)})
}

// Release delivers the bytes that were held back.
func (r *Relay) Release() { r.hold(holdRule{every: 1}) }

func (r *Relay) hold(h holdRule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = h
	for c := range r.conns {
		c.hold(h)
	}
}

func (c *relayedConn) hold(h holdRule) {
	for d, g := range map[Direction]*gate{ToBackend: &c.to, FromBackend: &c.from} {
		if h.matches(c.number, d) {
			g.hold()
		} else {
			g.release()
		}
	}
}

// CloseConnections closes every open connection.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Refuse closes the listener and resets every open connection, both its ends, so
// that new connections are refused while the backend runs on. Each call needs a
// call of Listen.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	r.stopListening()
	for c := range r.conns {
		c.reset()
	}
}

func (r *Relay) stopListening() {
	if r.ln != nil {
		_ = r.ln.Close()
		r.ln = nil
	}
}

// listenRetryInterval is the time between two attempts to listen again.
const listenRetryInterval = 5 * time.Millisecond

// Listen ends one call of Refuse. After the last, the relay listens again at its
// address; if it can't within the timeout, Listen returns an ErrStart.
func (r *Relay) Listen(timeout time.Duration) error {
	r.mu.Lock()
	r.refusals--
	r.mu.Unlock()
	for end := time.Now().Add(timeout); ; time.Sleep(listenRetryInterval) {
		err := r.tryListen()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return ErrStart.Wrap(err, "relay listens again")
		}
	}
}

func (r *Relay) tryListen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.refusals > 0 || r.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.ln = ln
	go r.accept(ln)
	return nil
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stopped = true
	r.stopListening()
	r.mu.Unlock()
	r.CloseConnections()
}

func (r *Relay) accept(ln net.Listener) {
	for {
		front, err := ln.Accept()
		if err != nil {
			return
		}
		go r.serve(ln, front)
	}
}

const relayDialTimeout = time.Second

func (r *Relay) serve(ln net.Listener, front net.Conn) {
	c := &relayedConn{front: front, closed: make(chan struct{})}
	r.mu.Lock()
	c.discarding.Store(r.partitioned)
	r.mu.Unlock()
	link := r.link.Load()
	link.setWindow(front)
	if backend := r.backend.Load(); backend != nil && !c.discarding.Load() {
		if c.back, _ = net.DialTimeout("tcp", *backend, relayDialTimeout); c.back != nil {
			link.setWindow(c.back)
		}
	}
	if c.back == nil && !c.discarding.Load() {
		_ = front.Close()
		return
	}
	if !r.add(c, ln) {
		c.reset()
		return
	}
	c.forwardBoth(&r.delay, link)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// add registers the connection, so that the relay's faults apply to it. It returns
// false if the listener that accepted it has been closed since.
func (r *Relay) add(c *relayedConn, ln net.Listener) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != ln {
		return false
	}
	r.lastNumber++
	c.number = r.lastNumber
	c.hold(r.held)
	r.conns[c] = struct{}{}
	return true
}

// forwardBoth forwards bytes until one side closes.
func (c *relayedConn) forwardBoth(delay *atomic.Int64, link *relayLink) {
	defer c.close()
	if c.back == nil {
		_, _ = io.Copy(io.Discard, c.front)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(c.back, c.front, &c.to, delay, link.pacer(ToBackend)); c.close() })
	wg.Go(func() { c.forward(c.front, c.back, &c.from, delay, link.pacer(FromBackend)); c.close() })
	wg.Wait()
}

func (c *relayedConn) close() { c.closeOnce.Do(c.closeEnds) }

// reset closes both ends with a TCP reset, which discards bytes in transit.
func (c *relayedConn) reset() {
	c.closeOnce.Do(func() {
		for _, end := range []net.Conn{c.front, c.back} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		c.closeEnds()
	})
}

func (c *relayedConn) closeEnds() {
	close(c.closed)
	_ = c.front.Close()
	if c.back != nil {
		_ = c.back.Close()
	}
}

// chunk is data in transit, to be written at the given time.
type chunk struct {
	at   time.Time
	data []byte
}

const (
	relayBuffer = 32 << 10
	relayQueue  = 1024
)

// forward copies bytes from one side to the other after the delay. Bytes
// are discarded while c.discarding is set, and wait at a closed gate. The pacer limits the
// rate at which they are read, unless it is nil.
func (c *relayedConn) forward(to, from net.Conn, g *gate, delay *atomic.Int64, p *pacer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	chunks := make(chan chunk, relayQueue)
	go func() {
		defer close(chunks)
		buf := make([]byte, relayBuffer)
		for {
			n, err := from.Read(buf)
			if p != nil {
				p.wait(n)
			}
			if n > 0 && !c.discarding.Load() {
				at := time.Now().Add(time.Duration(delay.Load()))
				select {
				case chunks <- chunk{at: at, data: append([]byte(nil), buf[:n]...)}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.at))
		g.wait(c.closed)
		if c.discarding.Load() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			return
		}
	}
}
