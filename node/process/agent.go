package process

import (
	"context"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	coreagent "github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/preset"
	"github.com/papayahoist/papayahoist/node/agent"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/endpoint"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	Settings settings.Agent
	// Core configures the state machine. The zero value is for production.
	Core coreagent.Options
	// EventCapacity is the number of events that the time line keeps. If zero, a default
	// applies.
	EventCapacity int
	// Registry is where metrics are registered. If nil, NewAgent creates one.
	Registry *prometheus.Registry
	Version  string
	Logger   *slog.Logger
}

// Agent is a complete agent process.
type Agent struct {
	*agent.Agent
	tls agentTLS
	log *slog.Logger
}

// NewAgent assembles an agent and binds its ports. Errors are of type ErrStart.
func NewAgent(o AgentOptions) (*Agent, error) {
	if err := o.Settings.Validate(); err != nil {
		return nil, ErrStart.Wrap(err, "invalid settings")
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	s, core := o.Settings, o.Core
	tlsFiles, err := loadAgentTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	if p, ok := preset.ByName(s.Preset); ok {
		core.ApplyPreset(p)
	}
	core.Events = event.NewRing(event.Options{Process: s.Name, Worker: s.Worker, Size: o.EventCapacity})
	collectors := metrics.NewAgent(o.Registry, metrics.Options{Role: string(s.Role), Version: o.Version, Ring: core.Events})
	log := newLogger(o.Logger, s.Name, collectors.Process)
	limits := newClientLimits(s.ProcessMemoryMB, s.Descriptors, log)
	o.Registry.MustRegister(limits)
	driver, err := agent.New(agent.Options{
		Hello: agentHello(s), NodesListen: s.NodesListen, OperatorsListen: s.OperatorsListen, Join: s.Join,
		Endpoint: agent.HTTPEndpoint{
			Client: endpoint.New(s.EndpointAddress, endpoint.Options{Connections: int(s.Connections)}),
		},
		NodesTLS: tlsFiles.nodes.Config(), OperatorsTLS: tlsFiles.operators.Config(),
		Limiter: limits.Limiter, MaxNodes: limits.conns(agentNodesFraction), MaxOperators: limits.conns(operatorsFraction),
		DrainTimeout: s.DrainTimeout, Core: core, Version: o.Version,
		Metrics:  collectors,
		Gatherer: o.Registry, Logger: log,
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "agent %s", s.Name)
	}
	return &Agent{Agent: driver, tls: tlsFiles, log: log}, nil
}

func agentHello(s settings.Agent) *pb.AgentHello {
	return &pb.AgentHello{
		Agent: s.Name, Incarnation: entry.NewIncarnation(), Address: s.NodesAddress,
		Worker: s.Worker, Rack: s.Rack, FailureDomain: s.FailureDomain,
		Slots: s.Slots, Cores: s.Cores, MemoryBytes: s.MemoryBytes,
	}
}

// Run serves until the context ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	bgCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go a.tls.watch(bgCtx, a.log)
	if err := a.Agent.Run(ctx); err != nil {
		return ErrServe.Wrap(err, "agent")
	}
	return nil
}
