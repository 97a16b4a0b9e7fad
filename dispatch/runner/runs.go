package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
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
	if v == Unanswered || v == Unsent {
		x.failed++
	}
	switch {
	case v == Started, v == OtherLife, x.sends == 1:
	case v == Unanswered && x.failed < x.sends:
		return // another call is on its way
	case v != Unanswered:
		// An earlier call may have begun the run, and it may have ended since.
		r.doubt(x)
		return
	}
	switch v {
	case Started:
		r.begun(now, x)
	case Refused:
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWorker+": "+why)
	case OldRun:
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonOldRun)
	case Fenced:
		r.raiseToken()
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWorker+": fence")
	case Unsent:
		r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, ReasonWorker+": not reached")
	case OtherLife:
		r.succeeded(now, "another life of the worker answers")
	case Unanswered:
		r.lossyUntil = now.Add(lossyFor)
		if r.maySendAgain(now, x) {
			r.sendStart(now, x)
			return
		}
		r.doubt(x)
	}
}

// doubt takes in that a start may have begun and its answer be lost, or may be carried out
// later. A look tells the first; a stop that is answered rules out the second.
func (r *Runner) doubt(x *run) {
	x.phase = doubtful
	r.number++
	x.number = r.number
	r.ready.Look = true
}

// maxSends bounds how often a start is sent: of calls that are lost one time in three, all
// three are one time in thirty.
const maxSends = 3

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

// NextLook returns the look to make now; false while no worker is known. Waiting
// looks come one after the other; others don't wait for an end.
func (r *Runner) NextLook(now time.Time, waiting bool) (Look, bool) {
	if !r.known {
		return Look{}, false
	}
	l := Look{Worker: r.worker.Life, Token: r.token, Seen: r.lastEnd, number: r.number, sent: now}
	if r.silent {
		// Its next life may answer, whose ends have numbers of their own: none of them may
		// count as seen.
		l.Seen = 0
	}
	if r.clock > 0 && !r.hasForeign() && !r.silent {
		// What can't be stopped lapses: runs of an earlier process, and those on a worker
		// out of reach, whose tasks may then run elsewhere.
		l.Until = r.until(now)
		r.renewed = now
	}
	l.Slack = lookSlack
	lossy := now.Before(r.lossyUntil)
	if lossy {
		l.Slack = lossySlack
	}
	switch {
	case !waiting || !r.looked || r.silent:
	case r.Running() == 0:
		l.Wait = r.opts.Times.Lease / looksPerLease
	case lossy:
		l.Wait = lookWhileLossy
	default:
		l.Wait = lookWhileRunning
	}
	return l, true
}

func (r *Runner) hasForeign() bool {
	return slices.ContainsFunc(r.order, func(x *run) bool { return x.foreign })
}

// LookVerdict is how a look ended.
type LookVerdict uint8

// Verdicts on looks.
const (
	LookAnswered LookVerdict = iota
	LookUnanswered
	// LookRefused: nothing listens at the worker's address.
	LookRefused
	LookFenced
	LookOtherLife
)

// Row is one run as the worker lists it.
type Row struct {
	Task    string
	Run     uint32
	Percent int
}

// Ending is how a run ended, in the worker's words.
type Ending uint8

// Endings.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	// EndedLapsed: the lease ran out, or something else broke it off.
	EndedLapsed
)

// End is one end as the worker lists it.
type End struct {
	Number uint64
	Task   string
	Run    uint32
	How    Ending
}

// Seen is the worker's answer to a look.
type Seen struct {
	// Born is when the life that answers was born; see Life.
	Born    int64
	Clock   time.Duration
	Running []Row
	Ended   []End
}

// Looked takes in the answer to a look.
func (r *Runner) Looked(now time.Time, l Look, s Seen) {
	if !r.knows(l.Worker) || !r.answers(now, l, s.Born) {
		return
	}
	r.heardClock(now, s.Clock)
	r.lookedAt = now
	back := r.silent || !r.looked
	r.silent, r.looked, r.missed = false, true, 0
	if l.sent.After(r.answeredLook) {
		r.answeredLook = l.sent
	}
	if back {
		r.decided(now, Decision{Event: "worker_answers", Reason: r.worker.Life.String()})
	}
	for _, e := range s.Ended {
		r.ended(now, e)
	}
	for _, row := range s.Running {
		r.listed(now, l, row)
	}
	r.missing(now, l, s)
	if back {
		r.changed()
	}
	r.startQueued(now)
}

func (r *Runner) ended(now time.Time, e End) {
	if e.Number <= r.lastEnd {
		return
	}
	r.lastEnd = e.Number
	x := r.runs[e.Task]
	if x == nil || x.run != e.Run || x.phase == queued {
		return
	}
	switch e.How {
	case EndedDone:
		r.end(now, x, pb.OrderState_ORDER_STATE_DONE, "")
	case EndedFailed:
		r.end(now, x, pb.OrderState_ORDER_STATE_FAILED, "")
	case EndedStopped:
		r.end(now, x, pb.OrderState_ORDER_STATE_STOPPED, "")
	default:
		r.end(now, x, pb.OrderState_ORDER_STATE_LOST, "the lease has lapsed")
	}
}

