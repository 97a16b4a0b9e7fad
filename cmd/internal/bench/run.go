package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/site"
	"github.com/papayahoist/papayahoist/dispatch/place"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("bench")
	// ErrConfig is returned for a configuration that can't be run.
	ErrConfig = Errors.NewType("config")
	// ErrPromise is returned if a run has violated a guarantee.
	ErrPromise = Errors.NewType("promise")
)

// Config configures a run.
type Config struct {
	Profile  Profile
	Load     float64
	Duration time.Duration
	Seed     uint64
	Policy   string
	Faults   []Fault
	// Noisy is the contract that offers noisyFactor times its share; empty means none.
	Noisy string
	// Progress, if not nil, is called about once a second.
	Progress func(done time.Duration)
	Logger   *slog.Logger
}

// outcome is the outcome of one job, as seen by its caller.
type outcome struct {
	plan     *JobPlan
	id       string
	elapsed  time.Duration
	err      error
	complete bool // every result is present and belongs to its task
}

const (
	clientCount = 12
	// joinTimeout is the timeout for all agents to link to all entries before the load
	// starts.
	joinTimeout  = 10 * time.Second
	idleDuration = 3 * time.Second
	drainTimeout = 5 * time.Second
)

// Run executes one run and returns its report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Noisy != "" && !c.Profile.has(c.Noisy) {
		return nil, ErrConfig.New("noisy: profile %s has no contract %q", c.Profile.Name, c.Noisy)
	}
	if c.Load <= 0 || c.Duration <= 0 {
		return nil, ErrConfig.New("load and duration must be positive")
	}
	if c.Noisy != "" {
		c.Profile = c.Profile.limited(c.Noisy, c.Load)
	}
	s, err := startSite(c)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	r := &run{config: c, site: s, plan: c.Profile.Plan(c.Seed, c.Load, c.Duration, c.Noisy)}
	if err := r.connect(ctx); err != nil {
		return nil, err
	}
	r.measureIdle(ctx)
	r.load(ctx)
	return r.report(), nil
}

func startSite(c Config) (*site.Site, error) {
	p := c.Profile
	var contracts []*pb.Contract
	for _, s := range p.Streams {
		contracts = append(contracts, s.Contract)
	}
	o := site.Options{
		Entries: p.Entries, Workers: p.Workers, WorkersPerRack: p.WorkersPerRack, FailureDomains: p.FailureDomains,
		Slots: p.Slots, Cores: p.Cores, Connections: p.Connections, MemoryBytes: p.MemoryBytes,
		Delay: p.Delay, CallerDelay: p.CallerDelay, Contracts: contracts, DrainTimeout: drainTimeout, Logger: c.Logger,
	}
	if err := applyPolicy(c, &o); err != nil {
		return nil, err
	}
	s, err := site.Start(o)
	if err != nil {
		return nil, ErrConfig.Wrap(err, "start the site")
	}
	return s, nil
}

// Placement policies.
const (
	// PolicyCredits assigns tasks to agents that have granted a free slot.
	PolicyCredits = "credits"
	// PolicyDivided is PolicyCredits with each slot offered to one entry at a time.
	PolicyDivided = "divided"
	// The other policies assign a task to an agent when it arrives.
	PolicyRandom      = "random"
	PolicyTwoChoices  = "two-choices"
	PolicyLeastLoaded = "least-loaded"
)

// applyPolicy sets the placement policy of the entries and the preset of the
// profile. It returns ErrConfig for an unknown policy.
func applyPolicy(c Config, o *site.Options) error {
	var entries atomic.Uint64
	source := func() *rand.Rand { return rand.New(rand.NewPCG(c.Seed, entries.Add(1))) }
	switch c.Policy {
	case "", PolicyCredits:
	case PolicyDivided:
		o.AgentCore.Divided = true
	case PolicyRandom:
		o.EntryCore.NewPicker = func() place.Picker { return &place.Random{Rand: source()} }
	case PolicyTwoChoices:
		o.EntryCore.NewPicker = func() place.Picker { return &place.TwoChoices{Rand: source()} }
	case PolicyLeastLoaded:
		o.EntryCore.NewPicker = func() place.Picker { return place.LeastLoaded{} }
	default:
		return ErrConfig.New("policy %q: known are: %s, %s, %s, %s, %s", c.Policy, PolicyCredits, PolicyDivided, PolicyRandom, PolicyTwoChoices, PolicyLeastLoaded)
	}
	o.EntryCore.ApplyPreset(c.Profile.Preset)
	o.AgentCore.ApplyPreset(c.Profile.Preset)
	return nil
}

