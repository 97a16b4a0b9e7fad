// Package status summarizes the status of all entries on one screen: the alarms,
// the live processes, and the contracts' use against their limits.
package status

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
)

// Report holds the contents of one screen.
type Report struct {
	Time time.Time `json:"time"`
	// Interval is the time between the two samples from which the rates are
	// computed. It is zero if there was one sample; all rates are zero then.
	Interval time.Duration `json:"interval_ns"`
	// Alarms are conditions that need attention now, most severe first.
	Alarms    []string   `json:"alarms"`
	Entries   []Entry    `json:"entries"`
	Agents    Agents     `json:"agents"`
	Contracts []Contract `json:"contracts"`
}

// Entry is the status of one entry that answered.
type Entry struct {
	Name           string        `json:"name"`
	FailureDomain  string        `json:"failure_domain"`
	Version        string        `json:"version"`
	ConfigRevision uint64        `json:"config_revision"`
	Uptime         time.Duration `json:"uptime_ns"`
	Agents         int           `json:"agents"`
	Leaving        bool          `json:"leaving,omitempty"`
	StoreError     string        `json:"store_error,omitempty"`
}

// Agents holds totals over the agents that any entry knows.
type Agents struct {
	Known     int    `json:"known"`
	Linked    int    `json:"linked"`
	Leaving   int    `json:"leaving"`
	Suspended int    `json:"suspended"`
	Slots     uint32 `json:"slots"`
	Running   uint32 `json:"running"`
	// Memory of the workers, and the memory reserved by running tasks, in bytes.
	Memory   uint64 `json:"memory_bytes"`
	Reserved uint64 `json:"reserved_memory_bytes"`
}

// Contract holds the use of one contract over all entries.
type Contract struct {
	Name     string       `json:"name"`
	Class    string       `json:"class"`
	Revision uint64       `json:"revision"`
	Limits   *pb.Contract `json:"-"`
	// Starts per second, running and waiting tasks, and reserved memory in bytes,
	// each followed by its limit.
	StartsPerSecond  float64 `json:"starts_per_second"`
	Rate             float64 `json:"rate_limit"`
	Running          uint32  `json:"running"`
	Concurrency      uint32  `json:"concurrency_limit"`
	Waiting          uint32  `json:"waiting"`
	WaitingLimit     uint32  `json:"waiting_limit"`
	MemoryBytes      uint64  `json:"memory_bytes"`
	MemoryLimitBytes uint64  `json:"memory_limit_bytes"`
	// Jobs since the entries started.
	Offered uint64 `json:"offered"`
	Served  uint64 `json:"served"`
	// Tasks started since the entries started.
	Started uint64 `json:"started"`
	// Refused jobs by code: since the entries started, and per second in the
	// interval.
	Refused          map[string]uint64  `json:"refused,omitempty"`
	RefusedPerSecond map[string]float64 `json:"refused_per_second,omitempty"`
}

// Collect queries the fleet twice, with the given interval in between, and computes
// the rates from the difference. If the interval isn't positive, it queries once.
func Collect(ctx context.Context, o fleet.Options, interval time.Duration) (*Report, error) {
	begin := time.Now()
	first, err := fleet.Discover(ctx, o)
	if err != nil {
		return nil, err
	}
	if interval <= 0 {
		return newReport(first, unreachableAgents(ctx, first), first, 0, time.Now()), nil
	}
	select {
	case <-time.After(interval):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	elapsed := time.Since(begin)
	second, err := fleet.Discover(ctx, o)
	if err != nil {
		return nil, err
	}
	return newReport(second, unreachableAgents(ctx, second), first, elapsed, time.Now()), nil
}

// unreachableAgents queries each agent directly and returns those that don't answer.
// An entry's status may show a dead agent as linked for up to a heartbeat interval.
func unreachableAgents(ctx context.Context, f *fleet.Fleet) []fleet.Failure {
	var mu sync.Mutex
	var failures []fleet.Failure
	f.Each(ctx, func(ctx context.Context, p fleet.Process, c fleet.Client) {
		if p.Role != fleet.RoleAgent {
			return
		}
		if _, err := c.Status(ctx, connect.NewRequest(&pb.StatusRequest{})); err != nil {
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, fleet.Failure{Process: p, Err: err})
		}
	})
	slices.SortFunc(failures, func(a, b fleet.Failure) int {
		return fleet.CompareNames(a.Process.Name, b.Process.Name)
	})
	return failures
}

func newReport(now *fleet.Fleet, agentFailures []fleet.Failure, before *fleet.Fleet, interval time.Duration, at time.Time) *Report {
	r := &Report{Time: at, Interval: interval, Alarms: []string{}}
	r.addEntries(now.Statuses, at)
	r.addAgents(now.Statuses)
	r.addContracts(now.Statuses, before.Statuses, interval)
	r.addAlarms(now, agentFailures)
	return r
}

func (r *Report) addEntries(statuses []*pb.StatusResponse, at time.Time) {
	for _, s := range statuses {
		e := Entry{
			Name:           s.Process,
			FailureDomain:  s.FailureDomain,
			Version:        s.Version,
			ConfigRevision: s.ConfigRevision,
			Agents:         linkedAgents(s),
			Leaving:        s.Leaving,
			StoreError:     s.StoreError,
		}
		if s.StartedUnixMs > 0 {
			e.Uptime = at.Sub(time.UnixMilli(s.StartedUnixMs)).Truncate(time.Second)
		}
		r.Entries = append(r.Entries, e)
	}
}

