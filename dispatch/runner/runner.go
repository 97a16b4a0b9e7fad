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

const (
	// lookWhileRunning is the time between two looks at the worker while something
	// runs there: a renewal of the lease, and the progress of its tasks. A task
	// that stands still is noticed after one such look.
	lookWhileRunning = 50 * time.Millisecond
	// lookSlack is how much longer than its wait a look may take. A machine that is out of
	// processor for most of a tenth of a second answers the next one.
	lookSlack = 60 * time.Millisecond
	// lookWhileLossy and lossySlack take their places while calls get lost: an end is
	// heard of with the first look that isn't. They cost three looks for one.
	lookWhileLossy = 20 * time.Millisecond
	lossySlack     = 20 * time.Millisecond
	// lossyFor is how long after a call that was lost others are expected to be.
	lossyFor = 2 * time.Second
	// silentAfter is how many looks in a row that have no answer show that the worker is
	// out of reach: of calls that are lost one time in ten, three are one time in 1,000.
	silentAfter = 3
	// looksPerLease bounds the time between two looks at an idle worker: an order
	// that starts just after one look must have its lease renewed by the next.
	looksPerLease = 2
	// AnswerWithin is when a call to the worker on the same machine, which takes a
	// millisecond or two, is taken for lost. What is left unanswered is looked into,
	// so a short bound costs little where a longer one delays a task.
	AnswerWithin = 40 * time.Millisecond
	// stallFactor is how many times longer than expected a run must take, at its
	// pace so far, to be reported; estimates alone are off by half either way.
	stallFactor = 2.5
	// stallSlack keeps short runs, whose start takes a part of their time, from
	// counting as stalled.
	stallSlack = 30 * time.Millisecond
	// judgeAfter is when a run's progress says something: before, a task that has
	// only begun shows none.
	judgeAfter = 40 * time.Millisecond
	// surePercent is the progress at which rounding and delays change the time that
	// a run is taken to last by a tenth at most, and sureAfter when a run with less
	// has shown enough: it lasts three seconds or more.
	surePercent = 10
	sureAfter   = 300 * time.Millisecond
	// progressLag is how old a progress is when it is taken in, at most, but for a
	// processor that is held up.
	progressLag = 20 * time.Millisecond
)

// Reasons of refusals. Entries act on some of them.
const (
	// ReasonRoom: there is no room now.
	ReasonRoom = "no room"
	// ReasonWaited: no room came free in the time that the order could wait.
	ReasonWaited = "no room in time"
	// ReasonLate: the order arrived later than it may be started.
	ReasonLate = "order too late"
	// ReasonOldRun: the worker knows a run of the task with a higher number.
	ReasonOldRun = "run number too low"
	// ReasonDouble: a run of the task has not ended here.
	ReasonDouble = "task still runs here"
	// ReasonHeld: the worker takes nothing; see WorkerState.Held.
	ReasonHeld = "worker takes no orders"
	// ReasonUnanswered: the worker left the start unanswered, and it is fenced.
	ReasonUnanswered = "start unanswered"
	// ReasonWorker: the worker refused.
	ReasonWorker = "worker refused"
	// ReasonStopped: the entry stopped the order before it began.
	ReasonStopped = "stopped before it began"
)

// Reasons of lost runs. Entries act on the first.
const (
	// ReasonCrashed: the worker crashed soon after it was told to start the run.
	ReasonCrashed = "worker crashed at the start"
	// ReasonCrashedLater: the worker crashed while the run had gone on for a while.
	ReasonCrashedLater = "worker crashed"
)

// Reasons for which a worker takes no orders.
const (
	HeldNone      = ""
	HeldUnknown   = "no worker known"
	HeldDraining  = "worker is draining"
	HeldSilent    = "worker does not answer"
	HeldForeign   = "runs of an earlier process have not ended"
	HeldLeaving   = "agent is shutting down"
	HeldUnlooked  = "worker not looked at yet"
	HeldStatement = "worker states no capacity"
	// HeldRetiring: this agent closes its link to the entry.
	HeldRetiring = "agent is linked to other entries"
	// HeldEvacuated: operators have evacuated the failure domain.
	HeldEvacuated = "failure domain is evacuated"
)

