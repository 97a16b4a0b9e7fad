// Package runner drives the decisions of package dispatch/runner: it attaches to
// every entry, calls the worker, and keeps time.
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

// Worker is the service on the same machine that runs tasks. All methods may be
// called concurrently; none repeats a call by itself.
type Worker interface {
	Start(ctx context.Context, s runner.Start) (v runner.StartVerdict, clock time.Duration, why string)
	// Stop reports whether the worker has answered.
	Stop(ctx context.Context, s runner.Stop) (answered bool, clock time.Duration)
	Look(ctx context.Context, l runner.Look) (runner.Seen, runner.LookVerdict)
}

// Options configure a Runner.
type Options struct {
	// Entries are nodes' addresses of entries to begin with; they may be stale.
	Entries []string
	Worker  Worker
	Core    runner.Options
	// FindEntries asks elsewhere for entries when none answers; nil: nowhere.
	FindEntries func(ctx context.Context) ([]string, error)
	// OnFrame is told of each frame that goes to an entry; nil: nobody.
	OnFrame func(*pb.WorkerFrame)
	Logger  *slog.Logger
}

const (
	// lookAgainAfter keeps failing looks from taking the whole processor.
	lookAgainAfter = 20 * time.Millisecond
	idlePoll       = 50 * time.Millisecond
)

// Runner is the agent beside one worker.
type Runner struct {
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	entries *entries
	lookNow chan struct{}

	mu    sync.Mutex // guards what follows, and serializes the core
	core  *runner.Runner
	links map[string]*link // by entry incarnation
	timer *rpc.Timer
}

// New returns a Runner; Run starts it.
func New(o Options) *Runner {
	if o.OnFrame == nil {
		o.OnFrame = func(*pb.WorkerFrame) {}
	}
	r := &Runner{
		opts: o, core: runner.New(o.Core), links: make(map[string]*link), lookNow: make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.timer = rpc.NewTimer(func() { r.decide(r.core.Tick) })
	r.entries = newEntries(r)
	return r
}

// Run works until Close.
func (r *Runner) Run() {
	var wg sync.WaitGroup
	wg.Go(r.lookLoop)
	wg.Go(r.lookAtOnce)
	wg.Go(r.entries.run)
	wg.Wait()
}

// Close ends the links and the calls.
func (r *Runner) Close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer.Stop()
}

// Reported takes in what the worker says of itself. False: it names no worker that
// is used.
func (r *Runner) Reported(w runner.Worker) (ok bool) {
	r.decide(func(now time.Time) { ok = r.core.Reported(now, w) })
	return ok
}

// Recalled takes in the worker's life that an earlier process had on record.
func (r *Runner) Recalled(w runner.Worker) {
	r.decide(func(now time.Time) { r.core.Recalled(now, w) })
}

// Left takes in that a worker says it ends.
func (r *Runner) Left(id string) {
	r.decide(func(now time.Time) { r.core.Left(now, id) })
}

// Leave stops taking orders.
func (r *Runner) Leave() { r.decide(r.core.Leave) }

// Drained reports whether nothing runs.
func (r *Runner) Drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Drained()
}

// decide runs one input of the core and carries out what it asks for.
func (r *Runner) decide(input func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	input(now)
	ready := r.core.Ready(now)
	for _, s := range ready.Starts {
		go r.start(s)
	}
	for _, s := range ready.Stops {
		go r.stop(s)
	}
	if ready.Look {
		select {
		case r.lookNow <- struct{}{}:
		default:
		}
	}
	for _, f := range ready.Frames {
		if l := r.links[f.Entry]; l != nil && l.epoch == f.Epoch {
			l.out.Put(f.Frame)
			r.opts.OnFrame(f.Frame)
		}
	}
	for _, entry := range append(ready.Redial, ready.Closed...) {
		if l := r.links[entry]; l != nil {
			l.end()
		}
	}
	r.timer.Set(now, r.core.Next())
}

func (r *Runner) start(s runner.Start) {
	ctx, cancel := context.WithTimeout(r.ctx, runner.AnswerWithin)
	defer cancel()
	v, at, why := r.opts.Worker.Start(ctx, s)
	r.decide(func(now time.Time) { r.core.StartAnswered(now, s, v, at, why) })
}

func (r *Runner) stop(s runner.Stop) {
	ctx, cancel := context.WithTimeout(r.ctx, runner.AnswerWithin)
	defer cancel()
	if answered, at := r.opts.Worker.Stop(ctx, s); answered {
		r.decide(func(now time.Time) { r.core.StopAnswered(now, s, at) })
	}
}

// lookLoop keeps one look waiting at the worker, which renews the lease.
func (r *Runner) lookLoop() {
	for r.ctx.Err() == nil {
		if !r.look(true) {
			r.pause(lookAgainAfter)
		}
	}
}

// lookAtOnce makes looks that don't wait, when something has to be known now.
func (r *Runner) lookAtOnce() {
	for {
		select {
		case <-r.lookNow:
			r.look(false)
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Runner) look(waiting bool) (answered bool) {
	var l runner.Look
	var ok bool
	r.decide(func(now time.Time) { l, ok = r.core.NextLook(now, waiting) })
	if !ok {
		r.pause(idlePoll)
		return true
	}
	ctx, cancel := context.WithTimeout(r.ctx, l.Wait+l.Slack)
	defer cancel()
	seen, v := r.opts.Worker.Look(ctx, l)
	if r.ctx.Err() != nil {
		return false
	}
	r.decide(func(now time.Time) {
		switch v {
		case runner.LookAnswered:
			r.core.Looked(now, l, seen)
		case runner.LookFenced:
			r.core.LookFenced(now, l, seen.Clock)
		case runner.LookOtherLife:
			r.core.LookFailed(now, l, true)
		default:
			r.core.LookFailed(now, l, v == runner.LookRefused)
		}
	})
	return v == runner.LookAnswered
}

func (r *Runner) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// greeting opens a link to an entry.
func (r *Runner) greeting(incarnation string, epoch uint64) (g *pb.AgentGreeting) {
	r.decide(func(now time.Time) {
		r.core.Closing(now, incarnation)
		g = r.core.Greeting(epoch)
	})
	return g
}

// Learn takes in addresses of entries found elsewhere.
func (r *Runner) Learn(addresses []string) { r.entries.learn(addresses) }
