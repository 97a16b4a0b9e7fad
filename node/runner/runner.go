// Package runner does the I/O for the state machine in package dispatch/runner: it
// attaches to entries, calls the worker and runs the timer.
package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Worker is the service on the same machine that runs tasks. All methods must be safe for
// concurrent use, and must not retry a call.
type Worker interface {
	Start(ctx context.Context, s runner.Start) (v runner.StartVerdict, clock time.Duration, why string)
	// Stop reports whether the worker has responded.
	Stop(ctx context.Context, s runner.Stop) (answered bool, clock time.Duration)
	Poll(ctx context.Context, l runner.Poll) (runner.PollAnswer, runner.PollVerdict)
}

// Options configure a Runner.
type Options struct {
	// Entries are the nodes' addresses of entries to start with. They may be out of date.
	Entries []string
	Worker  Worker
	Core    runner.Options
	// FindEntries, if not nil, looks up the addresses of entries while none is linked.
	FindEntries func(ctx context.Context) ([]string, error)
	// OnFrame, if not nil, is called with each frame queued for an entry.
	OnFrame func(*pb.WorkerFrame)
	Logger  *slog.Logger
}

const (
	// pollRetryDelay keeps failing polls from using up the processor. It rises to
	// maxPollRetryDelay, a fraction of a lease, while the worker refuses connections or another
	// incarnation answers: that costs no wait by itself and may last until the next report.
	pollRetryDelay    = 20 * time.Millisecond
	maxPollRetryDelay = 100 * time.Millisecond
	idlePollInterval  = 50 * time.Millisecond
)

// Runner is the agent beside one worker. It is safe for concurrent use.
type Runner struct {
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	entries *entries
	pollNow chan struct{}

	mu    sync.Mutex // guards the fields below and serializes calls of core
	core  *runner.Runner
	links map[string]*link // by entry incarnation
	timer *rpc.Timer
	stall stallMeter
}

// New returns a Runner. Run starts it.
func New(o Options) *Runner {
	if o.OnFrame == nil {
		o.OnFrame = func(*pb.WorkerFrame) {}
	}
	r := &Runner{
		opts: o, core: runner.New(o.Core), links: make(map[string]*link), pollNow: make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.timer = rpc.NewTimer(func() { r.decide(r.core.Tick) })
	r.entries = newEntries(r)
	return r
}

// Run links to entries and polls the worker until Close.
func (r *Runner) Run() {
	var wg sync.WaitGroup
	wg.Go(r.pollLoop)
	wg.Go(r.pollOnRequest)
	wg.Go(r.entries.run)
	wg.Wait()
}

// Close closes the links and cancels calls to the worker.
func (r *Runner) Close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer.Stop()
}

// HandleReport handles a worker's report of its own state. It returns false if the report is
// not from a worker in use.
func (r *Runner) HandleReport(w runner.Worker) (ok bool) {
	r.decide(func(now time.Time) { ok = r.core.HandleReport(now, w) })
	return ok
}

// RestoreWorker restores the worker's incarnation recorded by an earlier agent process.
func (r *Runner) RestoreWorker(w runner.Worker) {
	r.decide(func(now time.Time) { r.core.RestoreWorker(now, w) })
}

// HandleLeave handles a worker's notice that it ends.
func (r *Runner) HandleLeave(id string) {
	r.decide(func(now time.Time) { r.core.HandleLeave(now, id) })
}

// Drain makes the agent refuse new orders.
func (r *Runner) Drain() { r.decide(r.core.Drain) }

// Drained reports whether no runs are left and the linked entries know how all have ended.
func (r *Runner) Drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Drained() && r.core.AllAcked()
}

