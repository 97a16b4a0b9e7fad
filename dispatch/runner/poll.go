package runner

import (
	"fmt"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const (
	// pollInterval is the time between two polls of the worker while something runs there. A
	// poll renews the lease and reads the progress of the tasks. A task that stands still is
	// noticed after one poll.
	pollInterval = 50 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take. A machine that has no
	// processor time for most of a tenth of a second answers the next poll.
	pollSlack = 60 * time.Millisecond
	// lossyPollInterval and lossyPollSlack replace them while calls get lost, so that an end is
	// received with the first poll that isn't lost. Three polls are made instead of one.
	lossyPollInterval = 20 * time.Millisecond
	lossyPollSlack    = 20 * time.Millisecond
	// lossyPeriod is how long after a lost call further losses are expected.
	lossyPeriod = 2 * time.Second
	// maxFailedPolls is how many consecutive failed polls make the worker unresponsive. If one
	// call in ten is lost, three in a row are lost one time in 1,000.
	maxFailedPolls = 3
	// pollsPerLease bounds the time between two polls of an idle worker: the lease of an order
	// that starts just after one poll must be renewed by the next.
	pollsPerLease = 2
	// CallTimeout is the timeout of a call to the worker on the same machine, which normally
	// takes a millisecond or two. Calls without an answer are followed up by polls, so a short
	// timeout costs little, whereas a longer one delays tasks.
	CallTimeout = 40 * time.Millisecond
	// stallFactor is how many times longer than expected a run must take, at its pace so far,
	// to be reported as stalled. Estimates alone are off by half in either direction.
	stallFactor = 2.5
	// stallSlack keeps short runs, whose start takes a share of their time, from being reported
	// as stalled.
	stallSlack = 30 * time.Millisecond
	// minStallElapsed is the run time before which progress is not judged: a task that has only
	// just started shows none.
	minStallElapsed = 40 * time.Millisecond
	// reliablePercent is the progress from which on rounding and delays change the estimated
	// run time by a tenth at most. A run that has made less progress after reliableElapsed
	// lasts three seconds or more, so its progress is judged as well.
	reliablePercent = 10
	reliableElapsed = 300 * time.Millisecond
	// maxProgressAge is the maximum age of a progress value when it is handled, unless the
	// processor is held up.
	maxProgressAge = 20 * time.Millisecond
)

// PollVerdict is the outcome of a poll.
type PollVerdict uint8

// Outcomes of polls.
const (
	PollAnswered PollVerdict = iota
	PollUnanswered
	// PollRefused means that the connection was refused, so that the call had no effect.
	PollRefused
	PollFenced
	// PollMisdirected means that the answer says that the call was meant for another incarnation.
	PollMisdirected
)

// ListedRun is one run in the worker's list.
type ListedRun struct {
	Task    string
	Run     uint32
	Percent int
}

// Ending is how a run ended, as the worker reports it.
type Ending uint8

// Ways in which a run ends.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	// EndedLapsed means that the lease ran out, or that something else aborted the run.
	EndedLapsed
)

func (e Ending) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed"}[e]
}

// End is the end of a run in the worker's list.
type End struct {
	Number uint64
	Task   string
	Run    uint32
	Ending Ending
}

// PollAnswer is the worker's answer to a poll.
type PollAnswer struct {
	// StartUnixMs is when the answering incarnation started, as in a worker's report.
	StartUnixMs int64
	Clock       time.Duration
	Running     []ListedRun
	Ended       []End
	// Missing says what the answer lacks; empty if it is complete.
	Missing string
}

func (s PollAnswer) String() string {
	return fmt.Sprintf("%d running, %d ended", len(s.Running), len(s.Ended))
}

// workerNow returns the time on the worker's clock. It is never ahead of that clock by more
// than a call takes.
func (r *Runner) workerNow(now time.Time) time.Duration { return r.clock + now.Sub(r.clockAt) }

