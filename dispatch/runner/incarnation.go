package runner

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Incarnation identifies one incarnation of a worker. A worker may start again under the same
// identifier; it then has no state of its earlier incarnation, and its clock and all its
// counters start anew.
type Incarnation struct {
	ID string
	// StartUnixMs is when the incarnation started, in Unix milliseconds. It is zero where workers
	// don't state it and have a new identifier in each incarnation.
	StartUnixMs int64
}

func (l Incarnation) String() string {
	if l.StartUnixMs == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.StartUnixMs, 10)
}

// relation is how an incarnation relates to the current one.
type relation uint8

const (
	same relation = iota
	earlier
	later
	// unrelated: nothing shows which of the two came first.
	unrelated
)

// relate compares an incarnation that is named in a message with the current one.
func (r *Runner) relate(l Incarnation) relation {
	k := r.worker.Incarnation
	switch {
	case l == k:
		return same
	case k.StartUnixMs == 0 && l.ID != k.ID, l.StartUnixMs == k.StartUnixMs:
		return unrelated
	case l.StartUnixMs < k.StartUnixMs:
		return earlier
	}
	return later
}

// isCurrent reports whether a call was made to the current incarnation.
func (r *Runner) isCurrent(l Incarnation) bool { return r.known && l == r.worker.Incarnation }

func (r *Runner) isCandidate(l Incarnation) bool {
	return r.candidate != nil && l == r.candidate.Incarnation
}

// HandleReport handles a worker's report about itself. It returns false for a report of another
// incarnation than the one that answers, and for one that is out of date.
func (r *Runner) HandleReport(now time.Time, w Worker) bool {
	if w.StartUnixMs == 0 && r.worker.StartUnixMs > 0 {
		// This worker states when it started, so the report isn't its own.
		return false
	}
	if r.known {
		switch r.relate(w.Incarnation) {
		case same:
			return r.updateWorker(now, w)
		case earlier:
			return false
		case unrelated:
			if r.polled && !r.unresponsive {
				// A delayed report of an incarnation that has ended: the current one answers.
				return false
			}
			if r.Running() > 0 {
				r.handleCandidate(w)
				return false
			}
		}
		r.handleSuperseded(now, "a new life of the worker reports")
	}
	r.adoptWorker(now, w, "reports")
	return true
}

// RestoreWorker handles the worker incarnation that an earlier agent process has recorded. It is
// used only until a report arrives. Nothing starts until the worker answers a poll as that
// incarnation; an answer of another incarnation means that it is gone.
func (r *Runner) RestoreWorker(now time.Time, w Worker) {
	if r.known {
		return
	}
	r.adoptWorker(now, w, "on record")
}

// maxReportDelay is how late a report may arrive, with time to spare. A lower number than that of
// an older report shows that the older one was not the worker's own.
const maxReportDelay = 30 * time.Second

// updateWorker applies a later report of the current incarnation.
func (r *Runner) updateWorker(now time.Time, w Worker) bool {
	if w.Sequence < r.worker.Sequence && now.Sub(r.reportedAt) < maxReportDelay {
		return false
	}
	r.reportedAt = now
	before := r.worker
	w.Draining = w.Draining || r.endAnnounced
	r.worker = w
	if w.Draining != before.Draining {
		r.logDecision(now, Decision{Event: "worker_draining", Reason: r.heldReason()})
	}
	if w.Capacity != before.Capacity {
		r.handleResize(now, before.Capacity)
	}
	if r.unresponsive {
		r.ready.Poll = true
	}
	r.flushQueue(now)
	r.markChanged()
	return true
}

// handleResize handles a change of the worker's capacity. Runs go on. Queued orders that can no
// longer start in time are refused at once.
func (r *Runner) handleResize(now time.Time, before size.Size) {
	what := "grown"
	if !before.FitsIn(r.worker.Capacity) {
		what = "shrunk"
	}
	r.logDecision(now, Decision{Event: "worker_capacity", Reason: fmt.Sprintf("%s: %+v, was %+v", what, r.worker.Capacity, before)})
	for _, x := range slices.Clone(r.queue) {
		// Ending one order may have started the next.
		if x.phase == queued && r.mustWait(x) && !r.mayWait(now, x) {
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
		}
	}
	r.startQueued(now)
	r.reportStateNow()
}

// reportStateNow has the state reported to every entry without waiting for its report interval.
func (r *Runner) reportStateNow() {
	for _, e := range r.entries {
		e.stateChanged, e.reportedAt = true, time.Time{}
	}
}

// handleCandidate handles the report of another incarnation while the current one doesn't answer and
// has runs. Until one of the two answers, nothing shows which of them has ended.
func (r *Runner) handleCandidate(w Worker) {
	if r.isCandidate(w.Incarnation) && w.Sequence < r.candidate.Sequence {
		return
	}
	r.candidate, r.ready.Poll = &w, true
}

// adoptWorker makes an incarnation of a worker the current one.
func (r *Runner) adoptWorker(now time.Time, w Worker, how string) {
	restarted := w.StartUnixMs > 0 && w.ID == r.worker.ID
	if w.Incarnation == r.worker.Incarnation {
		how += " though it was taken for ended"
	}
	r.worker, r.known, r.endAnnounced, r.candidate, r.reportedAt = w, true, false, nil, now
	r.polled, r.failedPolls, r.unresponsive, r.suspects, r.lastEndNumber, r.clock = false, 0, false, nil, 0, 0
	r.pollsBefore = r.pollsSent
	r.logDecision(now, Decision{Event: "worker_known", Reason: how + ": " + w.Incarnation.String()})
	if restarted {
		r.fenceEarlierCalls()
	} else {
		// Delayed calls carry the old identifier, so this incarnation refuses them.
		for _, x := range slices.Clone(r.runList) {
			r.fence(now, x)
		}
	}
	r.ready.Poll = true
	r.markChanged()
}

