package settings

import (
	"log/slog"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Role is the kind of process that a settings file configures.
type Role string

// Roles of processes for bare endpoints.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Log formats.
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

	DefaultProcessMemoryMB = 256
	MinProcessMemoryMB     = 32
	MaxProcessMemoryMB     = 1 << 20
	MinDescriptors         = 64
	MaxDescriptors         = 1 << 20
)

// Entry holds the settings of an entry.
type Entry struct {
	// Role is RoleEntry.
	Role Role `json:"role"`
	// Name identifies the process to operators, in time lines, status and logs.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the process runs in.
	FailureDomain string `json:"failure_domain"`

	// CallersListen, NodesListen and OperatorsListen are the "ip:port" addresses
	// to bind; with port 0 the kernel chooses a port.
	CallersListen   string `json:"callers_listen"`
	NodesListen     string `json:"nodes_listen"`
	OperatorsListen string `json:"operators_listen"`
	// CallersAddress and NodesAddress are the addresses advertised for these
	// ports. If empty, the bound address is advertised.
	CallersAddress string `json:"callers_address"`
	NodesAddress   string `json:"nodes_address"`

	// StoreAddresses are the addresses of the platform's key-value store.
	StoreAddresses []string `json:"store_addresses"`
	// Join lists the nodes addresses of other entries, or of a load balancer in
	// front of them. Peers and contracts are requested there if the store is
	// unavailable at startup.
	Join []string `json:"join"`

	TLS EntryTLS `json:"tls"`

	// ProcessMemoryMB is the memory that the process may use, in MiB, and Descriptors the number
	// of descriptors that it may open; zero means the operating system's limit.
	ProcessMemoryMB uint32 `json:"process_memory_mb"`
	Descriptors     uint32 `json:"descriptors"`

	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout"`
	LogLevel     slog.Level    `json:"log_level"`
	// LogFormat is LogJSON or LogText.
	LogFormat string `json:"log_format"`
	// Preset names the trade-off between response time and number of messages. It
	// must be the same for all processes of a site; see package preset.
	Preset string `json:"preset"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Role is RoleAgent.
	Role Role `json:"role"`
	// Name identifies the process to operators, in time lines, status and logs.
	Name string `json:"name"`
	// Worker is the machine that the endpoint runs on, Rack is the rack of that
	// machine, and FailureDomain is the failure domain of both.
	Worker        string `json:"worker"`
	Rack          string `json:"rack"`
	FailureDomain string `json:"failure_domain"`

	// NodesListen and OperatorsListen are the "ip:port" addresses to bind; with
	// port 0 the kernel chooses a port.
	NodesListen     string `json:"nodes_listen"`
	OperatorsListen string `json:"operators_listen"`
	// NodesAddress is the address advertised to entries. If empty, the bound
	// address is advertised.
	NodesAddress string `json:"nodes_address"`

	// EndpointAddress is the address of the endpoint on this worker.
	EndpointAddress string `json:"endpoint_address"`
	// Join lists the nodes addresses of entries, or of a load balancer in front of
	// them.
	Join []string `json:"join"`

	// Slots is the number of tasks that the endpoint runs concurrently, and
	// Connections the number of connections that it accepts.
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// Cores and MemoryBytes are the worker's resources available to tasks.
	Cores       uint32 `json:"cores"`
	MemoryBytes uint64 `json:"memory_bytes"`

	TLS AgentTLS `json:"tls"`

	// ProcessMemoryMB is the memory that the process may use, in MiB, and Descriptors the number
	// of descriptors that it may open; zero means the operating system's limit.
	ProcessMemoryMB uint32 `json:"process_memory_mb"`
	Descriptors     uint32 `json:"descriptors"`

	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout"`
	LogLevel     slog.Level    `json:"log_level"`
	// LogFormat is LogJSON or LogText.
	LogFormat string `json:"log_format"`
	// Preset names the trade-off between response time and number of messages. It
	// must be the same for all processes of a site; see package preset.
	Preset string `json:"preset"`
}

// EntryTLS holds the TLS files of an entry's ports. A port without files
// uses plain TCP.
type EntryTLS struct {
	Callers   TLSFiles `json:"callers"`
	Nodes     TLSFiles `json:"nodes"`
	Operators TLSFiles `json:"operators"`
}

// AgentTLS holds the TLS files of an agent's ports. A port without files
// uses plain TCP.
type AgentTLS struct {
	Nodes     TLSFiles `json:"nodes"`
	Operators TLSFiles `json:"operators"`
}

// DefaultEntry returns an entry's default settings. Required settings are left empty.
func DefaultEntry() Entry {
	return Entry{
		Role:            RoleEntry,
		ProcessMemoryMB: DefaultProcessMemoryMB,
		DrainTimeout:    DefaultDrainTimeout,
		LogLevel:        slog.LevelInfo,
		LogFormat:       LogJSON,
		Preset:          preset.NameResponse,
	}
}

// DefaultAgent returns an agent's default settings. Required settings are left empty.
func DefaultAgent() Agent {
	return Agent{
		Role:            RoleAgent,
		ProcessMemoryMB: DefaultProcessMemoryMB,
		Slots:           DefaultSlots,
		Connections:     DefaultConnections,
		DrainTimeout:    DefaultDrainTimeout,
		LogLevel:        slog.LevelInfo,
		LogFormat:       LogJSON,
		Preset:          preset.NameResponse,
	}
}
