// Package dispatcher drives the decisions of package dispatch/dispatcher: it
// serves the agents that attach and the other entries, keeps time, and hands
// callers' jobs in and their answers out.
package dispatcher

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.dispatcher")
	// ErrStart is given when an entry can't begin to serve.
	ErrStart = Errors.NewType("start")
	// ErrLink is given to an agent whose link is refused.
	ErrLink = Errors.NewType("link")
)

// Options configure a Dispatcher.
type Options struct {
	// NodesListen is the address for agents and other entries, and Address where
	// they reach it.
	NodesListen, Address string
	// Seeds are nodes' addresses of entries, which may be stale.
	Seeds []string
	Core  dispatcher.Options
	// OnFrame is told of each frame that goes to an agent, OnExchange of each exchange
	// that this entry begins; nil: nobody.
	OnFrame    func(*pb.OrderFrame)
	OnExchange func()
	Logger     *slog.Logger
}

// Dispatcher is the part of an entry that deals with agents and other entries.
type Dispatcher struct {
	opts   Options
	nodes  net.Listener
	server *http.Server
	routes atomic.Pointer[routes]
	peers  *peers
	wake   dispatcher.Wake
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // guards what follows, and serializes the core
	core    *dispatcher.Dispatcher
	links   map[string]*link // by agent incarnation
	callers map[uint64][]chan dispatcher.Answer
	timer   *rpc.Timer
}

// New binds the nodes' port.
func New(o Options) (*Dispatcher, error) {
	if o.OnFrame == nil {
		o.OnFrame = func(*pb.OrderFrame) {}
	}
	if o.OnExchange == nil {
		o.OnExchange = func() {}
	}
	l, err := net.Listen("tcp", o.NodesListen)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on %s", o.NodesListen)
	}
	if o.Address == "" {
		o.Address = l.Addr().String()
	}
	d := &Dispatcher{
		opts: o, nodes: l, core: dispatcher.New(o.Core),
		links: make(map[string]*link), callers: make(map[uint64][]chan dispatcher.Answer),
	}
	d.routes.Store(&routes{})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.timer = rpc.NewTimer(func() { d.decide(d.core.Tick) })
	d.peers = newPeers(d)
	r := chi.NewRouter()
	path, h := papayahoistv1connect.NewWorkServiceHandler(&service{d: d}, rpc.NoCompression)
	r.Mount(path, h)
	d.server = rpc.NewServer(r, nil)
	return d, nil
}

// Address is where agents and other entries reach this one.
func (d *Dispatcher) Address() string { return d.opts.Address }

// Serve serves agents and entries until Close.
func (d *Dispatcher) Serve() error {
	go d.peers.run(d.ctx)
	if err := rpc.Serve(d.server, d.nodes); err != nil {
		return ErrStart.Wrap(err, "serve")
	}
	return nil
}

// Close ends all links. Agents are told first that nobody waits for their runs.
func (d *Dispatcher) Close() {
	d.decide(func(time.Time) { d.core.End() })
	time.Sleep(lastWord)
	d.cancel()
	_ = d.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
}

// lastWord is how long the last frames get to leave the process.
const lastWord = 20 * time.Millisecond

// decide runs one input of the core and carries out what it asks for.
func (d *Dispatcher) decide(input func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	input(now)
	r := d.core.Ready(now)
	for _, f := range r.Frames {
		if l := d.links[f.Agent]; l != nil && l.epoch == f.Epoch {
			l.out.Put(f.Frame)
			d.opts.OnFrame(f.Frame)
		}
	}
	for _, a := range r.Answers {
		for _, c := range d.callers[a.Number] {
			c <- a
		}
		delete(d.callers, a.Number)
	}
	for _, w := range r.Wants {
		go d.invite(w)
	}
	for _, agent := range r.Close {
		if l := d.links[agent]; l != nil {
			l.end()
		}
	}
	d.timer.Set(now, d.core.Next())
}

