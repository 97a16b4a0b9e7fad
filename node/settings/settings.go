package settings

import (
	"log/slog"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Role says which process a file is for.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Formats of log lines.
const (
	LogJSON = "json"
	LogText = "text"
)

// Defaults and limits.
const (
	DefaultDrainTimeout = 30 * time.Second
	MinDrainTimeout     = time.Second
	MaxDrainTimeout     = 10 * time.Minute
	DefaultSlots        = 8
	MaxSlots            = 1024
	DefaultConnections  = 64
	MaxConnections      = 1 << 16
	MaxCores            = 4096
	MinMemoryBytes      = 64 << 20
	MaxMemoryBytes      = 64 << 40
)

// Entry is the settings of an entry.
type Entry struct {
	// Role is RoleEntry.
	Role Role `json:"role"`
	// Name is the process's name for people: time line, status, logs.
	Name string `json:"name"`
	// FailureDomain is the one the process runs in.
	FailureDomain string `json:"failure_domain"`

	// CallersListen, NodesListen and OperatorsListen are the "ip:port" each
	// port is bound to; port 0 lets the kernel choose one.
	CallersListen   string `json:"callers_listen"`
	NodesListen     string `json:"nodes_listen"`
	OperatorsListen string `json:"operators_listen"`
	// CallersAddress and NodesAddress are where others reach those ports.
	// Empty: the bound address.
	CallersAddress string `json:"callers_address"`
	NodesAddress   string `json:"nodes_address"`

	// StoreAddresses are those of the platform's key-value service.
	StoreAddresses []string `json:"store_addresses"`
	// Join are nodes' addresses of entries, or the balancer's in front of them,
	// asked for peers and contracts when the store is down at the start.
	Join []string `json:"join"`

	TLS EntryTLS `json:"tls"`

	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration `json:"drain_timeout"`
	LogLevel     slog.Level    `json:"log_level"`
	// LogFormat is LogJSON or LogText.
	LogFormat string `json:"log_format"`
	// Preset weighs response time against messages; the same on every process of
	// a site. See package preset.
	Preset string `json:"preset"`
}

// Agent is the settings of an agent.
type Agent struct {
	// Role is RoleAgent.
	Role Role `json:"role"`
	// Name is the process's name for people: time line, status, logs.
	Name string `json:"name"`
	// Worker is the machine that the endpoint runs on, Rack the rack that it
	// stands in, FailureDomain the one that both are in.
	Worker        string `json:"worker"`
	Rack          string `json:"rack"`
	FailureDomain string `json:"failure_domain"`

	// NodesListen and OperatorsListen are the "ip:port" each port is bound to;
	// port 0 lets the kernel choose one.
	NodesListen     string `json:"nodes_listen"`
	OperatorsListen string `json:"operators_listen"`
	// NodesAddress is where entries reach the nodes' port. Empty: the bound
	// address.
	NodesAddress string `json:"nodes_address"`

	// EndpointAddress is the endpoint's on this worker.
	EndpointAddress string `json:"endpoint_address"`
	// Join are nodes' addresses of entries, or the balancer's in front of them.
	Join []string `json:"join"`

	// Slots is how many tasks the endpoint runs at once, Connections how many
	// connections it takes.
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// Cores and MemoryBytes are what tasks may use of the worker.
	Cores       uint32 `json:"cores"`
	MemoryBytes uint64 `json:"memory_bytes"`

	TLS AgentTLS `json:"tls"`

	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration `json:"drain_timeout"`
	LogLevel     slog.Level    `json:"log_level"`
	// LogFormat is LogJSON or LogText.
	LogFormat string `json:"log_format"`
	// Preset weighs response time against messages; the same on every process of
	// a site. See package preset.
	Preset string `json:"preset"`
}

// EntryTLS holds the TLS files of an entry's ports. A port without files
// speaks plain TCP.
type EntryTLS struct {
	Callers   TLSFiles `json:"callers"`
	Nodes     TLSFiles `json:"nodes"`
	Operators TLSFiles `json:"operators"`
}

// AgentTLS holds the TLS files of an agent's ports. A port without files
// speaks plain TCP.
type AgentTLS struct {
	Nodes     TLSFiles `json:"nodes"`
	Operators TLSFiles `json:"operators"`
}

// DefaultEntry returns an entry's settings with every default filled in.
func DefaultEntry() Entry {
	return Entry{
		Role:         RoleEntry,
		DrainTimeout: DefaultDrainTimeout,
		LogLevel:     slog.LevelInfo,
		LogFormat:    LogJSON,
		Preset:       preset.NameResponse,
	}
}

// DefaultAgent returns an agent's settings with every default filled in.
func DefaultAgent() Agent {
	return Agent{
		Role:         RoleAgent,
		Slots:        DefaultSlots,
		Connections:  DefaultConnections,
		DrainTimeout: DefaultDrainTimeout,
		LogLevel:     slog.LevelInfo,
		LogFormat:    LogJSON,
		Preset:       preset.NameResponse,
	}
}
