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
	delay   time.Duration

	mu    sync.Mutex
	conns map[*relayed]struct{}
	cut   bool
}

// relayed is one connection through the relay.
type relayed struct {
	front, back net.Conn
	silent      atomic.Bool
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
	r := &Relay{ln: ln, delay: delay, conns: make(map[*relayed]struct{})}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetBackend directs new connections.
func (r *Relay) SetBackend(address string) { r.backend.Store(&address) }

// Silence makes every open connection silent for good; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// Cut makes open connections silent for good, and new ones too until Heal.
func (r *Relay) Cut() {
	r.Silence()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
}

// Heal ends a Cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
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
	c := &relayed{front: front}
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
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	c.run(r.delay)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// run passes bytes until one side closes.
func (c *relayed) run(delay time.Duration) {
	defer c.close()
	if c.back == nil {
		_, _ = io.Copy(io.Discard, c.front)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(c.back, c.front, delay); c.close() })
	wg.Go(func() { c.pass(c.front, c.back, delay); c.close() })
	wg.Wait()
}

func (c *relayed) close() {
	_ = c.front.Close()
	if c.back != nil {
		_ = c.back.Close()
	}
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
// swallowed.
func (c *relayed) pass(to, from net.Conn, delay time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	chunks := make(chan chunk, relayQueue)
	go func() {
		defer close(chunks)
		buf := make([]byte, relayBuffer)
		for {
			n, err := from.Read(buf)
			if n > 0 && !c.silent.Load() {
				select {
				case chunks <- chunk{at: time.Now().Add(delay), data: append([]byte(nil), buf[:n]...)}:
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
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			return
		}
	}
}