// fenceEarlierCalls makes an incarnation refuse the calls that were made to an earlier one with
// the same identifier, from its first answer to a call with the higher token on. Runs that it
// lists by then were started by such calls.
func (r *Runner) fenceEarlierCalls() {
	r.token++
	r.callSeq++
	r.recentRuns, r.recentTasks = make(map[string]endedRun), nil
	for _, x := range r.runList {
		if x.phase == superseded {
			x.callSeq = r.callSeq
		}
	}
}

// checkIncarnation reports whether the current incarnation has answered a poll. If another one
// has, it becomes the worker's incarnation: the call reached it while the current one was
// believed to be alive.
func (r *Runner) checkIncarnation(now time.Time, startMs int64) bool {
	if startMs == r.worker.StartUnixMs {
		return true
	}
	r.handleSuperseded(now, "another life of the worker answers")
	if !r.known {
		r.worker.StartUnixMs = startMs
	}
	return false
}

// HandleLeave records that a worker has announced its end. Runs that are left go on until it comes,
// so their ends are waited for, without renewing their lease. The message names no incarnation, so
// where incarnations share an identifier it is applied only after the current one has reported that
// it drains.
func (r *Runner) HandleLeave(now time.Time, id string) {
	if r.candidate != nil && r.candidate.ID == id {
		r.candidate = nil
	}
	if !r.known || r.worker.ID != id || r.worker.StartUnixMs > 0 && !r.worker.Draining {
		return
	}
	r.endAnnounced, r.worker.Draining = true, true
	r.flushQueue(now)
	r.markChanged()
	r.handleLeft(now)
}

// handleLeft forgets a worker that has announced its end once no runs are left on it.
func (r *Runner) handleLeft(now time.Time) {
	if r.endAnnounced && r.Running() == 0 {
		r.workerGone(now, reasonLeft, unanswered, func(*run) string { return reasonLeft })
	}
}

const reasonLeft = "the worker left"

// workerGone handles that the current incarnation has ended or is superseded. The function unresolved
// selects the runs that a later incarnation may have started, or may still start; see mayStartLater.
func (r *Runner) workerGone(now time.Time, how string, unresolved func(*run) bool, why func(*run) string) {
	if !r.known {
		return
	}
	r.logDecision(now, Decision{Event: "worker_gone", Reason: how})
	candidate := r.candidate
	r.known, r.polled, r.endAnnounced, r.candidate = false, false, false, nil
	r.loseRuns(now, unresolved, why)
	r.flushQueue(now)
	r.markChanged()
	if candidate != nil {
		r.adoptWorker(now, *candidate, "reports")
	}
}

// loseRuns supersedes all runs on the worker. Those whose lease has expired are lost at once.
func (r *Runner) loseRuns(now time.Time, unresolved func(*run) bool, why func(*run) string) {
	for _, x := range slices.Clone(r.runList) {
		if x.unfenced() {
			// The incarnation that is superseded now may have carried out its start.
			x.leaseExpiresAt = now.Add(r.opts.Timeouts.LeaseEndedAfter)
		}
		if x.phase == queued || x.phase == superseded {
			continue
		}
		reason := why(x)
		// Of a start that was sent twice, one may still be on its way.
		unfenced := r.mayStartLater(x) && (unresolved(x) || x.sends > 1)
		r.callSeq++
		x.phase, x.lostReason, x.leaseExpiresAt, x.unfencedUntil = superseded, reason, r.leaseExpiresAt(), now.Add(unfencedTimeout)
		x.callSeq, x.listed, x.stopAnswered = r.callSeq, false, false
		if unfenced {
			r.logDecision(now, Decision{Event: "run_unfenced", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: reason})
			continue
		}
		if now.Before(x.leaseExpiresAt) {
			r.logDecision(now, Decision{Event: "run_superseded", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: reason})
		}
		r.fence(now, x)
	}
}

// mayStartLater reports whether a start may be carried out after the end of the incarnation
// that it was sent to: a later one has the same identifier and a clock of its own, so neither
// the incarnation named in the call nor the end of its lease prevents it.
func (r *Runner) mayStartLater(x *run) bool {
	return r.worker.StartUnixMs > 0 && !r.worker.Draining && !x.orphaned
}

// unanswered reports whether no answer shows which incarnation carried out a start, given that
// no later incarnation has answered yet.
func unanswered(x *run) bool { return x.phase == starting || x.phase == inDoubt || x.phase == fencing }

// unlisted is like unanswered for the case that a later incarnation exists, possibly unnoticed
// until now: the answers may be its own.
func unlisted(x *run) bool { return unanswered(x) || !x.listed }

// unfencedTimeout is how long after it was sent a call may still be carried out, with time to
// spare.
const unfencedTimeout = 30 * time.Second

// fence records that nothing can start an unfenced run any more. The current incarnation's capacity
// isn't reduced by what an earlier one may go on with.
func (r *Runner) fence(now time.Time, x *run) {
	if !x.unfenced() {
		return
	}
	x.unfencedUntil = time.Time{}
	r.used = r.used.Minus(x.size)
	r.endIfLost(now, x)
}

// endIfLost ends a superseded run once it can neither go on nor begin any more.
func (r *Runner) endIfLost(now time.Time, x *run) {
	if !now.Before(x.lostAt()) {
		r.end(now, x, pb.OrderState_ORDER_STATE_LOST, x.lostReason)
	}
}

// leaseExpiresAt returns when the lease of the runs on the worker has certainly expired.
func (r *Runner) leaseExpiresAt() time.Time {
	return r.leaseRenewedAt.Add(r.opts.Timeouts.LeaseEndedAfter)
}
