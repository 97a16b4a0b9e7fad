package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/link"
)

// recovery collects the results that agents hold for a job whose home is gone. It
// starts nothing: the answer is "complete" if every result is found, "failed" if a
// task is found to have failed, and otherwise "outcome unknown".
type recovery struct {
	name      string
	job       *pb.Job
	digest    uint64
	homeEnded bool

	deadline      time.Time       // of the recovery as a whole
	reachDeadline time.Time       // until when unreachable agents are waited for
	reported      map[*agent]bool // whether each agent asked has reported
	running       map[uint32]*agent
	results       []*pb.TaskResult
	missing       int
	// homeAlive: the home has a link to some agent. otherBody: the agents know the job
	// with another body.
	homeAlive, otherBody bool
	failed               *pb.TaskResult // of a task that failed, and the job with it

	answer    *pb.Answer
	expiresAt time.Time // when the answer is dropped
}

// unknownTTL is how long an incomplete answer of a recovery is kept before the agents
// are asked again. Callers that retry faster cost no messages.
const unknownTTL = time.Second

// Recover fences a job of another home at every agent and collects its results.
// Call it only when the home is considered gone. Set homeEnded if its process is
// known to have ended; otherwise agents that have a link to it don't fence. If
// Recover returns nil, Ready returns the answer later.
func (e *Entry) Recover(now time.Time, j *pb.Job, homeEnded bool) *pb.Answer {
	name := job.Name(j.Contract, j.Id)
	if r := e.recoveries[name]; r != nil {
		if r.digest != digestOf(j) {
			return conflict(j.Id)
		}
		return r.answer
	}
	c := e.opts.Contract(j.Contract)
	if c == nil || len(j.Tasks) == 0 || len(e.recoveries) >= e.opts.MaxRecoveries {
		return RetryLater(j.Id, "the job's home is gone, and its results can't be collected now")
	}
	r := &recovery{
		name: name, job: j, digest: digestOf(j), homeEnded: homeEnded, reachDeadline: now.Add(e.opts.RecoverWait),
		reported: make(map[*agent]bool), running: make(map[uint32]*agent),
		results: make([]*pb.TaskResult, len(j.Tasks)), missing: len(j.Tasks),
	}
	timeout := j.TimeoutMs
	timeout = cmp.Or(timeout, c.DefaultTimeoutMs)
	r.deadline = now.Add(max(e.opts.RecoverWait, time.Duration(timeout)*time.Millisecond))
	e.recoveries[name] = r
	for _, a := range e.agents {
		if !a.abandoned {
			r.reported[a] = false
			a.fence(r)
		}
	}
	e.finishIfSettled(now, r)
	return nil
}

func (a *agent) fence(r *recovery) {
	if !a.session.IsUp() {
		return
	}
	a.nextFrame.Fences = append(a.nextFrame.Fences, &pb.Fence{Job: r.name, HomeEnded: r.homeEnded})
	a.dirty = true
}

// resendFence repeats the fence over an agent's new link: the fence, the report or
// later results may have been lost with the old one.
func (e *Entry) resendFence(r *recovery, a *agent) {
	if r.answer != nil {
		return
	}
	runsHere := false
	for _, at := range r.running {
		runsHere = runsHere || at == a
	}
	if r.reported[a] && !runsHere {
		return
	}
	r.reported[a] = false
	a.fence(r)
}

func (e *Entry) applyFenceReport(now time.Time, a *agent, f *pb.FenceReport) {
	r := e.recoveries[f.Job]
	if r == nil || r.answer != nil {
		return
	}
	r.reported[a] = true
	r.homeAlive = r.homeAlive || f.HomeAlive
	if f.Digest != 0 && f.Digest != r.digest {
		r.otherBody = true
	} else {
		for _, index := range f.Running {
			r.running[index] = a
		}
		r.applyResults(f.Results)
	}
	e.finishIfSettled(now, r)
}

