package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/evacuation"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Options configures a Runner.
type Options struct {
	Agent, Incarnation, FailureDomain string

	Timeouts bounds.Timeouts
	// Link holds the timeouts of links to entries.
	Link link.Options
	// Token is the first fencing token. A later process beside the same worker must use a
	// higher one, or raise it when the worker says so.
	Token uint64
	// Disabled is the set of disabled features, used to measure what each is worth.
	Disabled disabled.Set
	// Events receives events for the time line; nil records none.
	Events *event.Ring
	// OnDecision is called with each decision, for the log; it may be nil.
	OnDecision func(Decision)
}

// Runner is the state of one worker's runs.
type Runner struct {
	opts Options

	worker Worker
	known  bool
	// candidate is another incarnation that has reported while the current one didn't answer and has
	// runs; nil if there is none.
	candidate    *Worker
	polled       bool // this incarnation of the worker has answered a poll
	failedPolls  int  // consecutive polls without an answer
	unresponsive bool // so many of them that nothing may start
	endAnnounced bool // the worker has announced its end
	leaving      bool
	token        uint64

	clock          time.Duration // the worker's clock at clockAt
	clockAt        time.Time
	leaseRenewedAt time.Time // when a call that renews the lease was last sent
	polledAt       time.Time
	reportedAt     time.Time // when worker was last set from a report
	// answeredPollSent is when the latest answered poll was sent.
	answeredPollSent time.Time
	// lossyUntil is until when calls to the worker are expected to get lost.
	lossyUntil    time.Time
	lastEndNumber uint64
	callSeq       uint64 // orders polls and answered starts and stops
	pollsSent     uint64
	pollsBefore   uint64 // pollsSent when the current incarnation took its place

	runs    map[string]*run // by task
	runList []*run          // the same runs, oldest first
	queue   []*run          // waiting for free capacity
	used    size.Size

	// recentRuns holds the runs that ended lately, by task. Answers of two polls may overtake
	// each other, and the older one still lists runs that the newer one reported as ended.
	recentRuns  map[string]endedRun
	recentTasks []string

	entries     []*entry
	evacuations evacuation.View
	crashes     []crashRecord // of the last minute, oldest first
	earlierEnds []earlierEnd  // of the last minute, oldest first
	// suspects are the tasks whose runs had a lease that expired while the worker was out of reach.
	// If it turns out to have ended, it may have crashed under them.
	suspects []*pb.TaskCrash
	ready    Ready
}

// New returns a Runner without a worker.
func New(o Options) *Runner {
	if o.OnDecision == nil {
		o.OnDecision = func(Decision) {}
	}
	return &Runner{opts: o, token: o.Token, runs: make(map[string]*run), recentRuns: make(map[string]endedRun)}
}

// Drain stops taking orders. Runs in progress go on.
func (r *Runner) Drain(now time.Time) {
	r.leaving = true
	r.flushQueue(now)
	r.markChanged()
}

// Drained reports whether no order is queued or running, also on an earlier incarnation.
func (r *Runner) Drained() bool {
	return !slices.ContainsFunc(r.runList, func(x *run) bool { return !x.unfenced() })
}

// AllAcked reports whether the linked entries have acknowledged all updates. An entry that the
// result of a run doesn't reach has the task run again.
func (r *Runner) AllAcked() bool {
	return !slices.ContainsFunc(r.entries, func(e *entry) bool {
		return e.session.IsUp() && len(e.unsent)+len(e.unacked) > 0
	})
}

// Running returns the number of runs that are, or may be, on the current incarnation, apart from
// superseded ones.
func (r *Runner) Running() int {
	n := 0
	for _, x := range r.runList {
		if x.phase != queued && x.phase != superseded {
			n++
		}
	}
	return n
}

// Worker returns the current worker, if any.
func (r *Runner) Worker() (Worker, bool) { return r.worker, r.known }

func (r *Runner) logDecision(now time.Time, d Decision) {
	if !r.polledAt.IsZero() {
		d.PollAge = now.Sub(r.polledAt)
	}
	d.FreeCapacity = r.freeCapacity()
	r.opts.OnDecision(d)
}

// freeCapacity returns the capacity that no run takes.
func (r *Runner) freeCapacity() size.Size { return r.worker.Capacity.Minus(r.used) }

// markChanged has the state reported to all entries.
func (r *Runner) markChanged() {
	for _, e := range r.entries {
		e.stateChanged = true
	}
}

// flushQueue refuses all queued orders if nothing may start.
func (r *Runner) flushQueue(now time.Time) {
	if r.heldReason() == HeldNone {
		return
	}
	for _, x := range slices.Clone(r.queue) {
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	}
}

// Suspended records that the machine was suspended for a time since the last input. Its worker's clock,
// which the lease is kept by, has stood still.
func (r *Runner) Suspended(d time.Duration) {
	r.clockAt, r.leaseRenewedAt = r.clockAt.Add(d), r.leaseRenewedAt.Add(d)
	for _, x := range r.runList {
		x.leaseExpiresAt = x.leaseExpiresAt.Add(d)
	}
}

// Tick handles the passing of time.
func (r *Runner) Tick(now time.Time) {
	r.tickEntries(now)
	for _, x := range slices.Clone(r.queue) {
		// Ending one order may have started the next.
		if x.phase == queued && !now.Before(x.waitUntil) {
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaitTimeout)
		}
	}
	for _, x := range slices.Clone(r.runList) {
		r.tickRun(now, x)
	}
	if r.unresponsive && r.Running() > 0 && now.After(r.leaseExpiresAt()) {
		r.handleLeaseExpired(now)
	}
}

// handleLeaseExpired ends the runs of a worker that has been out of reach for longer than its lease
// lasts: it has crashed, or has ended them by itself.
func (r *Runner) handleLeaseExpired(now time.Time) {
	r.suspects = append(r.suspects, r.crashReports()...)
	r.loseRuns(now, unanswered, func(*run) string { return ReasonLeaseLapsed })
	if r.candidate != nil {
		r.handleSuperseded(now, "a new life of the worker reports")
	}
}

// Next returns when Tick is due; zero means not before the next input.
func (r *Runner) Next() time.Time {
	next := r.nextEntryEvent()
	for _, x := range r.runList {
		switch x.phase {
		case queued:
			next = link.Earlier(next, x.waitUntil)
		case starting:
			if r.mayResendStart(x.sentAt, x) {
				next = link.Earlier(next, x.sentAt.Add(startResendAfter))
			}
		case stopping, fencing:
			if !x.stopAnswered {
				next = link.Earlier(next, x.sentAt.Add(stopResendAfter))
			}
		case superseded:
			next = link.Earlier(next, x.lostAt())
		}
	}
	if r.unresponsive && r.Running() > 0 {
		next = link.Earlier(next, r.leaseExpiresAt().Add(time.Millisecond))
	}
	return next
}

// Ready returns what has to be carried out since the last call.
func (r *Runner) Ready(now time.Time) Ready {
	r.handleLeft(now)
	r.flush(now)
	r.closeRetired()
	out := r.ready
	r.ready = Ready{}
	return out
}
