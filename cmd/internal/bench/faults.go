package bench

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/site"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// Fault is something that goes wrong for a while during a run.
type Fault string

// Faults.
const (
	FaultKillAgent    Fault = "kill-agent"
	FaultKillEntry    Fault = "kill-entry"
	FaultStopAgent    Fault = "stop-agent"
	FaultStopEntry    Fault = "stop-entry"
	FaultSilentLinks  Fault = "silent-links"
	FaultSilentCaller Fault = "silent-callers"
	FaultCutDomain    Fault = "cut-domain"
	FaultBadWorker    Fault = "bad-worker"
	FaultSlowWorker   Fault = "slow-worker"
	FaultRefuse       Fault = "refusing-worker"
)

// AllFaults lists the faults in the order in which they come.
var AllFaults = []Fault{
	FaultKillAgent, FaultSilentLinks, FaultBadWorker, FaultKillEntry, FaultStopAgent,
	FaultCutDomain, FaultSilentCaller, FaultSlowWorker, FaultStopEntry, FaultRefuse,
}

// ParseFaults reads "none", "all" or a comma-separated list.
func ParseFaults(s string) ([]Fault, error) {
	switch s {
	case "", "none":
		return nil, nil
	case "all":
		return AllFaults, nil
	}
	var out []Fault
	for name := range strings.SplitSeq(s, ",") {
		f := Fault(strings.TrimSpace(name))
		if !slices.Contains(AllFaults, f) {
			return nil, ErrConfig.New("fault %q: known are none, all, %v", f, AllFaults)
		}
		out = append(out, f)
	}
	return out, nil
}

// faultLength is how long a fault lasts, and the pause after it.
const (
	faultLength = time.Second
	faultPause  = 500 * time.Millisecond
)

// startFaults lets the faults come one after another until stopped; the returned
// function ends them and waits for what was broken to be whole again.
func (r *run) startFaults(ctx context.Context) (stop func()) {
	if len(r.config.Faults) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; sleep(ctx, faultPause) == nil; i++ {
			heal := r.inject(r.config.Faults[i%len(r.config.Faults)], i)
			_ = sleep(ctx, faultLength)
			heal()
		}
	})
	return func() { cancel(); wg.Wait() }
}

// inject causes a fault at the n-th place and returns what ends it.
func (r *run) inject(f Fault, n int) (heal func()) {
	agents, entries := r.site.Agents(), r.site.Entries()
	a, e := agents[n%len(agents)], entries[n%len(entries)]
	switch f {
	case FaultKillAgent:
		a.Kill()
		return func() { r.restart(a.Start) }
	case FaultKillEntry:
		e.Kill()
		return func() { r.restart(e.Start) }
	case FaultStopAgent:
		a.Stop()
		return func() { r.restart(a.Start) }
	case FaultStopEntry:
		e.Stop()
		return func() { r.restart(e.Start) }
	case FaultSilentLinks:
		a.Relay().Blackhole()
		e.NodesRelay().Blackhole()
	case FaultSilentCaller:
		e.CallersRelay().Blackhole()
	case FaultCutDomain:
		return cutDomain(agents, r.config.Profile.WorkersPerRack)
	case FaultBadWorker:
		return workerFault(a, standin.Faults{FailAll: true})
	case FaultSlowWorker:
		return workerFault(a, standin.Faults{Slowdown: 4})
	case FaultRefuse:
		return workerFault(a, standin.Faults{RefuseAll: true})
	}
	return func() {}
}

func (r *run) restart(start func() error) {
	if err := start(); err != nil {
		r.config.Logger.Error("restart failed", "err", err)
	}
}

func cutDomain(agents []*site.Agent, n int) (heal func()) {
	n = min(n, len(agents))
	for _, a := range agents[:n] {
		a.Relay().Partition()
	}
	return func() {
		for _, a := range agents[:n] {
			a.Relay().Heal()
		}
	}
}

func workerFault(a *site.Agent, f standin.Faults) (heal func()) {
	a.Worker().SetFaults(f)
	return func() { a.Worker().SetFaults(standin.Faults{}) }
}
