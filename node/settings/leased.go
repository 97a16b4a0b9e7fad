package settings

import (
	"log/slog"
	"strings"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// Roles of processes for workers that run tasks under leases. The platform stores
// their configuration.
const (
	RoleLeasedEntry Role = "leased-entry"
	RoleLeasedAgent Role = "leased-agent"
)

// Bounds holds limits that the platform and its workers guarantee. A zero value
// means that no guarantee is known.
type Bounds struct {
	// ResendAfter is the minimum time before a caller that got no answer resubmits a
	// job.
	ResendAfter time.Duration `json:"resend"`
	// MaxLease is the maximum lease duration that a worker grants.
	MaxLease time.Duration `json:"max_lease"`
	// StopTime is the maximum time that a worker takes to stop a run.
	StopTime time.Duration `json:"stop"`
	// GracePeriod is the time between the signal of a planned shutdown and the kill.
	GracePeriod time.Duration `json:"grace"`
	// RemoteFactor is the ratio of a task's run time outside the rack of its data
	// to its run time within it.
	RemoteFactor float64 `json:"remote_factor"`
}

// LeasedEntry holds the settings of an entry for workers with leases.
type LeasedEntry struct {
	Role          Role   `json:"role"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// CallersListen, ReadyListen and NodesListen are the "ip:port" addresses to bind
	// for callers, for the readiness probes of the load balancer, and for agents
	// and other entries.
	CallersListen string `json:"callers_listen"`
	ReadyListen   string `json:"ready_listen"`
	NodesListen   string `json:"nodes_listen"`
	// NodesAddress is the "ip:port" advertised to agents and other entries. If
	// empty, NodesListen is advertised.
	NodesAddress string `json:"nodes_address"`
	// MetricsListen is the "ip:port" to bind for operators. If empty, there is no
	// such port.
	MetricsListen string `json:"metrics_listen"`
	// StoreAddress is the address of the platform's key-value store.
	StoreAddress string `json:"store_address"`
	// StoreValueBytes is the size of the largest value that the store accepts.
	StoreValueBytes uint32 `json:"store_value_bytes"`
	// Seeds are nodes addresses of entries; they may be out of date.
	Seeds  []string `json:"seeds"`
	Bounds Bounds   `json:"bounds"`
	// ProcessorShare is the fraction of a core that the process may use.
	ProcessorShare float64 `json:"processor_share"`
	MemoryMB       uint32  `json:"memory_mb"`
	// Descriptors is the number of descriptors that the process may open. Zero means the
	// operating system's limit.
	Descriptors uint32     `json:"descriptors"`
	LogLevel    slog.Level `json:"log_level"`
	// Disabled lists the disabled features; see package disabled. It is meant for
	// developers.
	Disabled []string `json:"without"`
}

// LeasedAgent holds the settings of an agent beside a worker with leases.
type LeasedAgent struct {
	Role          Role   `json:"role"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// ReportsListen is the "ip:port" to bind for the worker's reports.
	ReportsListen string `json:"reports_listen"`
	MetricsListen string `json:"metrics_listen"`
	// WorkerAddress is the address of the worker on this machine.
	WorkerAddress string `json:"worker_address"`
	// Connections is the number of connections that the worker accepts; if omitted,
	// a default is used.
	Connections  uint32   `json:"connections"`
	StoreAddress string   `json:"store_address"`
	Seeds        []string `json:"seeds"`
	Bounds       Bounds   `json:"bounds"`
	MemoryMB     uint32   `json:"memory_mb"`
	// Descriptors is as in LeasedEntry.
	Descriptors uint32     `json:"descriptors"`
	LogLevel    slog.Level `json:"log_level"`
	// Disabled is as in LeasedEntry.
	Disabled []string `json:"without"`
}

// Defaults and limits.
const (
	defaultGrace = 6 * time.Second
	// defaultLeasedConnections is enough for the concurrent calls to one worker.
	defaultLeasedConnections = 16
	maxBound                 = time.Hour
	defaultStoreValueBytes   = 1 << 20
	maxStoreValueBytes       = 64 << 20
)

// DefaultLeasedEntry returns an entry's default settings. Required settings are
// left empty.
func DefaultLeasedEntry() LeasedEntry {
	return LeasedEntry{Role: RoleLeasedEntry, StoreValueBytes: defaultStoreValueBytes, Bounds: Bounds{GracePeriod: defaultGrace}, LogLevel: slog.LevelInfo}
}

// DefaultLeasedAgent returns an agent's default settings. Required settings are
// left empty.
func DefaultLeasedAgent() LeasedAgent {
	return LeasedAgent{
		Role: RoleLeasedAgent, Connections: defaultLeasedConnections, Bounds: Bounds{GracePeriod: defaultGrace}, LogLevel: slog.LevelInfo,
	}
}

// AdvertisedAddress returns the address that is advertised to agents and other entries.
func (e *LeasedEntry) AdvertisedAddress() string {
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
	v.advertised("nodes_address", e.NodesAddress, e.NodesListen)
	v.optionalListen("metrics_listen", e.MetricsListen)
	v.address("store_address", e.StoreAddress)
	v.number("store_value_bytes", uint64(e.StoreValueBytes), 1, maxStoreValueBytes)
	v.addresses("seeds", e.Seeds, 0)
	v.bounds(e.Bounds)
	v.process(e.MemoryMB, e.Descriptors, "memory_mb")
	v.level("log_level", e.LogLevel)
	v.disabledFeatures("without", e.Disabled)
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
	v.process(a.MemoryMB, a.Descriptors, "memory_mb")
	v.level("log_level", a.LogLevel)
	v.disabledFeatures("without", a.Disabled)
	return join(v.problems)
}

func (v *validator) optionalListen(key, value string) {
	if value != "" {
		v.listen(key, value)
	}
}

// process checks what a process may use. Zero means that the file doesn't say.
func (v *validator) process(memoryMB, descriptors uint32, memoryKey string) {
	if memoryMB > 0 {
		v.number(memoryKey, uint64(memoryMB), MinProcessMemoryMB, MaxProcessMemoryMB)
	}
	if descriptors > 0 {
		v.number("descriptors", uint64(descriptors), MinDescriptors, MaxDescriptors)
	}
}

func (v *validator) disabledFeatures(key string, list []string) {
	if _, err := disabled.Parse(list); err != nil {
		v.addWrongValue(key, strings.Join(list, ", "), "any of "+strings.Join(disabled.Names(), ", "))
	}
}

func (v *validator) bounds(b Bounds) {
	v.duration("bounds.resend", b.ResendAfter, 0, maxBound)
	v.duration("bounds.max_lease", b.MaxLease, 0, maxBound)
	v.duration("bounds.stop", b.StopTime, 0, maxBound)
	v.duration("bounds.grace", b.GracePeriod, time.Second, maxBound)
	if b.RemoteFactor < 0 {
		v.addWrongValue("bounds.remote_factor", "negative", "zero or more")
	}
}
