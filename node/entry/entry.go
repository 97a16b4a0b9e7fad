// Package entry drives the decisions of dispatch/entry: it serves callers and
// nodes, keeps the links to agents, and carries out what is decided.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/platform/retry"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.entry")
	// ErrStart is given when an entry can't begin to serve.
	ErrStart = Errors.NewType("start")
	// ErrLeaving makes an entry not ready that shuts down.
	ErrLeaving = Errors.NewType("leaving")
)

// Options configure an Entry.
type Options struct {
	// Hello names the entry; Address is filled in from the listener when empty.
	Hello *pb.EntryHello
	// Listen addresses, IP and port.
	CallersListen, NodesListen, OperatorsListen string
	// Contract returns the contract in force; it must not block.
	Contract func(name string) *pb.Contract
	// Peers returns the living entries; it must not block.
	Peers func() []*pb.Peer
	// FindPeer returns the entry with an incarnation that may be reached, nil for
	// none; it must not block. Nil: Peers are searched.
	FindPeer func(incarnation string) *pb.Peer
	// Exchange answers another entry's exchange of state; nil: none is served.
	Exchange func(*pb.PeerState) *pb.PeerState
	// ExchangeNow begins an exchange with every other entry; it must not block.
	// Nil: there are only the regular ones.
	ExchangeNow func()
	// Ready returns why the entry can't serve yet, or nil; nil: it always can.
	Ready func() error
	// Contracts lists those in force, for operators; it must not block. Nil: those
	// that callers have used are listed.
	Contracts func() []*pb.Contract
	// ConfigRevision is up to which revision no change of a contract is missing; it
	// must not block. Nil: the highest of those in force is shown.
	ConfigRevision func() uint64
	// StoreError tells why the platform's store can't be used, empty if it can; it
	// must not block. Nil: never.
	StoreError func() string
	// OperatorsTLS is for the operators' port; nil: none.
	OperatorsTLS *tls.Config
	// Gatherer is what Metrics are registered with, for the operators' port.
	Gatherer prometheus.Gatherer
	// Version is shown to operators.
	Version string
	// NodesTLS is for both directions between our processes; nil: none.
	NodesTLS *tls.Config
	// CallersTLS is for the callers' port; nil: none.
	CallersTLS *tls.Config
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// Core sets the times of the decisions; its Hello, Started and Contract are
	// filled in here.
	Core entry.Options
	// Metrics are the entry's collectors; nil: counted nowhere.
	Metrics *metrics.Entry
	Logger  *slog.Logger
}

// DefaultDrainTimeout bounds a planned stop.
const DefaultDrainTimeout = 30 * time.Second

// Entry is one entry process.
type Entry struct {
	opts    Options
	log     *slog.Logger
	callers net.Listener
	nodes   net.Listener
	admin   net.Listener
	ctx     context.Context // of the links; ends when Run does
	cancel  context.CancelFunc
	killed  atomic.Bool

	clients        *rpc.Clients // for other entries
	forwardRetries *retry.Policy
	leaving        atomic.Bool

	mu      sync.Mutex // guards what follows, and serializes the core
	core    *entry.Entry
	links   map[string]*agentLink        // by agent name
	waiters map[string][]chan *pb.Answer // by job.Name
	heard   map[string]uint64            // clock of the last state with shares, by entry incarnation
	told    []string                     // the entries that agents were told of
	timer   *rpc.Timer

	shares      *pb.ShareState    // as last told, and since when they are so
	sharesAt    uint64            // clock
	sharesKnown map[string]uint64 // clock of the state whose shares another has
}

// New binds the entry's ports, so that its addresses are known before it runs.
func New(opts Options) (*Entry, error) {
	opts.DrainTimeout = cmp.Or(opts.DrainTimeout, DefaultDrainTimeout)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewEntry(prometheus.NewRegistry(), metrics.Options{Role: "entry"})
	}
	e := &Entry{
		opts: opts, log: opts.Logger,
		clients: rpc.NewClients(opts.NodesTLS), forwardRetries: newForwardRetries(),
		links:   make(map[string]*agentLink),
		waiters: make(map[string][]chan *pb.Answer),
	}
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{{&e.callers, opts.CallersListen}, {&e.nodes, opts.NodesListen}, {&e.admin, opts.OperatorsListen}} {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			e.closeListeners()
			return nil, ErrStart.Wrap(err, "listen on %s", l.address)
		}
		*l.to = ln
	}
	opts.Hello.Address = cmp.Or(opts.Hello.Address, e.nodes.Addr().String())
	opts.Hello.OperatorAddress = cmp.Or(opts.Hello.OperatorAddress, e.OperatorsAddress())
	e.opts.Core.Hello = opts.Hello
	e.opts.Core.Started = time.Now()
	e.opts.Core.Random = rand.Float64
	e.opts.Core.Contract = opts.Contract
	e.core = entry.New(e.opts.Core)
	e.timer = rpc.NewTimer(e.tick)
	opts.Metrics.SetState(e.metricsState)
	e.recordProcess(event.ProcessStarted, opts.Version)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e, nil
}

