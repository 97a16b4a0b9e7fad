package runner

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// maxSends bounds how often a start is sent. If one call in three is lost, all three are lost
// one time in thirty.
const maxSends = 3

// StartVerdict is a worker's answer to a start.
type StartVerdict uint8

// Answers to a start.
const (
	// Started: the run was started, now or before.
	Started StartVerdict = iota
	// Refused: the run was not started; the reason says why.
	Refused
	// OldRun: the worker knows a run of the task with a higher number.
	OldRun
	// Fenced: another process used a higher token.
	Fenced
	// Misdirected: the answer says that the call was meant for another incarnation of the worker.
	Misdirected
	// Unanswered: the run may have been started, or may be started later.
	Unanswered
	// Unsent: the call can't have reached the worker.
	Unsent
)

// start sends the start of a run to the worker.
func (r *Runner) start(now time.Time, x *run) {
	x.phase, x.startedAt = starting, now
	r.used = r.used.Plus(x.size)
	r.sendStart(now, x)
}

func (r *Runner) sendStart(now time.Time, x *run) {
	x.sentAt, r.leaseRenewedAt = now, now
	x.sends++
	r.ready.Starts = append(r.ready.Starts, Start{
		Worker: r.worker.Incarnation, Task: x.task, Run: x.run, Payload: x.payload, Until: r.leaseEnd(now), Token: r.token,
	})
}

// StartAnswered handles the answer to a start.
func (r *Runner) StartAnswered(now time.Time, s Start, v StartVerdict, clock time.Duration, why string) {
	if !r.isCurrent(s.Worker) {
		return
	}
	r.updateClock(now, clock)
	x := r.runs[s.Task]
	if x == nil || x.run != s.Run || x.phase != starting && x.phase != inDoubt {
		return
	}
	switch v {
	case Started:
		r.runStarted(now, x)
	case Misdirected:
		r.handleUnresponsive(now, "a start was answered as misdirected")
		r.markInDoubt(x)
	case Unanswered:
		r.startUnanswered(now, x)
	default:
		r.startRefused(now, x, v, why)
	}
}

func (r *Runner) startUnanswered(now time.Time, x *run) {
	r.lossyUntil = now.Add(lossyPeriod)
	x.unansweredSends++
	switch {
	case x.unansweredSends < x.sends:
		// Another call is in flight.
	case r.mayResendStart(now, x):
		r.sendStart(now, x)
	default:
		r.markInDoubt(x)
	}
}

func (r *Runner) startRefused(now time.Time, x *run, v StartVerdict, why string) {
	if v == Fenced {
		r.raiseToken()
	}
	if x.sends > 1 {
		// An earlier call may have begun the run, and it may have ended since.
		r.markInDoubt(x)
		return
	}
	reason := ReasonWorkerRefused + ": " + why
	switch v {
	case OldRun:
		reason = ReasonOldRun
	case Fenced:
		reason = ReasonWorkerRefused + ": fence"
	case Unsent:
		reason = ReasonWorkerRefused + ": not reached"
	}
	r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, reason)
}

// markInDoubt handles a start that may have been carried out with its answer lost, or that
// may be carried out later. A poll detects the former; an answered stop rules out the latter.
func (r *Runner) markInDoubt(x *run) {
	x.phase = inDoubt
	r.callSeq++
	x.callSeq = r.callSeq
	r.ready.Poll = true
}

// mayResendStart reports whether an unanswered start is sent again. A worker starts the same
// run only once, so the task begins a moment later, whereas fencing the run and ordering
// another one elsewhere would take several calls, each of which may be lost too.
func (r *Runner) mayResendStart(now time.Time, x *run) bool {
	return x.phase == starting && x.wanted && x.sends < maxSends && r.heldReason() == HeldNone && !r.timedOut(now, x.entry)
}

// raiseToken chooses a token above that of an earlier process, whose value is unknown. Doubling
// the token exceeds it within a few calls.
func (r *Runner) raiseToken() { r.token += max(1, r.token) }

func (r *Runner) runStarted(now time.Time, x *run) {
	r.callSeq++
	x.callSeq = r.callSeq
	if !x.wanted {
		x.phase = running
		r.stopNow(now, x)
		return
	}
	x.phase = running
	x.entry.notifyDeferred(now, &pb.OrderNews{Number: x.order, State: pb.OrderState_ORDER_STATE_STARTED})
	r.logDecision(now, Decision{Event: "run_started", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order})
}

// stop ends a run at its entry's request, or because nobody waits for it.
func (r *Runner) stop(now time.Time, x *run) {
	x.wanted, x.unwantedSince = false, x.entry.lastReceived
	switch x.phase {
	case queued:
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonStopped)
	case running:
		r.stopNow(now, x)
	case starting, inDoubt:
		// If the stop overtakes the start, the worker refuses the start.
		x.phase = fencing
		r.sendStop(now, x)
	}
}

func (r *Runner) stopNow(now time.Time, x *run) {
	x.phase = stopping
	r.sendStop(now, x)
}

func (r *Runner) sendStop(now time.Time, x *run) {
	x.sentAt = now
	r.ready.Stops = append(r.ready.Stops, Stop{Worker: r.worker.Incarnation, Task: x.task, Run: x.run, Token: r.token})
}

// StopAnswered handles the worker's answer to a stop: the run has ended or is ending, and it
// can't begin any more. Polls that begin from now on show which.
func (r *Runner) StopAnswered(now time.Time, s Stop, clock time.Duration) {
	if !r.isCurrent(s.Worker) {
		return
	}
	r.updateClock(now, clock)
	x := r.runs[s.Task]
	if x == nil || x.run != s.Run || x.phase != stopping && x.phase != fencing {
		return
	}
	r.callSeq++
	x.callSeq = r.callSeq
	if !x.stopAnswered {
		x.stopAnswered, x.stopAnsweredAt = true, now
	}
	r.ready.Poll = true
}