// leaseEnd returns the end of a lease that is requested now, on the worker's clock. A lease covers
// all runs on the worker, so the run whose entry was heard of least recently limits it. Queued
// orders count, since a lease can't be shortened when they start.
func (r *Runner) leaseEnd(now time.Time) time.Duration {
	silence := time.Duration(0)
	for _, x := range r.runList {
		if x.entry != nil && x.concernsWorker() {
			silence = max(silence, now.Sub(x.lastWanted()))
		}
	}
	return r.workerNow(now) + r.opts.Timeouts.LeaseAfter(silence)
}

// updateClock records the worker's clock from any answer.
func (r *Runner) updateClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		r.clock, r.clockAt = clock, now
	}
}

// NextPoll returns the poll to make now, or false while no worker is known. Waiting polls,
// which the worker answers when a run ends, are made one after the other; other polls don't
// wait for an end.
func (r *Runner) NextPoll(now time.Time, waiting bool) (Poll, bool) {
	if !r.known {
		return Poll{}, false
	}
	r.pollsSent++
	if r.candidate != nil {
		// It only shows who answers: no lease is requested and no end marked as seen.
		return Poll{Worker: r.candidate.Incarnation, Token: r.token, Slack: pollSlack, number: r.pollsSent, sent: now}, true
	}
	l := Poll{Worker: r.worker.Incarnation, Token: r.token, LastEnd: r.lastEndNumber, callSeq: r.callSeq, number: r.pollsSent, sent: now}
	if r.unresponsive {
		// The worker's next incarnation may answer. It numbers its ends anew, so none of them
		// may be marked as seen.
		l.LastEnd = 0
	}
	if r.clock > 0 && r.polled && !r.hasOrphaned() && !r.unresponsive && !r.endAnnounced {
		// Leases are left to lapse for runs that can't be stopped: those of an earlier process,
		// and those on a worker that is unresponsive or leaves, whose tasks may then run elsewhere.
		l.Until = r.leaseEnd(now)
		r.leaseRenewedAt = now
	}
	l.Slack = pollSlack
	lossy := now.Before(r.lossyUntil)
	if lossy {
		l.Slack = lossyPollSlack
	}
	switch {
	case !waiting || !r.polled || r.unresponsive:
	case r.Running() == 0:
		l.Wait = r.opts.Timeouts.Lease / pollsPerLease
	case lossy:
		l.Wait = lossyPollInterval
	default:
		l.Wait = pollInterval
	}
	return l, true
}

// hasOrphaned reports whether the current incarnation has an orphaned run.
func (r *Runner) hasOrphaned() bool {
	return slices.ContainsFunc(r.runList, func(x *run) bool { return x.orphaned && x.concernsWorker() })
}

// PollAnswered handles the answer to a poll. One that isn't complete is handled like none: a run
// that it doesn't list may go on.
func (r *Runner) PollAnswered(now time.Time, l Poll, s PollAnswer) {
	if s.Missing != "" {
		r.logDecision(now, Decision{Event: "poll_incomplete", Reason: s.Missing})
		r.PollFailed(now, l, false)
		return
	}
	if l.number <= r.pollsBefore {
		return // a late answer to a poll of before the worker took its place, perhaps again
	}
	if r.isCandidate(l.Worker) {
		r.handleSuperseded(now, "a new life of the worker answers")
	}
	if !r.isCurrent(l.Worker) || !r.checkIncarnation(now, s.StartUnixMs) {
		return
	}
	r.candidate = nil
	r.updateClock(now, s.Clock)
	r.polledAt = now
	recovered := r.unresponsive || !r.polled
	r.unresponsive, r.polled, r.failedPolls, r.suspects = false, true, 0, nil
	if l.sent.After(r.answeredPollSent) {
		r.answeredPollSent = l.sent
	}
	if recovered {
		r.logDecision(now, Decision{Event: "worker_answers", Reason: r.worker.Incarnation.String()})
	}
	for _, e := range s.Ended {
		r.handleEnd(now, e)
	}
	for _, row := range s.Running {
		r.handleListed(now, l, row)
	}
	r.handleUnlisted(now, l, s)
	if recovered {
		r.markChanged()
	}
	r.startQueued(now)
}

