// Package dispatcher does the I/O for the state machine in package
// dispatch/dispatcher: it serves the agents that attach and the other entries, runs
// the timer, submits callers' jobs and returns their answers.
package dispatcher

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.dispatcher")
	// ErrStart is returned when an entry can't start to serve.
	ErrStart = Errors.NewType("start")
	// ErrLink is returned to an agent whose link is refused.
	ErrLink = Errors.NewType("link")
)

// Options configure a Dispatcher.
type Options struct {
	// NodesListen is the address to listen on for agents and other entries. Address is
	// where they reach it; empty means the address of the listener.
	NodesListen, Address string
	// Seeds are the nodes' addresses of entries to start with. They may be out of date.
	Seeds []string
	Core  dispatcher.Options
	// StoreDelivering, if not nil, reports whether the platform's store is delivering a change.
	// A configuration isn't fetched from another entry meanwhile.
	StoreDelivering func() bool
	// OnFrame, if not nil, is called with each frame queued for an agent, and OnFrameSent with
	// the time from then until the frame was passed to its connection. OnExchange is called
	// with each exchange with another entry that this one has started, and OnFetch with each
	// fetch of a configuration, when it has ended.
	OnFrame     func(*pb.OrderFrame)
	OnFrameSent func(wait time.Duration)
	OnExchange  func(Transfer)
	OnFetch     func(Transfer)
	// Limiter limits the connections of the nodes' port to MaxConns, and what their requests
	// hold. If it is nil, there is no limit.
	Limiter  *connlimit.Limiter
	MaxConns int
	// MaxMessageBytes limits a message from another process; zero means no limit.
	MaxMessageBytes int
	Logger          *slog.Logger
}

// Transfer describes a call to another entry that has ended.
type Transfer struct {
	// Sent and Received are the bytes of the two messages, as far as they were transferred.
	Sent, Received int64
	Err            error
}

// Dispatcher connects an entry to its agents and to other entries. It is safe for
// concurrent use.
type Dispatcher struct {
	opts       Options
	nodes      net.Listener
	server     *http.Server
	routes     atomic.Pointer[routes]
	peers      *peers
	suspension dispatcher.SuspensionDetector
	ctx        context.Context
	cancel     context.CancelFunc

	mu      sync.Mutex // guards the fields below and serializes calls of core
	core    *dispatcher.Dispatcher
	links   map[string]*link // by agent incarnation
	callers map[uint64][]*caller
	timer   *rpc.Timer
}

// New returns a Dispatcher that listens on o.NodesListen. Serve starts it.
func New(o Options) (*Dispatcher, error) {
	if o.OnFrame == nil {
		o.OnFrame = func(*pb.OrderFrame) {}
	}
	if o.OnFrameSent == nil {
		o.OnFrameSent = func(time.Duration) {}
	}
	if o.OnExchange == nil {
		o.OnExchange = func(Transfer) {}
	}
	if o.OnFetch == nil {
		o.OnFetch = func(Transfer) {}
	}
	if o.StoreDelivering == nil {
		o.StoreDelivering = func() bool { return false }
	}
	l, err := connlimit.Listen(o.NodesListen, connlimit.NodeBuffers)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on %s", o.NodesListen)
	}
	if o.Address == "" {
		o.Address = l.Addr().String()
	}
	d := &Dispatcher{
		opts: o, nodes: l, core: dispatcher.New(o.Core),
		links: make(map[string]*link), callers: make(map[uint64][]*caller),
	}
	d.routes.Store(&routes{})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.timer = rpc.NewTimer(func() { d.decide(d.core.Tick) })
	d.peers = newPeers(d)
	r := chi.NewRouter()
	path, h := papayahoistv1connect.NewWorkServiceHandler(&service{d: d}, rpc.NoCompression, connect.WithReadMaxBytes(o.MaxMessageBytes))
	r.Mount(path, limitTransfers(h))
	d.server = rpc.NewServer(r, nil)
	d.nodes = o.Limiter.Limit(connlimit.Port{Name: "nodes", MaxConns: o.MaxConns, Buffers: connlimit.NodeBuffers, Internal: true}, l, d.server)
	return d, nil
}

// Address returns the address at which agents and other entries reach this one.
func (d *Dispatcher) Address() string { return d.opts.Address }

// Serve serves agents and entries until Close.
func (d *Dispatcher) Serve() error {
	go d.peers.run(d.ctx)
	if err := rpc.Serve(d.server, d.nodes); err != nil {
		return ErrStart.Wrap(err, "serve")
	}
	return nil
}

// Close closes all links. It first notifies the agents that the results of their runs are
// no longer needed.
func (d *Dispatcher) Close() {
	d.decide(func(time.Time) { d.core.NotifyExit() })
	time.Sleep(finalFrameTime)
	d.cancel()
	_ = d.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
}

// finalFrameTime is the time for the last frames to be sent before the process ends.
const finalFrameTime = 20 * time.Millisecond