// Submit takes in a job and waits for its answer. False: the caller left before.
// A job that is here already, sent again over another connection, gets the same
// answer; it goes on until none of its callers waits.
func (d *Dispatcher) Submit(ctx context.Context, j dispatcher.Job) (dispatcher.Answer, bool) {
	if !d.holdAfterWake(ctx) {
		return dispatcher.Answer{}, false
	}
	var number uint64
	var refused *dispatcher.Answer
	c := make(chan dispatcher.Answer, 1)
	d.decide(func(now time.Time) {
		if number, refused = d.core.Submit(now, j); refused == nil {
			d.callers[number] = append(d.callers[number], c)
		}
	})
	if refused != nil {
		return *refused, true
	}
	select {
	case a := <-c:
		return a, true
	case <-ctx.Done():
	}
	d.decide(func(now time.Time) {
		left := slices.DeleteFunc(d.callers[number], func(x chan dispatcher.Answer) bool { return x == c })
		if len(left) > 0 {
			d.callers[number] = left
			return
		}
		delete(d.callers, number)
		d.core.CallerGone(now, number)
	})
	return dispatcher.Answer{}, false
}

// holdAfterWake lets a request wait when the process was suspended just before. It
// returns false when the caller has left.
func (d *Dispatcher) holdAfterWake(ctx context.Context) bool {
	hold := d.wake.Hold(clock.Now(), clock.Steady())
	if hold == 0 {
		return true
	}
	select {
	case <-time.After(hold):
		return true
	case <-ctx.Done():
		d.opts.Logger.Info("caller_gone_before_wake")
		return false
	}
}

// Open is the number of jobs without an answer.
func (d *Dispatcher) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Open()
}

// State says whether a job is here, and whether it has started.
func (d *Dispatcher) State(queue, id string) (known, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.State(queue, id)
}

// Cancel ends a job here or at another entry. False: none of those that answer
// knows it.
func (d *Dispatcher) Cancel(ctx context.Context, queue, id string) bool {
	return d.cancelHere(queue, id) || d.peers.cancel(ctx, queue, id)
}

func (d *Dispatcher) cancelHere(queue, id string) (known bool) {
	d.decide(func(now time.Time) { known = d.core.Cancel(now, queue, id) })
	return known
}

// Waiting counts a queue's jobs of which nothing has started: those here, and those that
// have waited at other entries for a while; see package tally.
func (d *Dispatcher) Waiting(queue string) int {
	return d.waitingHere(0)[queue] + d.peers.waiting(queue)
}

func (d *Dispatcher) waitingHere(since time.Duration) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting(clock.Now(), since)
}

// Links is the number of agents with a link.
func (d *Dispatcher) Links() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Links()
}

// SetConfiguration takes in a version of the configuration, and passes it on to
// the other entries when it is newer than the one in force.
func (d *Dispatcher) SetConfiguration(c *pb.Configuration) bool {
	newer := false
	d.decide(func(time.Time) {
		if newer = d.core.SetConfiguration(c); newer {
			d.routes.Store(newRoutes(c))
		}
	})
	if newer {
		d.peers.push()
	}
	return newer
}

// SetEvacuations takes in which failure domains are evacuated, and passes it on to the
// other entries when they have changed.
func (d *Dispatcher) SetEvacuations(m *pb.Evacuations) {
	changed := false
	d.decide(func(now time.Time) { changed = d.core.SetEvacuations(now, m) })
	if changed {
		d.peers.push()
	}
}

// Evacuations are the failure domains known to be evacuated; nil: none was heard of.
func (d *Dispatcher) Evacuations() *pb.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Evacuations()
}

// Configuration in force; nil before the first.
func (d *Dispatcher) Configuration() *pb.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Configuration()
}

// Find returns the queue of a host and path, the rest of the path behind its
// prefix, and the version of the configuration. Nil: there is none.
func (d *Dispatcher) Find(host, path string) (q *pb.Queue, rest string, version uint64) {
	return d.routes.Load().find(host, path)
}

// Configured reports whether there is a configuration.
func (d *Dispatcher) Configured() bool { return d.routes.Load().version > 0 }

// Limits of callers' requests; nil before the first configuration.
func (d *Dispatcher) Limits() *pb.Limits { return d.routes.Load().limits }

// Entries are the addresses of the entries known to live, this one included.
func (d *Dispatcher) Entries() []string { return d.peers.living() }

// Leave tells the other entries that this one is shutting down, and ends what it
// can't end in time a little before the given time is over.
func (d *Dispatcher) Leave(in time.Duration) {
	d.peers.leave()
	d.decide(func(now time.Time) { d.core.Leave(now, now.Add(in-lastAnswers)) })
}

// lastAnswers is how long the last answers get to leave the process.
const lastAnswers = 100 * time.Millisecond

// Learn takes in addresses of entries found elsewhere.
func (d *Dispatcher) Learn(addresses []string) { d.peers.learn(addresses) }
