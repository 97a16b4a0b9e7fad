// Package entry does the I/O for the state machine in dispatch/entry: it serves
// callers, agents and other entries, maintains the links to agents, and carries
// out the actions that the state machine returns.
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
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/platform/retry"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.entry")
	// ErrStart is returned when an entry can't start serving.
	ErrStart = Errors.NewType("start")
	// ErrLeaving is the readiness error of an entry that is shutting down.
	ErrLeaving = Errors.NewType("leaving")
)

// Options configure an Entry.
type Options struct {
	// Hello identifies the entry. An empty Address or OperatorAddress is set from
	// its listener.
	Hello *pb.EntryHello
	// Listen addresses, each an IP and a port.
	CallersListen, NodesListen, OperatorsListen string
	// LeaseClock returns the time by which the announcement in the store is judged. It
	// must count the time during which the machine is suspended. Default clock.Now.
	LeaseClock func() time.Time
	// Contract returns the contract in force, or nil. It must not block.
	Contract func(name string) *pb.Contract
	// Peers returns the live entries. It must not block.
	Peers func() []*pb.Peer
	// FindPeer returns the entry with the given incarnation if it may be reachable,
	// otherwise nil. It must not block. If it is nil, Peers are searched.
	FindPeer func(incarnation string) *pb.Peer
	// HandleExchange handles another entry's state and returns this entry's. If it is
	// nil, the call is not served.
	HandleExchange func(*pb.PeerState) *pb.PeerState
	// ExchangeNow starts an exchange with every other entry. It must not block. If
	// it is nil, only the periodic exchanges take place.
	ExchangeNow func()
	// Ready returns why the entry can't serve yet, or nil if it can. If it is nil,
	// the entry is ready as soon as it runs.
	Ready func() error
	// Contracts returns the contracts in force, for the operators' status. It must
	// not block. If it is nil, the status lists the contracts that callers have used.
	Contracts func() []*pb.Contract
	// ConfigRevision returns the revision up to which every change of a contract is
	// known. It must not block. If it is nil, the status shows the highest revision
	// of the contracts in force.
	ConfigRevision func() uint64
	// StoreError returns why the platform's store is unavailable, or an empty string
	// if it is available. It must not block. If it is nil, the store counts as
	// available.
	StoreError func() string
	// OperatorsTLS secures the operators' port; nil means no TLS.
	OperatorsTLS *tls.Config
	// Gatherer is the registry of Metrics, served on the operators' port.
	Gatherer prometheus.Gatherer
	// Version is shown to operators.
	Version string
	// NodesTLS secures connections from and to agents and other entries; nil means
	// no TLS.
	NodesTLS *tls.Config
	// CallersTLS secures the callers' port; nil means no TLS.
	CallersTLS *tls.Config
	// Limiter limits the connections of the ports to the numbers below, and what their requests
	// hold. If it is nil, there is no limit.
	Limiter                            *connlimit.Limiter
	MaxCallers, MaxNodes, MaxOperators int
	// DrainTimeout limits the drain of a planned stop. Zero means
	// DefaultDrainTimeout.
	DrainTimeout time.Duration
	// Core configures the state machine. New sets its Hello, Started, Random and
	// Contract.
	Core entry.Options
	// Metrics are the entry's collectors. If it is nil, the metrics are discarded.
	Metrics *metrics.Entry
	Logger  *slog.Logger
}

// DefaultDrainTimeout is the default of Options.DrainTimeout.
const DefaultDrainTimeout = 30 * time.Second

// Entry is one entry process.
type Entry struct {
	opts      Options
	log       *slog.Logger
	callers   net.Listener
	nodes     net.Listener
	operators net.Listener
	ctx       context.Context // of the links; cancelled when Run ends
	cancel    context.CancelFunc
	killed    atomic.Bool

	clients        *rpc.ClientCache // for other entries
	forwardRetries *retry.Policy
	leaving        atomic.Bool

	mu             sync.Mutex // guards the fields below and serializes calls to core
	core           *entry.Entry
	links          map[string]*agentLink        // by agent name
	waiters        map[string][]chan *pb.Answer // by job.Name
	sharesReceived map[string]uint64            // clock of the last state received with shares, by entry incarnation
	advertised     []string                     // entries last advertised to agents
	timer          *rpc.Timer

	shares      *pb.ShareState    // as last reported to other entries
	sharesClock uint64            // clock of the first state with these shares
	sharesAcked map[string]uint64 // clock of the last state whose shares an entry has acknowledged, by its incarnation
}

