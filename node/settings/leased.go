package settings

import (
	"log/slog"
	"strings"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// Roles of a process beside workers that run tasks under leases, on a platform
// that keeps the configuration.
const (
	RoleLeasedEntry Role = "leased-entry"
	RoleLeasedAgent Role = "leased-agent"
)

// Bounds are what the platform and its workers promise. Zero: not stated.
type Bounds struct {
	// Resend is the least time after which a caller without an answer sends a job
	// again.
	Resend time.Duration `json:"resend"`
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration `json:"max_lease"`
	// Stop is the longest time that a worker takes to end a run.
	Stop time.Duration `json:"stop"`
	// Grace is the time between a planned stop's signal and the kill.
	Grace time.Duration `json:"grace"`
	// RemoteFactor is how many times longer a task takes away from its data's rack.
	RemoteFactor float64 `json:"remote_factor"`
}

// LeasedEntry is the settings of an entry for workers with leases.
type LeasedEntry struct {
	Role          Role   `json:"role"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// CallersListen, ReadyListen and NodesListen are the "ip:port" that callers, the
	// balancer's question for readiness, and agents and other entries reach.
	CallersListen string `json:"callers_listen"`
	ReadyListen   string `json:"ready_listen"`
	NodesListen   string `json:"nodes_listen"`
	// NodesAddress is the "ip:port" that agents and other entries are told; empty:
	// NodesListen.
	NodesAddress string `json:"nodes_address"`
	// MetricsListen is for operators; empty: none.
	MetricsListen string `json:"metrics_listen"`
	// StoreAddress is that of the platform's key-value service.
	StoreAddress string `json:"store_address"`
	// Seeds are nodes' addresses of entries, which may be stale.
	Seeds  []string `json:"seeds"`
	Bounds Bounds   `json:"bounds"`
	// ProcessorShare is the part of a core that the process may use.
	ProcessorShare float64    `json:"processor_share"`
	MemoryMB       uint32     `json:"memory_mb"`
	LogLevel       slog.Level `json:"log_level"`
	// Without names mechanisms of the decisions that are switched off; see package
	// without. For developers.
	Without []string `json:"without"`
}

// LeasedAgent is the settings of an agent beside a worker with leases.
type LeasedAgent struct {
	Role          Role   `json:"role"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// ReportsListen is the "ip:port" at which the worker reports itself.
	ReportsListen string `json:"reports_listen"`
	MetricsListen string `json:"metrics_listen"`
	// WorkerAddress is the worker's on this machine.
	WorkerAddress string `json:"worker_address"`
	// Connections is how many the worker takes; zero: the default.
	Connections  uint32     `json:"connections"`
	StoreAddress string     `json:"store_address"`
	Seeds        []string   `json:"seeds"`
	Bounds       Bounds     `json:"bounds"`
	MemoryMB     uint32     `json:"memory_mb"`
	LogLevel     slog.Level `json:"log_level"`
	// Without is as in LeasedEntry.
	Without []string `json:"without"`
}

// Defaults of both.
const (
	defaultGrace = 6 * time.Second
	// defaultLeasedConnections serve the calls to a worker that overlap.
	defaultLeasedConnections = 16
	maxBound                 = time.Hour
)

// DefaultLeasedEntry returns the settings that a file need not have.
func DefaultLeasedEntry() LeasedEntry {
	return LeasedEntry{Role: RoleLeasedEntry, Bounds: Bounds{Grace: defaultGrace}, LogLevel: slog.LevelInfo}
}

// DefaultLeasedAgent returns the settings that a file need not have.
func DefaultLeasedAgent() LeasedAgent {
	return LeasedAgent{
		Role: RoleLeasedAgent, Connections: defaultLeasedConnections, Bounds: Bounds{Grace: defaultGrace}, LogLevel: slog.LevelInfo,
	}
}

// Address is what agents and other entries are told.
func (e *LeasedEntry) Address() string {
	if e.NodesAddress != "" {
		return e.NodesAddress
	}
	return e.NodesListen
}

func (e *LeasedEntry) validate(from source) error {
	v := validator{source: from}
	v.oneOf("role", string(e.Role), string(RoleLeasedEntry))
	v.name("name", e.Name)
	v.text("failure_domain", e.FailureDomain)
	v.listen("callers_listen", e.CallersListen)
	v.listen("ready_listen", e.ReadyListen)
	v.listen("nodes_listen", e.NodesListen)
	v.announced("nodes_address", e.NodesAddress, e.NodesListen)
	v.optionalListen("metrics_listen", e.MetricsListen)
	v.address("store_address", e.StoreAddress)
	v.addresses("seeds", e.Seeds, 0)
	v.bounds(e.Bounds)
	v.level("log_level", e.LogLevel)
	v.without("without", e.Without)
	return join(v.problems)
}

func (a *LeasedAgent) validate(from source) error {
	v := validator{source: from}
	v.oneOf("role", string(a.Role), string(RoleLeasedAgent))
	v.name("name", a.Name)
	v.text("failure_domain", a.FailureDomain)
	v.listen("reports_listen", a.ReportsListen)
	v.optionalListen("metrics_listen", a.MetricsListen)
	v.address("worker_address", a.WorkerAddress)
	v.number("connections", uint64(a.Connections), 1, MaxConnections)
	v.address("store_address", a.StoreAddress)
	v.addresses("seeds", a.Seeds, 0)
	v.bounds(a.Bounds)
	v.level("log_level", a.LogLevel)
	v.without("without", a.Without)
	return join(v.problems)
}

func (v *validator) optionalListen(key, value string) {
	if value != "" {
		v.listen(key, value)
	}
}

func (v *validator) without(key string, list []string) {
	if _, err := without.Parse(list); err != nil {
		v.wrong(key, strings.Join(list, ", "), "names of "+strings.Join(without.Names(), ", "))
	}
}

func (v *validator) bounds(b Bounds) {
	v.duration("bounds.resend", b.Resend, 0, maxBound)
	v.duration("bounds.max_lease", b.MaxLease, 0, maxBound)
	v.duration("bounds.stop", b.Stop, 0, maxBound)
	v.duration("bounds.grace", b.Grace, time.Second, maxBound)
	if b.RemoteFactor < 0 {
		v.wrong("bounds.remote_factor", "negative", "zero or more")
	}
}