// decide applies one input to the core and executes the actions that the core returns.
func (r *Runner) decide(input func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if elapsed, suspended := r.stall.observe(now, clock.Monotonic()); elapsed > 0 {
		r.opts.Logger.Info("stalled", "elapsed_ms", elapsed.Milliseconds(), "suspended_ms", suspended.Milliseconds())
		r.core.Suspended(suspended)
	}
	input(now)
	ready := r.core.Ready(now)
	for _, s := range ready.Starts {
		go r.start(s)
	}
	for _, s := range ready.Stops {
		go r.stop(s)
	}
	if ready.Poll {
		select {
		case r.pollNow <- struct{}{}:
		default:
		}
	}
	for _, f := range ready.Frames {
		if l := r.links[f.Entry]; l != nil && l.epoch == f.Epoch {
			l.out.Put(f.Frame)
			r.opts.OnFrame(f.Frame)
		}
	}
	for _, entry := range append(ready.Reconnect, ready.Disconnect...) {
		if l := r.links[entry]; l != nil {
			l.end()
		}
	}
	r.timer.Set(now, r.core.Next())
}

func (r *Runner) start(s runner.Start) {
	ctx, cancel := context.WithTimeout(r.ctx, runner.CallTimeout)
	defer cancel()
	v, at, why := r.opts.Worker.Start(ctx, s)
	r.decide(func(now time.Time) { r.core.StartAnswered(now, s, v, at, why) })
}

func (r *Runner) stop(s runner.Stop) {
	ctx, cancel := context.WithTimeout(r.ctx, runner.CallTimeout)
	defer cancel()
	if answered, at := r.opts.Worker.Stop(ctx, s); answered {
		r.decide(func(now time.Time) { r.core.StopAnswered(now, s, at) })
	}
}

// pollLoop keeps one waiting poll pending at the worker, which renews the lease.
func (r *Runner) pollLoop() {
	delay := pollRetryDelay
	for r.ctx.Err() == nil {
		switch r.poll(true) {
		case runner.PollAnswered:
			delay = pollRetryDelay
		case runner.PollRefused, runner.PollMisdirected:
			r.pause(delay)
			delay = min(2*delay, maxPollRetryDelay)
		default:
			r.pause(pollRetryDelay)
		}
	}
}

// pollOnRequest performs an immediate poll whenever the core asks for one.
func (r *Runner) pollOnRequest() {
	for {
		select {
		case <-r.pollNow:
			r.poll(false)
		case <-r.ctx.Done():
			return
		}
	}
}

// poll polls the worker and returns by which verdict to pace the next poll. While no worker is known
// it only waits.
func (r *Runner) poll(waiting bool) runner.PollVerdict {
	var l runner.Poll
	var ok bool
	r.decide(func(now time.Time) { l, ok = r.core.NextPoll(now, waiting) })
	if !ok {
		r.pause(idlePollInterval)
		return runner.PollAnswered
	}
	ctx, cancel := context.WithTimeout(r.ctx, l.Wait+l.Slack)
	defer cancel()
	seen, v := r.opts.Worker.Poll(ctx, l)
	if r.ctx.Err() != nil {
		return v
	}
	paced := v
	if seen.Missing != "" {
		paced = runner.PollUnanswered // the next poll may wait for nothing, either
	}
	r.decide(func(now time.Time) {
		switch v {
		case runner.PollAnswered:
			r.core.PollAnswered(now, l, seen)
		case runner.PollFenced:
			r.core.PollFenced(now, l, seen.Clock)
		case runner.PollMisdirected:
			r.core.PollMisdirected(now, l)
		default:
			r.core.PollFailed(now, l, v == runner.PollRefused)
		}
	})
	return paced
}

func (r *Runner) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// newGreeting closes the earlier link to an entry in the core, and returns the first
// message of a new one.
func (r *Runner) newGreeting(incarnation string, epoch uint64) (g *pb.AgentGreeting) {
	r.decide(func(now time.Time) {
		r.core.CloseLink(now, incarnation)
		g = r.core.Greeting(epoch)
	})
	return g
}

// AddEntries adds addresses of entries that were found by other means.
func (r *Runner) AddEntries(addresses []string) { r.entries.addAddresses(addresses) }