func (r *Runner) handleEnd(now time.Time, e End) {
	if e.Number <= r.lastEndNumber {
		return
	}
	r.lastEndNumber = e.Number
	x := r.runs[e.Task]
	if x == nil || x.run != e.Run || x.phase == queued {
		if e.Ending != EndedLapsed {
			r.logLostRun(now, e.Task, e.Run, "has ended as "+e.Ending.String())
		}
		if r.recentRuns[e.Task].run < e.Run {
			r.recordEarlierEnd(now, e)
		}
		return
	}
	if x.orphaned {
		r.recordEarlierEnd(now, e)
	}
	switch e.Ending {
	case EndedDone:
		r.end(now, x, pb.OrderState_ORDER_STATE_DONE, "")
	case EndedFailed:
		r.end(now, x, pb.OrderState_ORDER_STATE_FAILED, "")
	case EndedStopped:
		r.end(now, x, pb.OrderState_ORDER_STATE_STOPPED, "")
	default:
		r.end(now, x, pb.OrderState_ORDER_STATE_LOST, "the worker lists it as lapsed")
	}
}

// logLostRun logs a run that has been reported as lost or never begun, although the worker says
// otherwise.
func (r *Runner) logLostRun(now time.Time, task string, run uint32, what string) {
	e := r.recentRuns[task]
	if e.run == run && (e.state == pb.OrderState_ORDER_STATE_LOST || e.state == pb.OrderState_ORDER_STATE_REFUSED) {
		r.logDecision(now, Decision{Event: "lost_run_found", Task: task, Run: run, Reason: what})
	}
}

// handleListed handles a run that the worker lists as running.
func (r *Runner) handleListed(now time.Time, l Poll, row ListedRun) {
	x := r.runs[row.Task]
	if x != nil && x.run == row.Run {
		x.listed = true
	}
	switch {
	case x == nil && r.recentRuns[row.Task].run >= row.Run && l.number <= r.recentRuns[row.Task].pollsSent:
		// The poll was sent before the run was reported as ended.
	case x == nil:
		// An earlier process started it, or an abandoned order was carried out late, or it was
		// reported as lost by mistake. Its size is unknown, so nothing may start beside it.
		r.logLostRun(now, row.Task, row.Run, "is running")
		x = &run{task: row.Task, run: row.Run, orphaned: true, phase: stopping}
		r.runs[x.task] = x
		r.runList = append(r.runList, x)
		// The process that renewed its lease ended before this poll at the latest.
		r.leaseRenewedAt = now
		r.logDecision(now, Decision{Event: "run_foreign", Task: x.task, Run: x.run})
		r.flushQueue(now)
		r.sendStop(now, x)
		r.markChanged()
	case x.run != row.Run:
		// The end of the run that is listed comes with a later answer.
	case (x.phase == inDoubt || x.phase == superseded) && l.callSeq >= x.callSeq:
		if !x.concernsWorker() {
			r.used = r.used.Plus(x.size)
		}
		r.runStarted(now, x)
	case x.phase == running && row.Percent >= 0:
		r.checkProgress(now, x, row.Percent)
	}
}

// checkProgress reports a run that is much slower than expected, or that can't end before its
// job's deadline.
func (r *Runner) checkProgress(now time.Time, x *run, percent int) {
	elapsed := now.Sub(x.startedAt)
	// The percentage is rounded down: the run may be almost one percent further.
	minTotal := elapsed * 100 / time.Duration(min(percent, 99)+1)
	if percent >= reliablePercent || elapsed >= reliableElapsed {
		x.estimatedTotal = minTotal
	}
	slow := minTotal >= time.Duration(stallFactor*float64(x.expected))+stallSlack
	overrunsDeadline := (percent >= reliablePercent || elapsed >= reliableElapsed) && x.startedAt.Add(minTotal-maxProgressAge).After(x.deadline)
	if elapsed < max(x.nextStallReport, minStallElapsed) || !slow && !overrunsDeadline {
		return
	}
	x.nextStallReport = elapsed * 3 / 2
	remaining := minTotal - elapsed
	x.entry.notify(&pb.OrderNews{
		Number: x.order, State: pb.OrderState_ORDER_STATE_STALLED,
		RunMs: uint32(elapsed.Milliseconds()), RemainingMs: uint32(remaining.Milliseconds()),
	})
	r.logDecision(now, Decision{Event: "run_stalled", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Elapsed: elapsed})
}