// Decision is one decision for the log.
type Decision struct {
	Event  string
	Task   string
	Run    uint32
	Entry  string
	Order  uint64
	Reason string
	// Age of what the decision rests on: the last look at the worker.
	Age time.Duration
	// Elapsed is how long the run lasted.
	Elapsed time.Duration
	Free    size.Size
}

// Worker is what a worker reports about itself.
type Worker struct {
	Life
	Service  string
	Labels   []string
	Capacity size.Size
	Draining bool
	Cold     time.Duration
	Sequence uint64
}

// Start asks the driver to start a run.
type Start struct {
	Worker  Life
	Task    string
	Run     uint32
	Payload string
	// Until is on the worker's clock.
	Until time.Duration
	Token uint64
}

// Stop asks the driver to stop a run. Its answer must be reported.
type Stop struct {
	Worker Life
	Task   string
	Run    uint32
	Token  uint64
}

// Look asks the driver to renew the lease and to read what runs and what ended.
type Look struct {
	Worker Life
	// Until is on the worker's clock; zero renews nothing.
	Until time.Duration
	Token uint64
	// Seen is the number of the last end taken note of.
	Seen uint64
	// Wait is how long the worker may wait for an end before it answers, and Slack how
	// much longer the call may take.
	Wait, Slack time.Duration
	// number orders looks and starts.
	number uint64
	sent   time.Time
}

// Out is a frame for an entry.
type Out struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.WorkerFrame
}

// Ready is what the driver must carry out.
type Ready struct {
	Starts []Start
	Stops  []Stop
	// Look asks for a look at once, beside the one that may be waiting.
	Look   bool
	Frames []Out
	// Redial lists entries, by incarnation, whose link must be closed and opened
	// anew.
	Redial []string
	// Closed lists entries, by incarnation, whose link isn't used any more and must be
	// closed; see Retire.
	Closed []string
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

// maxRecent bounds the ends remembered: some seconds of the shortest tasks.
const maxRecent = 512

// remember keeps that a run of the task has ended.
func (r *Runner) remember(x *run) {
	if _, ok := r.recent[x.task]; !ok {
		if len(r.recentList) >= maxRecent {
			delete(r.recent, r.recentList[0])
			r.recentList = r.recentList[1:]
		}
		r.recentList = append(r.recentList, x.task)
	}
	r.recent[x.task] = max(x.run, r.recent[x.task])
}

// phase is how far a run has come.
type phase uint8

const (
	queued   phase = iota
	starting       // the start is sent
	doubtful       // the start was not answered
	running
	// fencing: the start was not answered and a stop is sent, which proves that
	// the run never begins, or ends it.
	fencing
	stopping
	// unfenced: the start was not answered, and nothing rules out yet that it is carried
	// out later: by the worker's next life, or by this one once it can be reached.
	unfenced
)

type run struct {
	task     string
	run      uint32
	payload  string
	size     size.Size
	priority uint32
	expected time.Duration

	entry  *entry // nil: of an earlier process, not ordered here
	order  uint64
	phase  phase
	number uint64 // of the look count when the start was answered

	arrived time.Time
	waitEnd time.Time
	limit   time.Time // when nobody waits for the result any more
	startBy time.Time // to end within its job's objective
	late    bool      // its job was taken in though it ends later
	sentAt  time.Time // start or stop, for repeats
	sends   int       // of its start
	failed  int       // sends that had no answer
	began   time.Time
	// total is how long the run lasts at its pace so far; zero: not known yet.
	total time.Duration
	// reportAt is how long the run must have lasted to be reported as stalled again.
	reportAt time.Duration
	wanted   bool // false: its entry has asked to stop it
	listed   bool // the life known has listed it
	stopped  bool // the worker has answered a stop
	foreign  bool
	lost     string    // why, of an unfenced run
	fenceBy  time.Time // when an unfenced run is taken for lost all the same
}

// New returns a Runner that knows no worker.
func New(o Options) *Runner {
	if o.Decided == nil {
		o.Decided = func(Decision) {}
	}
	return &Runner{opts: o, token: o.Token, runs: make(map[string]*run), recent: make(map[string]uint32)}
}

// held says why no order may start.
func (r *Runner) held() string {
	switch {
	case r.leaving:
		return HeldLeaving
	case r.Evacuated():
		return HeldEvacuated
	case !r.known:
		return HeldUnknown
	case r.worker.Draining:
		return HeldDraining
	case r.worker.Capacity.CPUMillis <= 0:
		return HeldStatement
	case r.silent:
		return HeldSilent
	case !r.looked:
		return HeldUnlooked
	}
	for _, x := range r.order {
		if x.foreign {
			return HeldForeign
		}
	}
	return HeldNone
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

// workerNow is the worker's clock, never ahead of it by more than a call takes.
func (r *Runner) workerNow(now time.Time) time.Duration { return r.clock + now.Sub(r.clockAt) }

// until is the end of a lease that is asked for now.
func (r *Runner) until(now time.Time) time.Duration { return r.workerNow(now) + r.opts.Times.Lease }

// heardClock takes in the worker's clock from any answer.
func (r *Runner) heardClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		r.clock, r.clockAt = clock, now
	}
}