// listed takes in that a run is on the worker.
func (r *Runner) listed(now time.Time, l Look, row Row) {
	x := r.runs[row.Task]
	if x != nil && x.run == row.Run {
		x.listed = true
	}
	switch {
	case x == nil && r.recent[row.Task] >= row.Run:
		// The answer of an older look, or a run whose stop is under way.
	case x == nil:
		// An earlier process started it, or an order that was given up was carried out
		// late. Its size is not known, so nothing may start beside it.
		x = &run{task: row.Task, run: row.Run, foreign: true, phase: stopping}
		r.runs[x.task] = x
		r.order = append(r.order, x)
		// The process that renewed its lease ended before this look at the latest.
		r.renewed = now
		r.decided(now, Decision{Event: "run_foreign", Task: x.task, Run: x.run})
		r.flushQueue(now)
		r.sendStop(now, x)
		r.changed()
	case x.run != row.Run:
		// The end of the run that is listed comes with a later answer.
	case (x.phase == doubtful || x.phase == unfenced) && l.number >= x.number:
		r.begun(now, x)
	case x.phase == running && row.Percent >= 0:
		r.progress(now, x, row.Percent)
	}
}

// progress reports a run that is much slower than expected, or can't end in its
// job's time.
func (r *Runner) progress(now time.Time, x *run, percent int) {
	elapsed := now.Sub(x.began)
	// The percentage is rounded down: the run may be almost one further.
	least := elapsed * 100 / time.Duration(min(percent, 99)+1)
	if percent >= surePercent || elapsed >= sureAfter {
		x.total = least
	}
	slow := least >= time.Duration(stallFactor*float64(x.expected))+stallSlack
	tooLong := (percent >= surePercent || elapsed >= sureAfter) && x.began.Add(least-progressLag).After(x.limit)
	if elapsed < max(x.reportAt, judgeAfter) || !slow && !tooLong {
		return
	}
	x.reportAt = elapsed * 3 / 2
	remaining := least - elapsed
	x.entry.tell(&pb.OrderNews{
		Number: x.order, State: pb.OrderState_ORDER_STATE_STALLED,
		RunMs: uint32(elapsed.Milliseconds()), RemainingMs: uint32(remaining.Milliseconds()),
	})
	r.decided(now, Decision{Event: "run_stalled", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Elapsed: elapsed})
}

// missing takes in what a look does not show although it began after the run's
// start or stop was answered: the run has ended, and its end was noted before, or
// it never began.
func (r *Runner) missing(now time.Time, l Look, s Seen) {
	for _, x := range slices.Clone(r.order) {
		if x.phase == queued || x.phase == starting || r.runs[x.task] != x || l.number < x.number {
			continue
		}
		if slices.ContainsFunc(s.Running, func(row Row) bool { return row.Task == x.task && row.Run == x.run }) {
			continue
		}
		switch {
		case x.phase == unfenced:
			r.end(now, x, pb.OrderState_ORDER_STATE_LOST, x.lost)
		case x.phase == doubtful:
			x.phase = fencing
			r.sendStop(now, x)
		case x.phase == fencing && x.stopped:
			reason := ReasonUnanswered
			if !x.wanted {
				reason = ReasonStopped
			}
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, reason)
		case x.phase == stopping && (x.stopped || x.foreign):
			r.end(now, x, pb.OrderState_ORDER_STATE_STOPPED, "")
		case x.phase == running:
			r.end(now, x, pb.OrderState_ORDER_STATE_LOST, "not listed any more")
		}
	}
}

// LookFailed takes in that a look had no answer. Refused says that nothing listens
// at the worker's address: its process has ended.
func (r *Runner) LookFailed(now time.Time, l Look, refused bool) {
	if !r.knows(l.Worker) {
		return
	}
	if refused {
		r.crashed(now, "nothing listens at the worker's address")
		return
	}
	if l.sent.Before(r.answeredLook) {
		return // the worker has answered a later one
	}
	r.missed++
	r.lossyUntil = now.Add(lossyFor)
	if r.missed < silentAfter && r.looked {
		r.ready.Look = true
		return
	}
	if !r.silent {
		r.decided(now, Decision{Event: "worker_silent", Reason: "looks had no answer"})
		r.silent = true
		r.flushQueue(now)
		r.changed()
	}
}

// LookFenced takes in that the worker knows a higher token.
func (r *Runner) LookFenced(now time.Time, l Look, clock time.Duration) {
	if !r.knows(l.Worker) {
		return
	}
	r.heardClock(now, clock)
	r.raiseToken()
	r.ready.Look = true
}
