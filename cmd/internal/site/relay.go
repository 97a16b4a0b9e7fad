package site

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on to a backend, and can make them fail the way
// networks do. It is safe for concurrent use.
type Relay struct {
	ln      net.Listener
	backend atomic.Pointer[string]
	delay   atomic.Int64 // one way, in nanoseconds

	mu    sync.Mutex
	conns map[*relayed]struct{}
	last  int // number of the newest connection
	cut   bool
	holds holding
}

// Direction is the way of bytes through a relay.
type Direction uint8

// Directions; both can be held at once.
const (
	ToBackend Direction = 1 << iota
	FromBackend
	BothWays = ToBackend | FromBackend
)

// holding says which bytes wait at the relay.
type holding struct {
	direction Direction
	every     int // each so many connections
}

func (h holding) covers(number int, d Direction) bool {
	return h.direction&d != 0 && number%h.every == 0
}

// relayed is one connection through the relay.
type relayed struct {
	number      int
	front, back net.Conn
	silent      atomic.Bool
	to, from    gate
	closed      chan struct{}
	closing     sync.Once
}

// gate lets bytes pass, or holds them.
type gate struct{ shut atomic.Pointer[chan struct{}] }

func (g *gate) hold() {
	opened := make(chan struct{})
	g.shut.CompareAndSwap(nil, &opened)
}

func (g *gate) release() {
	if opened := g.shut.Swap(nil); opened != nil {
		close(*opened)
	}
}

// pass waits until the gate is open or the connection is closed.
func (g *gate) pass(closed <-chan struct{}) {
	for {
		opened := g.shut.Load()
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

// NewRelay listens on a free loopback port; each direction is delayed.
func NewRelay(delay time.Duration) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", delay)
}

// NewRelayAt listens on the given IP and port; each direction is delayed.
func NewRelayAt(address string, delay time.Duration) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrSite.Wrap(err, "relay")
	}
	r := &Relay{ln: ln, conns: make(map[*relayed]struct{})}
	r.SetDelay(delay)
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetBackend directs new connections.
func (r *Relay) SetBackend(address string) { r.backend.Store(&address) }

// SetDelay changes how long bytes take one way from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Blackhole makes every open connection silent for good; new ones work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// Partition makes open connections silent for good, and new ones too until Heal.
func (r *Relay) Partition() {
	r.Blackhole()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

// Heal ends a Partition.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Hold keeps bytes back until Release delivers them: one way or both, on every
// n-th connection, open or new. It replaces an earlier Hold.
func (r *Relay) Hold(d Direction, every int) {
	r.hold(holding{d, max(1, every)})
}

// Release delivers what was held.
func (r *Relay) Release() { r.hold(holding{every: 1}) }

func (r *Relay) hold(h holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = h
	for c := range r.conns {
		c.hold(h)
	}
}

func (c *relayed) hold(h holding) {
	for d, g := range map[Direction]*gate{ToBackend: &c.to, FromBackend: &c.from} {
		if h.covers(c.number, d) {
			g.hold()
		} else {
			g.release()
		}
	}
}

// Break closes every open connection.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Break()
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
	c := &relayed{front: front, closed: make(chan struct{})}
	r.mu.Lock()
	c.silent.Store(r.cut)
	r.mu.Unlock()
	if backend := r.backend.Load(); backend != nil && !c.silent.Load() {
		c.back, _ = net.DialTimeout("tcp", *backend, relayDialTimeout)
	}
	if c.back == nil && !c.silent.Load() {
		_ = front.Close()
		return
	}
	r.add(c)
	c.run(&r.delay)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// add makes the relay's faults reach the connection.
func (r *Relay) add(c *relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	c.number = r.last
	c.hold(r.holds)
	r.conns[c] = struct{}{}
}

// run passes bytes until one side closes.
func (c *relayed) run(delay *atomic.Int64) {
	defer c.close()
	if c.back == nil {
		_, _ = io.Copy(io.Discard, c.front)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(c.back, c.front, &c.to, delay); c.close() })
	wg.Go(func() { c.pass(c.front, c.back, &c.from, delay); c.close() })
	wg.Wait()
}

func (c *relayed) close() {
	c.closing.Do(func() {
		close(c.closed)
		_ = c.front.Close()
		if c.back != nil {
			_ = c.back.Close()
		}
	})
}

// chunk is bytes on their way, to be written at the given time.
type chunk struct {
	at   time.Time
	data []byte
}

const (
	relayBuffer = 32 << 10
	relayQueue  = 1024
)

// pass copies bytes, each after the delay; those of a silent connection are
// swallowed, those at a shut gate wait.
func (c *relayed) pass(to, from net.Conn, g *gate, delay *atomic.Int64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	chunks := make(chan chunk, relayQueue)
	go func() {
		defer close(chunks)
		buf := make([]byte, relayBuffer)
		for {
			n, err := from.Read(buf)
			if n > 0 && !c.silent.Load() {
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
		g.pass(c.closed)
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			return
		}
	}
}