func (r *Runner) forget(x *run) {
	if x.phase == queued {
		r.queue = slices.DeleteFunc(r.queue, func(y *run) bool { return y == x })
	} else {
		r.used = r.used.Minus(x.size)
	}
	delete(r.runs, x.task)
	r.order = slices.DeleteFunc(r.order, func(y *run) bool { return y == x })
	r.changed()
}

// end forgets a run and tells its entry.
func (r *Runner) end(now time.Time, x *run, state pb.OrderState, reason string) {
	r.forget(x)
	if x.phase != queued {
		r.remember(x)
	}
	elapsed := time.Duration(0)
	if !x.began.IsZero() {
		elapsed = now.Sub(x.began)
	}
	if x.entry != nil {
		x.entry.tell(&pb.OrderNews{Number: x.order, State: state, RunMs: uint32(elapsed.Milliseconds()), Reason: reason})
	}
	r.decided(now, Decision{
		Event: "run_" + eventName(state), Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: reason, Elapsed: elapsed,
	})
	r.startQueued(now)
}

func eventName(s pb.OrderState) string {
	switch s {
	case pb.OrderState_ORDER_STATE_REFUSED:
		return "refused"
	case pb.OrderState_ORDER_STATE_DONE:
		return "done"
	case pb.OrderState_ORDER_STATE_FAILED:
		return "failed"
	case pb.OrderState_ORDER_STATE_STOPPED:
		return "stopped"
	case pb.OrderState_ORDER_STATE_LOST:
		return "lost"
	}
	return "other"
}

func (x *run) entryName() string {
	if x.entry == nil {
		return ""
	}
	return x.entry.name
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

const (
	// startAgainAfter is when a start without an answer is sent again, while its answer may
	// still come.
	startAgainAfter = AnswerWithin / 2
	// stopAgainAfter is the same for a stop.
	stopAgainAfter = 2 * AnswerWithin
)

func (r *Runner) tickRun(now time.Time, x *run) {
	switch x.phase {
	case starting:
		if !now.Before(x.sentAt.Add(startAgainAfter)) && r.maySendAgain(now, x) {
			r.sendStart(now, x)
		}
	case stopping, fencing:
		if !x.stopped && !now.Before(x.sentAt.Add(stopAgainAfter)) {
			r.sendStop(now, x)
		}
	case unfenced:
		if !now.Before(x.fenceBy) {
			r.end(now, x, pb.OrderState_ORDER_STATE_LOST, x.lost)
		}
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
