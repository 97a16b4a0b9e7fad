package runner

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Life names one life of a worker. A worker may start again under its identifier; it then
// knows nothing of before, and its clock and all its counts begin anew.
type Life struct {
	ID string
	// Born is when the life began, in Unix milliseconds; zero where workers don't state it
	// and have a new identifier in each life.
	Born int64
}

func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.Born, 10)
}

// relation of a life to the one known.
type relation uint8

const (
	same relation = iota
	earlier
	later
	// unrelated: nothing tells which of the two came first.
	unrelated
)

// relate compares a life that is named in a message with the one known.
func (r *Runner) relate(l Life) relation {
	k := r.worker.Life
	switch {
	case l == k:
		return same
	case k.Born == 0 && l.ID != k.ID, l.Born == k.Born:
		return unrelated
	case l.Born < k.Born:
		return earlier
	}
	return later
}

// knows reports whether a call was made to the life that is known now.
func (r *Runner) knows(l Life) bool { return r.known && l == r.worker.Life }

// Reported takes in what a worker says of itself. It returns false for a life that
// is not the one that answers, or one that was heard of before.
func (r *Runner) Reported(now time.Time, w Worker) bool {
	if w.Born == 0 && r.worker.Born > 0 {
		// This worker states when it was born, so the report isn't its own.
		return false
	}
	if r.known {
		switch r.relate(w.Life) {
		case same:
			return r.renew(now, w)
		case earlier:
			return false
		case unrelated:
			if r.looked && !r.silent {
				// A report that was held up, of a life that has ended: the one known answers.
				return false
			}
		}
		r.succeeded(now, "a new life of the worker reports")
	}
	r.meet(now, w, "reports")
	return true
}

// Recalled takes in the life of the worker that an earlier process beside it knew. It
// counts only while no report has come, and until the worker answers a look as that life
// nothing starts; another life's answer says that it is gone.
func (r *Runner) Recalled(now time.Time, w Worker) {
	if r.known {
		return
	}
	r.meet(now, w, "on record")
}

// renew takes in a later report of the life that is known.
func (r *Runner) renew(now time.Time, w Worker) bool {
	if w.Sequence < r.worker.Sequence {
		return false
	}
	before := r.worker
	r.worker = w
	if w.Draining != before.Draining {
		r.decided(now, Decision{Event: "worker_draining", Reason: r.held()})
	}
	if w.Capacity != before.Capacity {
		r.resized(now, before.Capacity)
	}
	r.flushQueue(now)
	r.changed()
	return true
}

// resized takes in that the worker's capacity has changed. What runs goes on; what waits
// and can't start in time any more goes back at once.
func (r *Runner) resized(now time.Time, before size.Size) {
	what := "grown"
	if !before.FitsIn(r.worker.Capacity) {
		what = "shrunk"
	}
	r.decided(now, Decision{Event: "worker_capacity", Reason: fmt.Sprintf("%s: %+v, was %+v", what, r.worker.Capacity, before)})
	for _, x := range slices.Clone(r.queue) {
		// The end of one may have started the next.
		if x.phase == queued && r.mustWait(x) && !r.mayWait(now, x) {
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonRoom)
		}
	}
	r.startQueued(now)
	r.tellAtOnce()
}

// tellAtOnce has every entry told of the state without waiting for its interval.
func (r *Runner) tellAtOnce() {
	for _, e := range r.entries {
		e.stale, e.reportedAt = true, time.Time{}
	}
}

// meet begins with a life of the worker.
func (r *Runner) meet(now time.Time, w Worker, how string) {
	reborn := w.Born > 0 && w.ID == r.worker.ID
	r.worker, r.known = w, true
	r.looked, r.missed, r.silent, r.lastEnd, r.clock = false, 0, false, 0, 0
	r.decided(now, Decision{Event: "worker_known", Reason: how + ": " + w.Life.String()})
	if reborn {
		r.fenceEarlierCalls()
	} else {
		// The identifier in late calls tells this life that they aren't for it.
		r.endUnfenced(now)
	}
	r.ready.Look = true
	r.changed()
}

// fenceEarlierCalls has a life refuse the calls that were made to an earlier one of the
// same identifier: from its first answer to a call with the higher token on. What it lists
// by then was started by such a call.
func (r *Runner) fenceEarlierCalls() {
	r.token++
	r.number++
	r.recent, r.recentList = make(map[string]uint32), nil
	for _, x := range r.order {
		if x.phase == unfenced {
			x.number = r.number
		}
	}
}

// answers reports whether the known life has answered a look. If another one has, that is
// the worker now: the call found it alive when the known one was thought to be.
func (r *Runner) answers(now time.Time, born int64) bool {
	if born == r.worker.Born {
		return true
	}
	r.succeeded(now, "another life of the worker answers")
	r.worker.Born = born
	return false
}

// Left takes in that a worker says it ends. The message names no life, so where lives
// share an identifier it counts only after the known one has said that it drains.
func (r *Runner) Left(now time.Time, id string) {
	if !r.known || r.worker.ID != id || r.worker.Born > 0 && !r.worker.Draining {
		return
	}
	r.gone(now, "the worker left", unanswered, func(*run) string { return "the worker left" })
}

// gone takes in that the known life has ended. Doubtful tells which runs a later one may
// still begin, or have begun; see inDoubt.
func (r *Runner) gone(now time.Time, how string, doubtful func(*run) bool, why func(*run) string) {
	if !r.known {
		return
	}
	r.decided(now, Decision{Event: "worker_gone", Reason: how})
	r.known, r.looked = false, false
	r.loseAll(now, doubtful, why)
	r.flushQueue(now)
	r.changed()
}

// loseAll takes in that nothing runs on the worker any more.
func (r *Runner) loseAll(now time.Time, doubtful func(*run) bool, why func(*run) string) {
	for _, x := range slices.Clone(r.order) {
		switch {
		case x.phase == queued || x.phase == unfenced:
		case r.inDoubt(x) && doubtful(x):
			r.leaveUnfenced(now, x, why(x))
		default:
			r.end(now, x, pb.OrderState_ORDER_STATE_LOST, why(x))
		}
	}
}

// inDoubt reports whether a start may be carried out after the life that it was sent to: a
// later one has the same identifier and a clock of its own, so that neither the life named in
// the call nor the end of its lease stops it.
func (r *Runner) inDoubt(x *run) bool {
	return r.worker.Born > 0 && !r.worker.Draining && !x.foreign
}

// unanswered reports whether no answer shows which life carried a start out, when none has
// followed yet.
func unanswered(x *run) bool { return x.phase == starting || x.phase == doubtful || x.phase == fencing }

// unlisted is the same when another life has followed, maybe unnoticed until now: that one
// may have answered.
func unlisted(x *run) bool { return unanswered(x) || !x.listed }

// unfencedFor is how long after it was sent a call may be carried out, with time to spare.
const unfencedFor = 30 * time.Second

func (r *Runner) leaveUnfenced(now time.Time, x *run, why string) {
	x.phase, x.lost, x.fenceBy = unfenced, why, now.Add(unfencedFor)
	r.number++
	x.number = r.number
	r.decided(now, Decision{Event: "run_unfenced", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: why})
}

// endUnfenced ends what was left unfenced, when nothing can carry it out any more.
func (r *Runner) endUnfenced(now time.Time) {
	for _, x := range slices.Clone(r.order) {
		if x.phase == unfenced {
			r.end(now, x, pb.OrderState_ORDER_STATE_LOST, x.lost)
		}
	}
}