// New returns an entry that listens on its ports but serves nothing until Run is
// called. Its addresses are known from then on.
func New(opts Options) (*Entry, error) {
	opts.DrainTimeout = cmp.Or(opts.DrainTimeout, DefaultDrainTimeout)
	if opts.LeaseClock == nil {
		opts.LeaseClock = clock.Now
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewEntry(prometheus.NewRegistry(), metrics.Options{Role: "entry"})
	}
	e := &Entry{
		opts: opts, log: opts.Logger,
		clients: rpc.NewClientCache(opts.NodesTLS), forwardRetries: newForwardRetries(),
		links:   make(map[string]*agentLink),
		waiters: make(map[string][]chan *pb.Answer),
	}
	for _, l := range []struct {
		to      *net.Listener
		address string
		buffers connlimit.Buffers
	}{
		{&e.callers, opts.CallersListen, connlimit.LargeBuffers},
		{&e.nodes, opts.NodesListen, connlimit.NodeBuffers},
		{&e.operators, opts.OperatorsListen, connlimit.NodeBuffers},
	} {
		if l.address == "" {
			continue
		}
		ln, err := connlimit.Listen(l.address, l.buffers)
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

// CallersAddress returns the listen address for callers.
func (e *Entry) CallersAddress() string { return e.callers.Addr().String() }

// NodesAddress returns the announced address for agents and other entries.
func (e *Entry) NodesAddress() string { return e.opts.Hello.Address }

// ListenAddress returns the listen address for agents and other entries, which may
// differ from the announced one.
func (e *Entry) ListenAddress() string { return e.nodes.Addr().String() }

// OperatorsAddress returns the listen address for operators, or an empty string if
// the entry has no operators' port.
func (e *Entry) OperatorsAddress() string {
	if e.operators == nil {
		return ""
	}
	return e.operators.Addr().String()
}

// Links returns the number of agents with an open link.
func (e *Entry) Links() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Links()
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.nodes, e.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until the context ends, then drains: it admits no new jobs and returns
// once every job is answered or DrainTimeout has passed.
func (e *Entry) Run(ctx context.Context) error {
	servers := []*http.Server{
		rpc.NewServer(e.callersHandler(), e.opts.CallersTLS),
		rpc.NewServer(e.nodesHandler(), e.opts.NodesTLS),
	}
	l := e.opts.Limiter
	listeners := []net.Listener{
		l.Limit(connlimit.Port{Name: "callers", MaxConns: e.opts.MaxCallers, Buffers: connlimit.LargeBuffers, Refuse: refuseRequest}, e.callers, servers[0]),
		l.Limit(connlimit.Port{Name: "nodes", MaxConns: e.opts.MaxNodes, Buffers: connlimit.NodeBuffers, Internal: true}, e.nodes, servers[1]),
	}
	if e.operators != nil {
		servers = append(servers, rpc.NewServer(e.operatorsHandler(), e.opts.OperatorsTLS))
		listeners = append(listeners, l.Limit(connlimit.Port{Name: "operators", MaxConns: e.opts.MaxOperators, Buffers: connlimit.NodeBuffers, Internal: true}, e.operators, servers[2]))
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
	shutdownTimeout = 2 * time.Second
	// exitFrameDelay is the time for the frames that notify agents of the exit to be
	// sent before the links close.
	exitFrameDelay = 50 * time.Millisecond
)

func (e *Entry) drain() {
	e.log.Info("draining", "limit", e.opts.DrainTimeout)
	e.leaving.Store(true)
	e.step(e.core.Leave)
	if !rpc.WaitDrained(e.opts.DrainTimeout, e.drained) {
		e.recordProcess(event.DrainEnded, "limit reached with jobs left")
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
	// Callers receive the answers produced during the drain before their
	// connections close.
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if !e.killed.Load() {
		e.step(e.core.NotifyExit)
		_ = servers[0].Shutdown(ctx)
		time.Sleep(exitFrameDelay)
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

// Kill stops the entry at once, as a crash would. It is for tests and load tools.
func (e *Entry) Kill() {
	e.killed.Store(true)
	e.cancel()
	e.closeListeners()
	e.mu.Lock()
	e.timer.Stop()
	e.mu.Unlock()
}

// step applies one input to the core and carries out the actions that the core
// returns. The input must not block.
func (e *Entry) step(input func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.core.KeyResolver().ExpireAnnouncement(e.opts.LeaseClock())
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

func (e *Entry) tick() { e.step(e.core.Tick) }

// addWaiter registers a waiter for a job's answer. It must be called within step.
// The channel is buffered for the one answer, so that sending it never blocks.
func (e *Entry) addWaiter(name string) chan *pb.Answer {
	waiter := make(chan *pb.Answer, 1)
	e.waiters[name] = append(e.waiters[name], waiter)
	return waiter
}

// removeWaiter removes a waiter registered with addWaiter.
func (e *Entry) removeWaiter(name string, w chan *pb.Answer) {
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