// handleUnlisted handles the runs that a poll lists neither as running nor as ended although it began
// after their start or stop was answered. A start without an answer that is stopped then never
// begins. A run that was started must be listed until its end has been marked as seen, so it may go
// on. Either is certain once a stop has had the time to end a run.
func (r *Runner) handleUnlisted(now time.Time, l Poll, s PollAnswer) {
	for _, x := range slices.Clone(r.runList) {
		if x.phase == queued || x.phase == starting || r.runs[x.task] != x || l.callSeq < x.callSeq {
			continue
		}
		if slices.ContainsFunc(s.Running, func(row ListedRun) bool { return row.Task == x.task && row.Run == x.run }) {
			continue
		}
		stopped := x.stopAnswered && l.sent.Sub(x.stopAnsweredAt) >= r.opts.Timeouts.StopTime
		switch {
		case x.phase == superseded:
			r.fence(now, x)
		case x.phase == inDoubt:
			x.phase = fencing
			r.sendStop(now, x)
		case x.phase == fencing && stopped:
			reason := ReasonUnanswered
			if !x.wanted {
				reason = ReasonStopped
			}
			r.end(now, x, pb.OrderState_ORDER_STATE_REFUSED, reason)
		case x.phase == stopping && stopped:
			state, reason := pb.OrderState_ORDER_STATE_STOPPED, ""
			if x.wanted && !x.orphaned {
				state, reason = pb.OrderState_ORDER_STATE_LOST, reasonUnlisted
			}
			r.end(now, x, state, reason)
		case x.phase == running:
			r.logDecision(now, Decision{
				Event: "run_unlisted", Task: x.task, Run: x.run, Entry: x.entryName(), Order: x.order, Reason: "the answer lists: " + s.String(),
			})
			r.stopNow(now, x)
		}
	}
}

// PollMisdirected handles a poll that was answered as meant for another incarnation. The current one
// may live all the same: it is known to have ended once another one has answered a call that names it.
func (r *Runner) PollMisdirected(now time.Time, l Poll) {
	if r.isCandidate(l.Worker) {
		// The report was late: its incarnation has ended.
		r.candidate, r.ready.Poll = nil, true
	}
	r.pollFailed(now, l, "a poll was answered as misdirected")
}

// PollFailed handles a poll without an answer. If refused is set, the connection was refused. A
// live worker may do that, too, so its runs count as going on until their lease has expired.
func (r *Runner) PollFailed(now time.Time, l Poll, refused bool) {
	if refused {
		r.pollFailed(now, l, "it refuses connections")
		return
	}
	r.pollFailed(now, l, "")
}

// pollFailed handles a poll that the current incarnation has not answered. With a reason the worker
// counts as unresponsive at once, otherwise after some such polls.
func (r *Runner) pollFailed(now time.Time, l Poll, reason string) {
	if !r.isCurrent(l.Worker) || l.sent.Before(r.answeredPollSent) {
		return // the worker has answered a later one
	}
	r.failedPolls++
	if reason != "" {
		r.handleUnresponsive(now, reason)
		return
	}
	r.lossyUntil = now.Add(lossyPeriod)
	if r.failedPolls < maxFailedPolls && r.polled {
		r.ready.Poll = true
		return
	}
	r.handleUnresponsive(now, "polls had no answer")
}

func (r *Runner) handleUnresponsive(now time.Time, why string) {
	if r.unresponsive {
		return
	}
	r.logDecision(now, Decision{Event: "worker_silent", Reason: why})
	r.unresponsive = true
	r.flushQueue(now)
	r.markChanged()
}

// PollFenced handles a poll that the worker refused because it knows a higher token.
func (r *Runner) PollFenced(now time.Time, l Poll, clock time.Duration) {
	if !r.isCurrent(l.Worker) {
		return
	}
	r.updateClock(now, clock)
	r.raiseToken()
	r.ready.Poll = true
}
