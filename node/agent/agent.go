// Package agent does the I/O for the state machine in dispatch/agent, beside one
// endpoint: it announces the agent to entries, serves their links, and runs tasks.
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
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("node.agent")
	// ErrStart is returned when an agent can't start serving.
	ErrStart = Errors.NewType("start")
	// ErrLink is returned to an entry whose link has no valid opening frame.
	ErrLink = Errors.NewType("link")
	// ErrLeaving is the readiness error of an agent that is shutting down.
	ErrLeaving = Errors.NewType("leaving")
)

// Endpoint runs tasks. It must be safe for concurrent use.
type Endpoint interface {
	// Run runs a task, blocks until it has ended and returns its result. The outcome
	// is "not run" only if the endpoint has proven that the task never started.
	Run(ctx context.Context, r agent.Run) *pb.TaskResult
	// Stop asks the endpoint to end a task early.
	Stop(ctx context.Context, ref agent.TaskRef) error
}

// Options configure an Agent.
type Options struct {
	// Hello identifies the agent. An empty Address or OperatorAddress is set from
	// its listener.
	Hello *pb.AgentHello
	// Listen addresses, each an IP and a port.
	NodesListen, OperatorsListen string
	// Join lists node addresses of entries, or of a load balancer in front of them.
	Join     []string
	Endpoint Endpoint
	// OperatorsTLS secures the operators' port; nil means no TLS.
	OperatorsTLS *tls.Config
	// Gatherer is the registry of Metrics, served on the operators' port.
	Gatherer prometheus.Gatherer
	// Version is shown to operators.
	Version string
	// NodesTLS secures connections from and to entries; nil means no TLS.
	NodesTLS *tls.Config
	// Limiter limits the connections of the ports to the numbers below, and what their requests
	// hold. If it is nil, there is no limit.
	Limiter                *connlimit.Limiter
	MaxNodes, MaxOperators int
	// DrainTimeout limits the drain of a planned stop. Zero means
	// DefaultDrainTimeout.
	DrainTimeout time.Duration
	// Core configures the state machine. New sets its Hello.
	Core agent.Options
	// Metrics are the agent's collectors. If it is nil, the metrics are discarded.
	Metrics *metrics.Agent
	Logger  *slog.Logger
}

// DefaultDrainTimeout is the default of Options.DrainTimeout.
const DefaultDrainTimeout = 30 * time.Second

// Agent is one agent process.
type Agent struct {
	opts      Options
	log       *slog.Logger
	nodes     net.Listener
	operators net.Listener

	ctx    context.Context // of tasks and announcements; cancelled when Run ends
	cancel context.CancelFunc

	started time.Time
	leaving atomic.Bool

	mu      sync.Mutex // guards the fields below and serializes calls to core
	core    *agent.Agent
	links   map[string]*entryLink // by entry incarnation
	running map[agent.TaskRef]context.CancelFunc
	entries map[string]string // entry address to incarnation; empty if none is known
	timer   *rpc.Timer
}

// New returns an agent that listens on its ports but serves nothing until Run is
// called. Its addresses are known from then on.
func New(opts Options) (*Agent, error) {
	opts.DrainTimeout = cmp.Or(opts.DrainTimeout, DefaultDrainTimeout)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewAgent(prometheus.NewRegistry(), metrics.Options{Role: "agent"})
	}
	nodes, err := connlimit.Listen(opts.NodesListen, connlimit.NodeBuffers)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on %s", opts.NodesListen)
	}
	var operators net.Listener
	if opts.OperatorsListen != "" {
		if operators, err = connlimit.Listen(opts.OperatorsListen, connlimit.NodeBuffers); err != nil {
			_ = nodes.Close()
			return nil, ErrStart.Wrap(err, "listen on %s", opts.OperatorsListen)
		}
	}
	opts.Hello.Address = cmp.Or(opts.Hello.Address, nodes.Addr().String())
	if opts.Hello.OperatorAddress == "" && operators != nil {
		opts.Hello.OperatorAddress = operators.Addr().String()
	}
	opts.Core.Hello = opts.Hello
	a := &Agent{
		started: time.Now(),
		opts:    opts, log: opts.Logger, nodes: nodes, operators: operators, core: agent.New(opts.Core),
		links:   make(map[string]*entryLink),
		running: make(map[agent.TaskRef]context.CancelFunc),
		entries: make(map[string]string),
	}
	for _, j := range opts.Join {
		a.entries[j] = ""
	}
	a.timer = rpc.NewTimer(a.tick)
	opts.Metrics.SetState(a.metricsState)
	a.recordProcess(event.ProcessStarted, opts.Version)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a, nil
}

