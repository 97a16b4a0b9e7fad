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
	ln      net.Listener
	backend atomic.Pointer[string]
	delay   atomic.Int64 // one way, in nanoseconds

	mu          sync.Mutex
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
	r := &Relay{ln: ln, conns: make(map[*relayedConn]struct{})}
	r.SetDelay(delay)
	go r.accept()
	return r, nil
}

// Address returns the relay's listen address.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetBackend sets the backend of new connections.
func (r *Relay) SetBackend(address string) { r.backend.Store(&address) }

// SetDelay sets the one-way delay of bytes that arrive from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

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

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.CloseConnections()
}

func (r *Relay) accept() {
	for {
		front, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(front)
	}
}

const relayDialTimeout = time.Second

func (r *Relay) serve(front net.Conn) {
	c := &relayedConn{front: front, closed: make(chan struct{})}
	r.mu.Lock()
	c.discarding.Store(r.partitioned)
	r.mu.Unlock()
	if backend := r.backend.Load(); backend != nil && !c.discarding.Load() {
		c.back, _ = net.DialTimeout("tcp", *backend, relayDialTimeout)
	}
	if c.back == nil && !c.discarding.Load() {
		_ = front.Close()
		return
	}
	r.add(c)
	c.forwardBoth(&r.delay)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// add registers the connection, so that the relay's faults apply to it.
func (r *Relay) add(c *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	c.number = r.lastNumber
	c.hold(r.held)
	r.conns[c] = struct{}{}
}

// forwardBoth forwards bytes until one side closes.
func (c *relayedConn) forwardBoth(delay *atomic.Int64) {
	defer c.close()
	if c.back == nil {
		_, _ = io.Copy(io.Discard, c.front)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(c.back, c.front, &c.to, delay); c.close() })
	wg.Go(func() { c.forward(c.front, c.back, &c.from, delay); c.close() })
	wg.Wait()
}

func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.front.Close()
		if c.back != nil {
			_ = c.back.Close()
		}
	})
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
// are discarded while c.discarding is set, and wait at a closed gate.
func (c *relayedConn) forward(to, from net.Conn, g *gate, delay *atomic.Int64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	chunks := make(chan chunk, relayQueue)
	go func() {
		defer close(chunks)
		buf := make([]byte, relayBuffer)
		for {
			n, err := from.Read(buf)
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
