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
	// Core sets the decisions' bounds; the zero value is for production.
	Core coreagent.Options
	// Events is how many events the time line keeps; zero: the default.
	Events int
	// Registry gets the metrics; nil: one of its own.
	Registry *prometheus.Registry
	Version  string
	Logger   *slog.Logger
}

// Agent is a whole agent process.
type Agent struct {
	*agent.Agent
	tls agentTLS
	log *slog.Logger
}

// NewAgent puts an agent together and binds its ports. Errors are of type
// ErrStart.
func NewAgent(o AgentOptions) (*Agent, error) {
	if err := o.Settings.Validate(); err != nil {
		return nil, ErrStart.Wrap(err, "settings")
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	s, core := o.Settings, o.Core
	config, err := loadAgentTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	if p, ok := preset.ByName(s.Preset); ok {
		core.UsePreset(p)
	}
	core.Events = event.NewRing(event.Options{Process: s.Name, Worker: s.Worker, Size: o.Events})
	collectors := metrics.NewAgent(o.Registry, metrics.Options{Role: string(s.Role), Version: o.Version, Ring: core.Events})
	log := newLogger(o.Logger, s.Name, collectors.Process)
	made, err := agent.New(agent.Options{
		Hello: helloOf(s), NodesListen: s.NodesListen, OperatorsListen: s.OperatorsListen, Join: s.Join,
		Endpoint: agent.HTTPEndpoint{
			Client: endpoint.New(s.EndpointAddress, endpoint.Options{Connections: int(s.Connections)}),
		},
		NodesTLS: config.nodes.Config(), OperatorsTLS: config.operators.Config(),
		DrainTimeout: s.DrainTimeout, Core: core, Version: o.Version,
		Metrics:  collectors,
		Gatherer: o.Registry, Logger: log,
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "agent %s", s.Name)
	}
	return &Agent{Agent: made, tls: config, log: log}, nil
}

func helloOf(s settings.Agent) *pb.AgentHello {
	return &pb.AgentHello{
		Agent: s.Name, Incarnation: entry.NewIncarnation(), Address: s.NodesAddress,
		Worker: s.Worker, Rack: s.Rack, FailureDomain: s.FailureDomain,
		Slots: s.Slots, Cores: s.Cores, MemoryBytes: s.MemoryBytes,
	}
}

// Run serves until the context ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	kept, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go a.tls.watch(kept, a.log)
	if err := a.Agent.Run(ctx); err != nil {
		return ErrServe.Wrap(err, "agent")
	}
	return nil
}