// CallersAddress is where callers are served.
func (e *Entry) CallersAddress() string { return e.callers.Addr().String() }

// NodesAddress is where agents and other entries are served.
func (e *Entry) NodesAddress() string { return e.opts.Hello.Address }

// ListenAddress is where the nodes port is bound, also when another address
// is announced.
func (e *Entry) ListenAddress() string { return e.nodes.Addr().String() }

// OperatorsAddress is where operators are served; empty without that port.
func (e *Entry) OperatorsAddress() string {
	if e.admin == nil {
		return ""
	}
	return e.admin.Addr().String()
}

// Links is the number of agents with an open link.
func (e *Entry) Links() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Links()
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.nodes, e.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until the context ends, then drains: no new jobs, and the end comes
// when every job has its answer or DrainTimeout has passed.
func (e *Entry) Run(ctx context.Context) error {
	servers := []*http.Server{
		rpc.NewServer(e.callersHandler(), e.opts.CallersTLS),
		rpc.NewServer(e.nodesHandler(), e.opts.NodesTLS),
	}
	listeners := []net.Listener{e.callers, e.nodes}
	if e.admin != nil {
		servers = append(servers, rpc.NewServer(e.operatorsHandler(), e.opts.OperatorsTLS))
		listeners = append(listeners, e.admin)
	}
	e.log.Info("serving", "callers", e.CallersAddress(), "nodes", e.NodesAddress())
	err := rpc.ServeUntil(ctx, servers, listeners)
	if err == nil {
		e.drain()
	}
	e.stop(servers)
	if err != nil {
		return ErrStart.Wrap(err, "serve")
	}
	return nil
}

const (
	closeGrace = 2 * time.Second
	// endGrace lets the frames that say goodbye leave before their links close.
	endGrace = 50 * time.Millisecond
)

func (e *Entry) drain() {
	e.log.Info("draining", "limit", e.opts.DrainTimeout)
	e.leaving.Store(true)
	e.decide(e.core.Leave)
	if !rpc.Drain(e.opts.DrainTimeout, e.drained) {
		e.recordProcess(event.DrainEnded, "at the limit, with jobs left")
		e.log.Warn("drain limit reached")
		return
	}
	e.recordProcess(event.DrainEnded, "every job has its answer")
	e.log.Info("drained")
}

func (e *Entry) drained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Drained()
}

func (e *Entry) stop(servers []*http.Server) {
	// Callers get the answers that drain has produced before connections close.
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	if !e.killed.Load() {
		e.decide(e.core.End)
		_ = servers[0].Shutdown(ctx)
		time.Sleep(endGrace)
	}
	e.cancel()
	e.mu.Lock()
	e.timer.Stop()
	e.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	e.log.Info("stopped")
}

// Kill ends the entry at once, as a crash would: for tests and load tools.
func (e *Entry) Kill() {
	e.killed.Store(true)
	e.cancel()
	e.closeListeners()
	e.mu.Lock()
	e.timer.Stop()
	e.mu.Unlock()
}

// decide runs one input of the core and carries out what it asks for. The input
// must not block.
func (e *Entry) decide(input func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	input(now)
	ready := e.core.Ready(now)
	for _, d := range ready.Dials {
		e.openLink(d)
	}
	for _, o := range ready.Frames {
		if l := e.links[o.Agent]; l != nil && l.epoch == o.Epoch {
			l.out.Put(o.Frame)
			e.countFrame(o.Frame, proto.Size(o.Frame))
		}
	}
	if ready.Exchange && e.opts.ExchangeNow != nil {
		e.opts.ExchangeNow()
	}
	for _, a := range ready.Answers {
		e.countAnswer(a)
		name := job.Name(a.Contract, a.Answer.Job)
		for _, w := range e.waiters[name] {
			w <- a.Answer
		}
		delete(e.waiters, name)
	}
	e.timer.Set(now, e.core.Next())
}

func (e *Entry) tick() { e.decide(e.core.Tick) }

// wait registers for a job's answer; call it within decide. The channel has room
// for the one answer, so that handing it over never blocks.
func (e *Entry) wait(name string) chan *pb.Answer {
	w := make(chan *pb.Answer, 1)
	e.waiters[name] = append(e.waiters[name], w)
	return w
}

// unwait gives up a registration.
func (e *Entry) unwait(name string, w chan *pb.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.waiters[name]
	for i, x := range list {
		if x == w {
			e.waiters[name] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(e.waiters[name]) == 0 {
		delete(e.waiters, name)
	}
}