func linkedAgents(s *pb.StatusResponse) int {
	n := 0
	for _, a := range s.Agents {
		if a.Linked {
			n++
		}
	}
	return n
}

// addAgents counts each agent once, preferring the status from an entry linked to it.
func (r *Report) addAgents(statuses []*pb.StatusResponse) {
	best := map[string]*pb.AgentStatus{}
	suspended := map[string]bool{}
	for _, s := range statuses {
		for _, a := range s.Agents {
			name := a.GetHello().GetAgent()
			if old, ok := best[name]; !ok || a.Linked && !old.Linked {
				best[name] = a
			}
			if a.Suspended != "" {
				suspended[name] = true
			}
		}
	}
	r.Agents.Known, r.Agents.Suspended = len(best), len(suspended)
	for _, a := range best {
		if a.Leaving {
			r.Agents.Leaving++
		}
		if !a.Linked {
			continue
		}
		r.Agents.Linked++
		r.Agents.Slots += a.Hello.Slots
		r.Agents.Memory += a.Hello.MemoryBytes
		r.Agents.Running += a.GetLoad().GetRunning()
		r.Agents.Reserved += a.GetLoad().GetReservedMemoryBytes()
	}
}

func (r *Report) addContracts(now, before []*pb.StatusResponse, interval time.Duration) {
	contracts := map[string]*Contract{}
	for _, s := range now {
		for _, c := range s.Contracts {
			add(contracts, c)
		}
	}
	earlier := map[string]*Contract{}
	for _, s := range before {
		for _, c := range s.Contracts {
			add(earlier, c)
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(contracts), fleet.CompareNames) {
		c := contracts[name]
		if old, ok := earlier[name]; ok && interval > 0 {
			c.setRates(old, interval)
		}
		r.Contracts = append(r.Contracts, *c)
	}
	slices.SortStableFunc(r.Contracts, func(a, b Contract) int { return int(a.Limits.GetClass()) - int(b.Limits.GetClass()) })
}

// add adds one entry's counters of a contract. The limits are those of the newest
// revision.
func add(contracts map[string]*Contract, s *pb.ContractStatus) {
	name := s.GetContract().GetName()
	c := contracts[name]
	if c == nil {
		c = &Contract{Name: name, Refused: map[string]uint64{}}
		contracts[name] = c
	}
	if c.Limits == nil || s.Contract.GetRevision() > c.Revision {
		c.setLimits(s.Contract)
	}
	c.Started += s.Started
	c.Running += s.Running
	c.Waiting += s.Waiting
	c.MemoryBytes += s.MemoryBytes
	c.Offered += s.Offered
	c.Served += s.Served
	for _, refused := range s.Refused {
		c.Refused[refused.Code] += refused.Count
	}
}

func (c *Contract) setLimits(limits *pb.Contract) {
	c.Limits = limits
	c.Class = className(limits.GetClass())
	c.Revision = limits.GetRevision()
	c.Rate = limits.GetRate()
	c.Concurrency = limits.GetConcurrency()
	c.WaitingLimit = limits.GetWaiting()
	c.MemoryLimitBytes = limits.GetMemoryBytes()
}

func className(c pb.Class) string {
	switch c {
	case pb.Class_CLASS_URGENT:
		return "urgent"
	case pb.Class_CLASS_NORMAL:
		return "normal"
	case pb.Class_CLASS_BULK:
		return "bulk"
	}
	return "unset"
}

// setRates computes the rates since an earlier sample. A counter that went down
// belongs to an entry that restarted in between; its rate is zero.
func (c *Contract) setRates(old *Contract, interval time.Duration) {
	if c.Started > old.Started {
		c.StartsPerSecond = float64(c.Started-old.Started) / interval.Seconds()
	}
	c.RefusedPerSecond = map[string]float64{}
	for code, count := range c.Refused {
		if count > old.Refused[code] {
			c.RefusedPerSecond[code] = float64(count-old.Refused[code]) / interval.Seconds()
		}
	}
}

// isIdle reports whether a contract has no running, waiting, starting or refused
// work.
func (c Contract) isIdle() bool {
	return c.Running == 0 && c.Waiting == 0 && c.StartsPerSecond == 0 && sum(c.RefusedPerSecond) == 0
}

// mostFrequentCode returns the most frequent refusal code of the interval, or since
// the start if nothing was refused in the interval.
func (c *Contract) mostFrequentCode() string {
	worst, most := "", 0.0
	for _, code := range slices.Sorted(maps.Keys(c.RefusedPerSecond)) {
		if c.RefusedPerSecond[code] > most {
			worst, most = code, c.RefusedPerSecond[code]
		}
	}
	if worst != "" {
		return worst
	}
	var total uint64
	for _, code := range slices.Sorted(maps.Keys(c.Refused)) {
		if c.Refused[code] > total {
			worst, total = code, c.Refused[code]
		}
	}
	return worst
}

func sum[V uint64 | float64](counts map[string]V) V {
	var total V
	for _, n := range counts {
		total += n
	}
	return total
}

func (r *Report) alarm(format string, args ...any) {
	r.Alarms = append(r.Alarms, fmt.Sprintf(format, args...))
}