func (e *Entry) recoveryResults(now time.Time, r *recovery, results []*pb.TaskResult) {
	if r.answer != nil || r.otherBody {
		return
	}
	r.applyResults(results)
	e.finishIfSettled(now, r)
}

func (r *recovery) applyResults(results []*pb.TaskResult) {
	for _, res := range results {
		i := int(res.Task)
		delete(r.running, res.Task)
		if res.Outcome == pb.Outcome_OUTCOME_FAILED {
			r.failed = res
		}
		if i >= len(r.results) || r.results[i] != nil || res.Outcome != pb.Outcome_OUTCOME_COMPLETE {
			continue
		}
		r.results[i] = res
		r.missing--
	}
}

func (e *Entry) recoveryAgentLost(now time.Time, r *recovery, a *agent) {
	if r.answer != nil {
		return
	}
	delete(r.reported, a)
	maps.DeleteFunc(r.running, func(_ uint32, at *agent) bool { return at == a })
	e.finishIfSettled(now, r)
}

// finishIfSettled ends the recovery once no further reports or results can change
// the answer.
func (e *Entry) finishIfSettled(now time.Time, r *recovery) {
	switch {
	case r.otherBody:
		e.endRecovery(now, r, conflict(r.job.Id), e.opts.AnswerTTL)
	case r.missing == 0:
		a := &pb.Answer{Job: r.job.Id, Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: r.results}
		e.endRecovery(now, r, a, e.opts.AnswerTTL)
	case r.failed != nil:
		a := &pb.Answer{Job: r.job.Id, Outcome: pb.Outcome_OUTCOME_FAILED, Code: string(jobs.CodeTaskFailed), Message: r.failed.Error}
		e.endRecovery(now, r, a, e.opts.AnswerTTL)
	case r.pending() || len(r.running) > 0:
	case r.homeAlive:
		e.endRecovery(now, r, RetryLater(r.job.Id, "the job's home is alive but can't be reached from here"), unknownTTL)
	default:
		e.endRecovery(now, r, RetryLater(r.job.Id, "the job's home is gone and not every result was found"), unknownTTL)
	}
}

func (r *recovery) pending() bool {
	for _, done := range r.reported {
		if !done {
			return true
		}
	}
	return false
}

func (e *Entry) endRecovery(now time.Time, r *recovery, a *pb.Answer, keep time.Duration) {
	r.answer = a
	r.expiresAt = now.Add(keep)
	e.endedRecoveries = append(e.endedRecoveries, r)
	e.ready.Answers = append(e.ready.Answers, JobAnswer{Contract: r.job.Contract, Answer: a})
}

// next returns when expireRecoveries has to handle the recovery.
func (r *recovery) next() time.Time {
	switch {
	case r.answer != nil:
		return r.expiresAt
	case len(r.running) > 0:
		return r.deadline
	}
	return link.Earlier(r.deadline, r.reachDeadline)
}

func (e *Entry) expireRecoveries(now time.Time) {
	for _, name := range e.recoveryNames() {
		r := e.recoveries[name]
		if r.answer == nil && !now.Before(r.next()) {
			e.endRecovery(now, r, RetryLater(r.job.Id, "the job's home is gone and not every agent was reached"), unknownTTL)
		}
	}
	e.endedRecoveries = slices.DeleteFunc(e.endedRecoveries, func(r *recovery) bool {
		if now.Before(r.expiresAt) {
			return false
		}
		delete(e.recoveries, r.name)
		return true
	})
}

func (e *Entry) recoveryNames() []string {
	if len(e.recoveries) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(e.recoveries))
}

// RetryLater returns an answer with an unknown outcome and a time to retry after.
func RetryLater(id, message string) *pb.Answer {
	a := unknown(id, jobs.CodeHomeLost, message)
	a.RetryAfterMs = uint32(unknownTTL / time.Millisecond)
	return a
}
