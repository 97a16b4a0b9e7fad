package demo

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/bench"
	"github.com/papayahoist/papayahoist/cmd/internal/site"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

var namespace = errorx.NewNamespace("demo")

// Types of this package's errors.
var (
	// ErrStart means that the site could not be started or did not become ready.
	ErrStart = namespace.NewType("start")
	// ErrPromise means that a guarantee was violated.
	ErrPromise = namespace.NewType("promise_broken")
)

// Defaults of Options.
const (
	DefaultDuration = 8 * time.Second
	DefaultLoad     = 0.5
	DefaultSeed     = 1
)

const (
	drainTimeout = 5 * time.Second
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Options of a run.
type Options struct {
	// Duration is how long jobs arrive. Load is the offered task time over the
	// capacity of the slots. Seed determines the arrivals.
	Duration time.Duration
	Load     float64
	Seed     uint64
	// Faults kills and restarts an entry and an agent halfway through the run.
	Faults bool
	// Progress is called with a message for each stage of the run.
	Progress func(format string, args ...any)
	// Log receives the processes' log lines.
	Log io.Writer
}

// Demo is a running site.
type Demo struct {
	options Options
	profile bench.Profile
	site    *site.Site
}

// New starts a site of 3 entries and 11 agents with stand-in endpoints in 3 failure
// domains, and waits until it is ready. The caller must call Stop.
func New(ctx context.Context, options Options) (*Demo, error) {
	profile := mixedProfile()
	running, err := site.Start(site.Options{
		Entries: profile.Entries, Workers: profile.Workers, WorkersPerRack: profile.WorkersPerRack,
		FailureDomains: profile.FailureDomains, Slots: profile.Slots, Cores: profile.Cores,
		Connections: profile.Connections, MemoryBytes: profile.MemoryBytes,
		Contracts: contracts(profile), DrainTimeout: drainTimeout,
		Logger: slog.New(slog.NewTextHandler(options.Log, &slog.HandlerOptions{Level: slog.LevelWarn})),
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "site")
	}
	d := &Demo{options: options, profile: profile, site: running}
	if err := d.awaitReady(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// mixedProfile returns the profile of a site with the load of both users.
func mixedProfile() bench.Profile {
	profile := bench.Cadwaladr()
	profile.Name = "demo"
	profile.Streams = append(profile.Streams, bench.Hilvana().Streams...)
	for i := range profile.Streams {
		profile.Streams[i].Share /= 2
	}
	return profile
}

func contracts(profile bench.Profile) []*pb.Contract {
	var all []*pb.Contract
	for _, stream := range profile.Streams {
		all = append(all, stream.Contract)
	}
	return all
}

// Callers returns the base URLs of the entries' callers' ports.
func (d *Demo) Callers() []string { return d.site.CallerURLs() }

// Publish forwards a fixed address to the first entry's callers' port until the
// returned function is called.
func (d *Demo) Publish(address string) (end func(), err error) {
	relay, err := site.NewRelayAt(address, 0)
	if err != nil {
		return nil, ErrStart.Wrap(err, "address for callers")
	}
	relay.SetBackend(strings.TrimPrefix(d.Callers()[0], "http://"))
	return relay.Close, nil
}

// Store returns the base URL of the stand-in store, which holds the contracts.
func (d *Demo) Store() string { return "http://" + d.site.Store().Address() }

// Operators returns the address of the first entry's operators' port.
func (d *Demo) Operators() string { return d.site.Entries()[0].OperatorsAddress() }

// Stop drains and stops the site.
func (d *Demo) Stop() { d.site.Stop() }

// Run submits the load and reports its outcome.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	plan := d.profile.Plan(d.options.Seed, d.options.Load, d.options.Duration, "")
	d.options.Progress("%d jobs arrive over %s at %.0f%% load", len(plan), d.options.Duration, 100*d.options.Load)
	callers, err := newCallers(d.Callers())
	if err != nil {
		return nil, err
	}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		d.injectFaults(ctx)
	}()
	start := time.Now()
	records := callers.run(ctx, d.profile, plan)
	<-faults
	unknownContract := callers.submitUnknownContract(ctx)
	d.options.Progress("all answered after %s", time.Since(start).Round(time.Millisecond))
	return newReport(d.profile, outcome{
		records: records, unknownContract: unknownContract, starts: d.starts(), faults: d.options.Faults,
	}), nil
}

// injectFaults kills and restarts an entry and an agent while jobs are in flight.
func (d *Demo) injectFaults(ctx context.Context) {
	if !d.options.Faults {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.options.Duration / 2):
	}
	entry, agent := d.site.Entries()[1], d.site.Agents()[4]
	entry.Kill()
	agent.Kill()
	d.options.Progress("killed one entry and one agent; starting them again")
	for _, start := range []func() error{entry.Start, agent.Start} {
		if err := start(); err != nil {
			d.options.Progress("restart: %s", err)
		}
	}
}

// starts counts the starts of each task over all endpoints.
func (d *Demo) starts() map[task]int {
	total := make(map[task]int)
	for _, agent := range d.site.Agents() {
		for key, count := range agent.Worker().StartCounts() {
			// Endpoints identify a job by contract and ID.
			_, id := job.SplitName(key.Job)
			total[task{job: id, index: key.Index}] += count
		}
	}
	return total
}
