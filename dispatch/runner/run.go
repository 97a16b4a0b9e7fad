package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

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

	arrived    time.Time
	waitEnd    time.Time
	limit      time.Time // when nobody waits for the result any more
	startBy    time.Time // to end within its job's objective
	late       bool      // its job was taken in though it ends later
	sentAt     time.Time // start or stop, for repeats
	sends      int       // of its start
	unanswered int       // of these
	began      time.Time
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
