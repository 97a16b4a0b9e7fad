package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/evacuation"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// Options configure a Runner.
type Options struct {
	Agent, Incarnation, FailureDomain string

	Times bounds.Times
	// Link are the times of links to entries.
	Link link.Options
	// Token is the first fencing token. A later process beside the same worker
	// must use a higher one, or raise it when the worker says so.
	Token uint64
	// Without are mechanisms that are switched off, to measure what they are worth.
	Without without.Set
	// Events takes what happens, for the time line; nil: none.
	Events *event.Ring
	// Decided is told of each decision, for the log; nil: nobody.
	Decided func(Decision)
}

// Runner is the state of one worker's runs.
type Runner struct {
	opts Options

	worker  Worker
	known   bool
	looked  bool // this life of the worker has answered a look
	missed  int  // looks without an answer since the last answer
	silent  bool // so many of them that nothing may start
	leaving bool
	token   uint64

	clock    time.Duration // the worker's, at clockAt
	clockAt  time.Time
	renewed  time.Time // when a call that renews the lease was last sent
	lookedAt time.Time
	// answeredLook is when the latest look that was answered was sent.
	answeredLook time.Time
	// lossyUntil is how long calls to the worker are taken to get lost.
	lossyUntil time.Time
	lastEnd    uint64
	number     uint64 // of looks and starts, to tell which came first

	runs  map[string]*run // by task
	order []*run          // the same, oldest first
	queue []*run          // waiting for room
	used  size.Size

	// recent holds ends taken note of lately. Answers of two looks may overtake each
	// other, and the older one still lists what the newer one has shown as ended.
	recent     map[string]uint32
	recentList []string

	entries     []*entry
	evacuations evacuation.View
	crashes     []crash // of the last minute, oldest first
	ready       Ready
}

// New returns a Runner that knows no worker.
func New(o Options) *Runner {
	if o.Decided == nil {
		o.Decided = func(Decision) {}
	}
	return &Runner{opts: o, token: o.Token, runs: make(map[string]*run), recent: make(map[string]uint32)}
}

// Leave stops taking orders. What runs goes on.
func (r *Runner) Leave(now time.Time) {
	r.leaving = true
	r.flushQueue(now)
	r.changed()
}

// Drained reports whether nothing waits or runs.
func (r *Runner) Drained() bool { return len(r.queue) == 0 && r.Running() == 0 }

// Running is the number of runs that are on the worker, or may be.
func (r *Runner) Running() int {
	n := 0
	for _, x := range r.order {
		if x.phase != queued && x.phase != unfenced {
			n++
		}
	}
	return n
}

// Worker returns the worker known, if any.
func (r *Runner) Worker() (Worker, bool) { return r.worker, r.known }

func (r *Runner) decided(now time.Time, d Decision) {
	if !r.lookedAt.IsZero() {
		d.Age = now.Sub(r.lookedAt)
	}
	d.Free = r.room()
	r.opts.Decided(d)
}

// room is what no run takes.
func (r *Runner) room() size.Size { return r.worker.Capacity.Minus(r.used) }

// changed marks the state to be told.
func (r *Runner) changed() {
	for _, e := range r.entries {
		e.stale = true
	}
}

// flushQueue refuses what waits, when nothing may start.
func (r *Runner) flushQueue(now time.Time) {
	if r.held() == HeldNone {
		return
	}
	for _, x := range slices.Clone(r.queue) {
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
	}
}

// Tick takes in the passing of time.
func (r *Runner) Tick(now time.Time) {
	r.tickEntries(now)
	for _, x := range slices.Clone(r.queue) {
		// The end of one may have started the next.
		if x.phase == queued && !now.Before(x.waitEnd) {
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaited)
		}
	}
	for _, x := range slices.Clone(r.order) {
		r.tickRun(now, x)
	}
	if r.silent && r.Running() > 0 && now.After(r.renewed.Add(bounds.Lapse(r.opts.Times.Lease)+bounds.Slack)) {
		// The worker has been out of reach for longer than its lease lasts, so it has
		// ended everything by itself.
		r.loseAll(now, unanswered, func(*run) string { return "the lease has lapsed" })
	}
}

// Next is when Tick is due; zero: not before the next input.
func (r *Runner) Next() time.Time {
	next := r.nextEntries()
	for _, x := range r.order {
		switch x.phase {
		case queued:
			next = link.Earlier(next, x.waitEnd)
		case starting:
			if r.maySendAgain(x.sentAt, x) {
				next = link.Earlier(next, x.sentAt.Add(startAgainAfter))
			}
		case stopping, fencing:
			if !x.stopped {
				next = link.Earlier(next, x.sentAt.Add(stopAgainAfter))
			}
		case unfenced:
			next = link.Earlier(next, x.fenceBy)
		}
	}
	if r.silent && r.Running() > 0 {
		next = link.Earlier(next, r.renewed.Add(bounds.Lapse(r.opts.Times.Lease)+bounds.Slack+time.Millisecond))
	}
	return next
}

// Ready returns what has to be done since the last call.
func (r *Runner) Ready(now time.Time) Ready {
	r.flush(now)
	r.closeRetired()
	out := r.ready
	r.ready = Ready{}
	return out
}