// run is one run in progress.
type run struct {
	config  Config
	site    *site.Site
	plan    []JobPlan
	clients []*client.Client

	before, after         site.Messages // around the load
	elapsed               time.Duration // from the first arrival to the last answer
	idleBefore, idleAfter site.Messages

	mu       sync.Mutex
	outcomes []outcome
}

// connect creates the clients, which prefer the entries in rotation as with a load
// balancer, and waits until every agent is linked to every entry.
func (r *run) connect(ctx context.Context) error {
	urls := r.site.CallerURLs()
	for i := range clientCount {
		first := i % len(urls)
		c, err := client.New(client.Options{Addresses: append(append([]string{}, urls[first:]...), urls[:first]...)})
		if err != nil {
			return ErrConfig.Wrap(err, "client")
		}
		r.clients = append(r.clients, c)
	}
	limit := time.Now().Add(joinTimeout)
	for !r.site.Linked() {
		if time.Now().After(limit) {
			return ErrConfig.New("not every agent is linked to every entry after %s", joinTimeout)
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return ErrConfig.Wrap(err, "interrupted")
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *run) measureIdle(ctx context.Context) {
	r.idleBefore = r.site.MessageCounts()
	_ = sleep(ctx, idleDuration)
	r.idleAfter = r.site.MessageCounts()
}

// load submits each job at its planned time and waits for the last answer.
func (r *run) load(ctx context.Context) {
	r.before = r.site.MessageCounts()
	var wg sync.WaitGroup
	start := time.Now()
	stopFaults := r.startFaults(ctx)
	for i := range r.plan {
		j := &r.plan[i]
		if sleep(ctx, time.Until(start.Add(j.At))) != nil {
			break
		}
		c := r.clients[i%len(r.clients)]
		wg.Go(func() { r.submit(ctx, c, i, j) })
		r.progress(i, j.At)
	}
	wg.Wait()
	r.elapsed = time.Since(start)
	stopFaults()
	r.after = r.site.MessageCounts()
}

func (r *run) progress(i int, at time.Duration) {
	if r.config.Progress == nil {
		return
	}
	if i == 0 || at/time.Second != r.plan[i-1].At/time.Second {
		r.config.Progress(at)
	}
}

func (r *run) submit(ctx context.Context, c *client.Client, number int, j *JobPlan) {
	stream := r.config.Profile.Streams[j.Stream]
	job := client.Job{Contract: stream.Contract.Name, Kind: stream.Kind, Timeout: stream.Timeout}
	for i, t := range j.Tasks {
		job.Tasks = append(job.Tasks, taskOf(t, echo(number, i)))
	}
	start := time.Now()
	answer, err := c.Submit(ctx, job)
	o := outcome{plan: j, elapsed: time.Since(start), err: err}
	if err == nil {
		o.id = answer.ID
		o.complete = isComplete(answer, number, len(j.Tasks))
	} else {
		o.id = client.JobOf(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// echo returns the expected result of a task. It is unique, so that the result of
// another job or task is detected.
func echo(job, task int) string { return fmt.Sprintf("%d/%d", job, task) }

func taskOf(t TaskPlan, echo string) jobs.Task {
	payload, err := json.Marshal(standin.Payload{
		RunMillis: uint32(t.Run / time.Millisecond), MemoryBytes: t.MemoryBytes, CPUMillis: t.CPUMillis, Echo: echo,
	})
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	return jobs.Task{
		Payload: payload, MemoryBytes: t.DeclaredMemory, CPUMillis: t.DeclaredCPUMilli,
		RunMillis: uint32(t.DeclaredRun / time.Millisecond),
	}
}

func isComplete(a *client.Answer, number, tasks int) bool {
	if len(a.Results) != tasks {
		return false
	}
	for i, res := range a.Results {
		if string(res.Body) != echo(number, i) {
			return false
		}
	}
	return true
}
