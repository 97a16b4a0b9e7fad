package runner

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// maxSends bounds how often a start is sent: of calls that are lost one time in three, all
// three are one time in thirty.
const maxSends = 3

// StartVerdict is a worker's answer to a start.
type StartVerdict uint8

// Verdicts.
const (
	// Started, now or before.
	Started StartVerdict = iota
	// Refused: not started; the reason tells why.
	Refused
	// OldRun: a run with a higher number has been there.
	OldRun
	// Fenced: another process used a higher token.
	Fenced
	// OtherLife: another life of the worker answered.
	OtherLife
	// Unanswered: it may have been started, or be started later.
	Unanswered
	// Unsent: the call can't have reached the worker.
	Unsent
)

// start sends the start of a run to the worker.
func (r *Runner) start(now time.Time, x *run) {
	x.phase, x.began = starting, now
	r.used = r.used.Plus(x.size)
	r.sendStart(now, x)
}

func (r *Runner) sendStart(now time.Time, x *run) {
	x.sentAt, r.renewed = now, now
	x.sends++
	r.ready.Starts = append(r.ready.Starts, Start{
		Worker: r.worker.Life, Task: x.task, Run: x.run, Payload: x.payload, Until: r.until(now), Token: r.token,
	})
}

// StartAnswered takes in the answer to a start.
func (r *Runner) StartAnswered(now time.Time, s Start, v StartVerdict, clock time.Duration, why string) {
	if !r.knows(s.Worker) {
		return
	}
	r.heardClock(now, clock)
	x := r.runs[s.Task]
	if x == nil || x.run != s.Run || x.phase != starting && x.phase != doubtful {
		return
	}
	switch v {
	case Started:
		r.begun(now, x)
	case OtherLife:
		r.succeeded(now, "another life of the worker answers")
	case Unanswered:
		r.startUnanswered(now, x)
	default:
		r.startRefused(now, x, v, why)
	}
}

func (r *Runner) startUnanswered(now time.Time, x *run) {
	r.lossyUntil = now.Add(lossyFor)
	x.unanswered++
	switch {
	case x.unanswered < x.sends:
		// Another call is on its way.
	case r.maySendAgain(now, x):
		r.sendStart(now, x)
	default:
		r.doubt(x)
	}
}

func (r *Runner) startRefused(now time.Time, x *run, v StartVerdict, why string) {
	if v == Fenced {
		r.raiseToken()
	}
	if x.sends > 1 {
		// An earlier call may have begun the run, and it may have ended since.
		r.doubt(x)
		return
	}
	reason := ReasonWorker + ": " + why
	switch v {
	case OldRun:
		reason = ReasonOldRun
	case Fenced:
		reason = ReasonWorker + ": fence"
	case Unsent:
		reason = ReasonWorker + ": not reached"
	}
	r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, reason)
}

// doubt takes in that a start may have begun and its answer be lost, or may be carried out
// later. A look tells the first; a stop that is answered rules out the second.
func (r *Runner) doubt(x *run) {
	x.phase = doubtful
	r.number++
	x.number = r.number
	r.ready.Look = true
}

// maySendAgain reports whether a start that had no answer is sent again. A worker takes the
// same run once, so the task begins a moment later, where fencing the run and ordering
// another one elsewhere would take several calls, each of which may be lost too.
func (r *Runner) maySendAgain(now time.Time, x *run) bool {
	return x.phase == starting && x.wanted && x.sends < maxSends && r.held() == HeldNone && !r.mute(now, x.entry)
}

// raiseToken takes a token above that of an earlier process. Its size is unknown;
// doubling the step finds it in a few calls.
func (r *Runner) raiseToken() { r.token += max(1, r.token) }

func (r *Runner) begun(now time.Time, x *run) {
	r.number++
	x.number = r.number
	if !x.wanted {
		x.phase = running
		r.stopNow(now, x)
		return
	}
	x.phase = running
	x.entry.mention(now, &pb.OrderNews{Number: x.order, State: pb.OrderState_ORDER_STATE_STARTED})
	r.decided(now, Decision{Event: "run_started", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order})
}

// stop ends a run at its entry's request, or because nobody waits for it.
func (r *Runner) stop(now time.Time, x *run) {
	x.wanted = false
	switch x.phase {
	case queued:
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonStopped)
	case running:
		r.stopNow(now, x)
	case starting, doubtful:
		// A stop that overtakes the start on its way makes the worker refuse it.
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
	r.ready.Stops = append(r.ready.Stops, Stop{Worker: r.worker.Life, Task: x.task, Run: x.run, Token: r.token})
}

// StopAnswered takes in that the worker has answered a stop: the run has ended or
// is ending, and it does not begin any more. Looks that begin from now on show
// which.
func (r *Runner) StopAnswered(now time.Time, s Stop, clock time.Duration) {
	if !r.knows(s.Worker) {
		return
	}
	r.heardClock(now, clock)
	x := r.runs[s.Task]
	if x == nil || x.run != s.Run || x.phase != stopping && x.phase != fencing {
		return
	}
	r.number++
	x.number = r.number
	x.stopped = true
	r.ready.Look = true
}