// NodesAddress returns the announced address at which entries open links.
func (a *Agent) NodesAddress() string { return a.opts.Hello.Address }

// ListenAddress returns the listen address for entries, which may differ from the
// announced one.
func (a *Agent) ListenAddress() string { return a.nodes.Addr().String() }

// OperatorsAddress returns the listen address for operators, or an empty string if
// the agent has no operators' port.
func (a *Agent) OperatorsAddress() string {
	if a.operators == nil {
		return ""
	}
	return a.operators.Addr().String()
}

// Run serves until the context ends, then drains: it notifies the entries, admits no
// new tasks, and returns once the last result is acknowledged or DrainTimeout has
// passed.
func (a *Agent) Run(ctx context.Context) error {
	servers := []*http.Server{rpc.NewServer(a.nodesHandler(), a.opts.NodesTLS)}
	l := a.opts.Limiter
	listeners := []net.Listener{l.Limit(connlimit.Port{Name: "nodes", MaxConns: a.opts.MaxNodes, Buffers: connlimit.NodeBuffers, Internal: true}, a.nodes, servers[0])}
	if a.operators != nil {
		servers = append(servers, rpc.NewServer(a.operatorsHandler(), a.opts.OperatorsTLS))
		listeners = append(listeners, l.Limit(connlimit.Port{Name: "operators", MaxConns: a.opts.MaxOperators, Buffers: connlimit.NodeBuffers, Internal: true}, a.operators, servers[1]))
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
	a.step(a.core.Leave)
	if !rpc.WaitDrained(a.opts.DrainTimeout, a.drained) {
		a.recordProcess(event.DrainEnded, "limit reached with work left")
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
		l.cancel()
	}
}

// Kill stops the agent at once, as a crash would. It is for tests and load tools.
func (a *Agent) Kill() {
	_ = a.nodes.Close()
	if a.operators != nil {
		_ = a.operators.Close()
	}
	a.stop()
}

// step applies one input to the core and carries out the actions that the core
// returns. The input must not block.
func (a *Agent) step(input func(now time.Time)) {
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
			a.opts.Metrics.CountMessage(metrics.AgentFrameKind(o.Frame), metrics.Sent, proto.Size(o.Frame))
		}
	}
	for _, entry := range ready.Reconnect {
		if l := a.links[entry]; l != nil {
			l.cancel()
		}
		go a.requestLink(entry)
	}
	a.timer.Set(now, a.core.Next())
}

func (a *Agent) tick() { a.step(a.core.Tick) }

func (a *Agent) run(ctx context.Context, r agent.Run) {
	res := a.opts.Endpoint.Run(ctx, r)
	if res.Outcome == pb.Outcome_OUTCOME_UNKNOWN && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The task has started and its deadline has passed, so it counts as failed.
		res.Outcome, res.Error = pb.Outcome_OUTCOME_FAILED, "the deadline has passed"
		a.stopTask(r.TaskRef)
	}
	a.countResult(res)
	a.step(func(now time.Time) {
		if cancel := a.running[r.TaskRef]; cancel != nil {
			cancel()
			delete(a.running, r.TaskRef)
		}
		a.core.TaskEnded(now, r.TaskRef, res)
	})
}

// stopTimeout limits a request to stop a task.
const stopTimeout = 2 * time.Second

func (a *Agent) stopTask(ref agent.TaskRef) {
	ctx, cancel := context.WithTimeout(a.ctx, stopTimeout)
	defer cancel()
	if err := a.opts.Endpoint.Stop(ctx, ref); err != nil {
		a.log.Debug("stop refused", "job", ref.Job, "task", ref.Task, "err", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancelRun := a.running[ref]; cancelRun != nil {
		cancelRun()
	}
}
