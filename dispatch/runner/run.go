package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// phase is how far a run has progressed.
type phase uint8

const (
	queued   phase = iota
	starting       // the start was sent
	inDoubt        // the start was not answered
	running
	// fencing: the start was not answered and a stop was sent, which proves that the run never
	// begins, or ends it.
	fencing
	stopping
	// superseded: another incarnation has taken the worker's place, or the lease has expired. The run
	// may go on until its lease has expired, since the earlier incarnation's process may live, and if
	// it is unfenced, its start may still be carried out later.
	superseded
)

type run struct {
	task     string
	run      uint32
	payload  string
	size     size.Size
	priority uint32
	expected time.Duration

	entry   *entry // nil for a run of an earlier process
	order   uint64
	phase   phase
	callSeq uint64 // Runner.callSeq when the start or stop was answered

	arrived         time.Time
	waitUntil       time.Time
	deadline        time.Time // of the job; nobody waits for the result afterwards
	startBy         time.Time // to meet the job's latency objective
	late            bool      // admitted though expected to miss its objective
	sentAt          time.Time // when the start or stop was last sent
	sends           int       // of the start, including resends
	unansweredSends int       // sends of the start that had no answer
	startedAt       time.Time
	// estimatedTotal is the run time predicted from the progress so far; zero if not known yet.
	estimatedTotal time.Duration
	// nextStallReport is the elapsed run time at which the run may be reported as stalled
	// again.
	nextStallReport time.Duration
	wanted          bool // false once its entry has asked to stop it
	// unwantedSince is when the last frame was received whose entry wanted the run; set once it is
	// no longer wanted.
	unwantedSince time.Time
	listed        bool // the incarnation that it was started on has listed it
	stopAnswered  bool // the worker has answered a stop
	// stopAnsweredAt is when it first did.
	stopAnsweredAt time.Time
	orphaned       bool
	lostReason     string    // why a superseded run is lost
	leaseExpiresAt time.Time // when the lease of a superseded run has certainly expired
	// unfencedUntil is until when the unanswered start of a superseded run may be carried out, by the
	// worker's next incarnation or by the current one once it can be reached. Zero if it can't.
	unfencedUntil time.Time
}

func (x *run) unfenced() bool { return x.phase == superseded && !x.unfencedUntil.IsZero() }

// concernsWorker reports whether the run is, or may come to be, on the current incarnation.
func (x *run) concernsWorker() bool { return x.phase != superseded || x.unfenced() }

// lostAt returns when a superseded run is considered lost.
func (x *run) lostAt() time.Time {
	if x.unfencedUntil.After(x.leaseExpiresAt) {
		return x.unfencedUntil
	}
	return x.leaseExpiresAt
}

// lastWanted returns when its entry, which isn't nil, is last known to have wanted the run.
func (x *run) lastWanted() time.Time {
	if x.wanted {
		return x.entry.lastReceived
	}
	return x.unwantedSince
}

// maxRecentRuns bounds the remembered ends: some seconds of the shortest tasks.
const maxRecentRuns = 512

// endedRun is the latest run of a task that this agent has reported as ended.
type endedRun struct {
	run   uint32
	state pb.OrderState
	// pollsSent is how many polls had been sent by then.
	pollsSent uint64
}

// recordEnded records that a run of the task has been reported as ended.
func (r *Runner) recordEnded(x *run, state pb.OrderState) {
	if _, ok := r.recentRuns[x.task]; !ok {
		if len(r.recentTasks) >= maxRecentRuns {
			delete(r.recentRuns, r.recentTasks[0])
			r.recentTasks = r.recentTasks[1:]
		}
		r.recentTasks = append(r.recentTasks, x.task)
	}
	if x.run >= r.recentRuns[x.task].run {
		r.recentRuns[x.task] = endedRun{x.run, state, r.pollsSent}
	}
}

func (r *Runner) remove(x *run) {
	switch {
	case x.phase == queued:
		r.queue = slices.DeleteFunc(r.queue, func(y *run) bool { return y == x })
	case x.concernsWorker():
		r.used = r.used.Minus(x.size)
	}
	delete(r.runs, x.task)
	r.runList = slices.DeleteFunc(r.runList, func(y *run) bool { return y == x })
	r.markChanged()
}

// end removes a run and notifies its entry.
func (r *Runner) end(now time.Time, x *run, state pb.OrderState, reason string) {
	r.remove(x)
	if x.phase != queued {
		r.recordEnded(x, state)
	}
	elapsed := time.Duration(0)
	if !x.startedAt.IsZero() {
		elapsed = now.Sub(x.startedAt)
	}
	if x.entry != nil {
		x.entry.notify(&pb.OrderNews{Number: x.order, State: state, RunMs: uint32(elapsed.Milliseconds()), Reason: reason})
	}
	d := Decision{
		Event: "run_" + eventName(state), Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: reason, Elapsed: elapsed,
	}
	if state == pb.OrderState_ORDER_STATE_LOST {
		expires := r.leaseExpiresAt()
		if x.phase == superseded {
			expires = x.leaseExpiresAt
		}
		d.LeaseLeft = max(0, expires.Sub(now))
	}
	r.logDecision(now, d)
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

const (
	// startResendAfter is when an unanswered start is sent again, while its answer may still
	// arrive.
	startResendAfter = CallTimeout / 2
	// stopResendAfter is when an unanswered stop is sent again.
	stopResendAfter = 2 * CallTimeout
)

func (r *Runner) tickRun(now time.Time, x *run) {
	switch x.phase {
	case starting:
		if !now.Before(x.sentAt.Add(startResendAfter)) && r.mayResendStart(now, x) {
			r.sendStart(now, x)
		}
	case stopping, fencing:
		if !x.stopAnswered && !now.Before(x.sentAt.Add(stopResendAfter)) {
			r.sendStop(now, x)
		}
	case superseded:
		r.endIfLost(now, x)
	}
}
