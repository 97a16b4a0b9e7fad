// Package agent drives the decisions of dispatch/agent beside one endpoint: it
// makes the agent known to entries, serves their links, and runs tasks.
package agent

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.agent")
	// ErrStart is given when an agent can't begin to serve.
	ErrStart = Errors.NewType("start")
	// ErrLink is given to an entry whose link is refused.
	ErrLink = Errors.NewType("link")
	// ErrLeaving makes an agent not ready that shuts down.
	ErrLeaving = Errors.NewType("leaving")
)

// Endpoint runs tasks. Run blocks until the task has ended, and reports the
// outcome: not run only when the endpoint has proven that it never began.
type Endpoint interface {
	Run(ctx context.Context, r agent.Run) *pb.TaskResult
	// Stop asks the endpoint to end a task early.
	Stop(ctx context.Context, ref agent.TaskRef) error
}

// Options configure an Agent.
type Options struct {
	// Hello names the agent; Address is filled in from the listener when empty.
	Hello *pb.AgentHello
	// Listen addresses, IP and port.
	NodesListen, OperatorsListen string
	// Join lists node addresses of entries, or of the balancer before them.
	Join     []string
	Endpoint Endpoint
	// OperatorsTLS is for the operators' port; nil: none.
	OperatorsTLS *tls.Config
	// Gatherer is what Metrics are registered with, for the operators' port.
	Gatherer prometheus.Gatherer
	// Version is shown to operators.
	Version string
	// NodesTLS is for both directions between our processes; nil: none.
	NodesTLS *tls.Config
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// Core sets the bounds of the decisions; its Hello is filled in here.
	Core agent.Options
	// Metrics are the agent's collectors; nil: counted nowhere.
	Metrics *metrics.Agent
	Logger  *slog.Logger
}

// DefaultDrainTimeout bounds a planned stop.
const DefaultDrainTimeout = 30 * time.Second

// Agent is one agent process.
type Agent struct {
	opts  Options
	log   *slog.Logger
	nodes net.Listener
	admin net.Listener

	ctx    context.Context // of tasks and announcements
	cancel context.CancelFunc

	started time.Time
	leaving atomic.Bool

	mu      sync.Mutex // guards what follows, and serializes the core
	core    *agent.Agent
	links   map[string]*entryLink // by entry incarnation
	running map[agent.TaskRef]context.CancelFunc
	known   map[string]string // entry address to incarnation; empty: not met
	timer   *rpc.Timer
}

// New binds the agent's ports, so that its addresses are known before it runs.
func New(opts Options) (*Agent, error) {
	opts.DrainTimeout = cmp.Or(opts.DrainTimeout, DefaultDrainTimeout)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewAgent(prometheus.NewRegistry(), metrics.Options{Role: "agent"})
	}
	nodes, err := net.Listen("tcp", opts.NodesListen)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on %s", opts.NodesListen)
	}
	var admin net.Listener
	if opts.OperatorsListen != "" {
		if admin, err = net.Listen("tcp", opts.OperatorsListen); err != nil {
			_ = nodes.Close()
			return nil, ErrStart.Wrap(err, "listen on %s", opts.OperatorsListen)
		}
	}
	opts.Hello.Address = cmp.Or(opts.Hello.Address, nodes.Addr().String())
	if opts.Hello.OperatorAddress == "" && admin != nil {
		opts.Hello.OperatorAddress = admin.Addr().String()
	}
	opts.Core.Hello = opts.Hello
	a := &Agent{
		started: time.Now(),
		opts:    opts, log: opts.Logger, nodes: nodes, admin: admin, core: agent.New(opts.Core),
		links:   make(map[string]*entryLink),
		running: make(map[agent.TaskRef]context.CancelFunc),
		known:   make(map[string]string),
	}
	for _, j := range opts.Join {
		a.known[j] = ""
	}
	a.timer = rpc.NewTimer(a.tick)
	opts.Metrics.SetState(a.metricsState)
	a.recordProcess(event.ProcessStarted, opts.Version)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a, nil
}

// NodesAddress is where entries open links.
func (a *Agent) NodesAddress() string { return a.opts.Hello.Address }

