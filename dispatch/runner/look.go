package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

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

// Looked takes in the answer to a look.
func (r *Runner) Looked(now time.Time, l Look, s Seen) {
	if !r.knows(l.Worker) || !r.answers(now, s.Born) {
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