// decide applies one input to the core and executes the actions that the core returns.
func (d *Dispatcher) decide(input func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if stall := d.core.Stall(now); stall > 0 {
		d.dropEnded(now, stall)
	}
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
			c.answer <- a
		}
		delete(d.callers, a.Number)
	}
	for _, w := range r.AgentRequests {
		go d.invite(w)
	}
	for _, agent := range r.Close {
		if l := d.links[agent]; l != nil {
			l.end()
		}
	}
	d.timer.Set(now, d.core.Next())
}

// OpenJobs returns the number of jobs without an answer.
func (d *Dispatcher) OpenJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.OpenJobs()
}

// JobState reports whether this entry holds a job, and whether the job has started.
func (d *Dispatcher) JobState(queue, id string) (known, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.JobState(queue, id)
}

// Cancel cancels a job at this entry or at another one. Known is false if none of the entries that
// respond knows the job, and ok is false if the others could not be asked.
func (d *Dispatcher) Cancel(ctx context.Context, queue, id string) (known, ok bool) {
	if d.cancelLocal(queue, id) {
		return true, true
	}
	return d.peers.cancel(ctx, queue, id)
}

func (d *Dispatcher) cancelLocal(queue, id string) (known bool) {
	d.decide(func(now time.Time) { known = d.core.Cancel(now, queue, id) })
	return known
}

// WaitingJobs returns the number of a queue's jobs of which nothing has started: those at this
// entry, and those that have waited for a minimum time at other entries; see package
// tally.
func (d *Dispatcher) WaitingJobs(queue string) int {
	return d.waitingLocal(0)[queue] + d.peers.waiting(queue)
}

func (d *Dispatcher) waitingLocal(since time.Duration) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.WaitingJobs(clock.Now(), since)
}

// Links returns the number of agents with a link.
func (d *Dispatcher) Links() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Links()
}

// UnevenWorkers returns the number of linked agents whose worker's speed isn't 1.
func (d *Dispatcher) UnevenWorkers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.UnevenWorkers()
}

// SetConfiguration applies a configuration if it is newer than the one in force, and
// announces it to the other entries then. Source is where it was received from.
func (d *Dispatcher) SetConfiguration(c *pb.Configuration, source string) {
	if c.Version <= d.routes.Load().version {
		return
	}
	// Not while decisions wait: it takes milliseconds for a large configuration.
	index := newRoutes(c)
	newer := false
	d.decide(func(time.Time) {
		if newer = d.core.SetConfiguration(c); newer {
			d.routes.Store(index)
		}
	})
	if newer {
		behind := d.peers.setOwnVersion(c.Version)
		d.opts.Logger.Info("configuration_in_force", "version", c.Version, "source", source, "queues", len(c.Queues),
			"behind_ms", behind.Milliseconds())
		d.peers.push()
	}
}

// NewestVersion returns the newest version of the configuration that is known to be in force
// at any entry, and for how long this one has lacked it.
func (d *Dispatcher) NewestVersion() (version uint64, behind time.Duration) {
	return d.peers.newestVersion()
}

// SetEvacuations applies a list of evacuated failure domains, and forwards it to the other
// entries if it changes the current one.
func (d *Dispatcher) SetEvacuations(m *pb.Evacuations) {
	changed := false
	d.decide(func(now time.Time) { changed = d.core.SetEvacuations(now, m) })
	if changed {
		d.peers.push()
	}
}

// Evacuations returns the failure domains known to be evacuated, nil if no list has been
// received.
func (d *Dispatcher) Evacuations() *pb.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Evacuations()
}

// Configuration returns the configuration in force, nil before the first.
func (d *Dispatcher) Configuration() *pb.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Configuration()
}

// FindQueue returns the queue for a host and path, the rest of the path after the queue's
// prefix, and the version of the configuration. The queue is nil if none matches.
func (d *Dispatcher) FindQueue(host, path string) (q *pb.Queue, rest string, version uint64) {
	return d.routes.Load().find(host, path)
}

// Configured reports whether a configuration is in force.
func (d *Dispatcher) Configured() bool { return d.routes.Load().version > 0 }

// Limits returns the limits of callers' requests, nil before the first configuration.
func (d *Dispatcher) Limits() *pb.Limits { return d.routes.Load().limits }

// Entries returns the addresses of the entries known to be alive, including this one.
func (d *Dispatcher) Entries() []string { return d.peers.alive() }

// Drain notifies the other entries that this one shuts down after the given time. Jobs that
// can't complete by then are answered shortly before.
func (d *Dispatcher) Drain(timeout time.Duration) {
	d.peers.leave()
	d.decide(func(now time.Time) { d.core.Drain(now, now.Add(timeout-finalAnswerTime)) })
}

// finalAnswerTime is the time for the last answers to be sent before the process ends.
const finalAnswerTime = 100 * time.Millisecond

// AddEntries adds addresses of entries that were found by other means.
func (d *Dispatcher) AddEntries(addresses []string) { d.peers.addCandidates(addresses) }