// ListenAddress is where the nodes port is bound, also when another address
// is announced.
func (a *Agent) ListenAddress() string { return a.nodes.Addr().String() }

// OperatorsAddress is where operators are served; empty without that port.
func (a *Agent) OperatorsAddress() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Addr().String()
}

// Run serves until the context ends, then drains: the entries are told, no new
// work is taken, and the end comes when the last result is acknowledged or
// DrainTimeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	servers := []*http.Server{rpc.NewServer(a.nodesHandler(), a.opts.NodesTLS)}
	listeners := []net.Listener{a.nodes}
	if a.admin != nil {
		servers = append(servers, rpc.NewServer(a.operatorsHandler(), a.opts.OperatorsTLS))
		listeners = append(listeners, a.admin)
	}
	go a.announceLoop()
	a.log.Info("serving", "nodes", a.NodesAddress())
	err := rpc.ServeUntil(ctx, servers, listeners)
	if err == nil {
		a.drain()
	}
	a.stop()
	for _, s := range servers {
		_ = s.Close()
	}
	a.log.Info("stopped")
	if err != nil {
		return ErrStart.Wrap(err, "serve")
	}
	return nil
}

func (a *Agent) drain() {
	a.log.Info("draining", "limit", a.opts.DrainTimeout)
	a.leaving.Store(true)
	a.decide(a.core.Leave)
	if !rpc.Drain(a.opts.DrainTimeout, a.drained) {
		a.recordProcess(event.DrainEnded, "at the limit, with work left")
		a.log.Warn("drain limit reached")
		return
	}
	a.recordProcess(event.DrainEnded, "every result is acknowledged")
	a.log.Info("drained")
}

func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Drained()
}

func (a *Agent) stop() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer.Stop()
	for _, l := range a.links {
		l.end()
	}
}

// Kill ends the agent at once, as a crash would: for tests and load tools.
func (a *Agent) Kill() {
	_ = a.nodes.Close()
	if a.admin != nil {
		_ = a.admin.Close()
	}
	a.stop()
}

// decide runs one input of the core and carries out what it asks for. The input
// must not block.
func (a *Agent) decide(input func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	input(now)
	ready := a.core.Ready(now)
	for _, r := range ready.Run {
		ctx, cancel := context.WithDeadline(a.ctx, r.Deadline)
		a.running[r.TaskRef] = cancel
		go a.run(ctx, r)
	}
	for _, ref := range ready.Stop {
		go a.stopTask(ref)
	}
	for _, o := range ready.Frames {
		if l := a.links[o.Entry]; l != nil && l.epoch == o.Epoch {
			l.out.Put(o.Frame)
			a.opts.Metrics.Message(metrics.AgentFrameKind(o.Frame), metrics.Sent, proto.Size(o.Frame))
		}
	}
	for _, entry := range ready.Relink {
		if l := a.links[entry]; l != nil {
			l.end()
		}
		go a.relink(entry)
	}
	a.timer.Set(now, a.core.Next())
}

func (a *Agent) tick() { a.decide(a.core.Tick) }

func (a *Agent) run(ctx context.Context, r agent.Run) {
	res := a.opts.Endpoint.Run(ctx, r)
	if res.Outcome == pb.Outcome_OUTCOME_UNKNOWN && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The task was started, and its time is over: that much is known.
		res.Outcome, res.Error = pb.Outcome_OUTCOME_FAILED, "the deadline has passed"
		a.stopTask(r.TaskRef)
	}
	a.countEnd(res)
	a.decide(func(now time.Time) {
		if cancel := a.running[r.TaskRef]; cancel != nil {
			cancel()
			delete(a.running, r.TaskRef)
		}
		a.core.TaskEnded(now, r.TaskRef, res)
	})
}

// stopTimeout bounds the request to stop a task.
const stopTimeout = 2 * time.Second

func (a *Agent) stopTask(ref agent.TaskRef) {
	ctx, cancel := context.WithTimeout(a.ctx, stopTimeout)
	defer cancel()
	if err := a.opts.Endpoint.Stop(ctx, ref); err != nil {
		a.log.Debug("stop refused", "job", ref.Job, "task", ref.Task, "err", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if end := a.running[ref]; end != nil {
		end()
	}
}
