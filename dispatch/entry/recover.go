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

// recovery gathers what the agents know of a job whose home is gone. It starts
// nothing: the answer is complete when every result is found, and otherwise
// "outcome unknown".
type recovery struct {
	name      string
	job       *pb.Job
	digest    uint64
	homeEnded bool

	deadline time.Time       // ends it in any case
	promptBy time.Time       // ends the wait for agents that can't be reached
	asked    map[*agent]bool // true: has answered
	running  map[uint32]*agent
	results  []*pb.TaskResult
	missing  int
	// alive: some agent hears from the home. other: the job has another body.
	alive, other bool
	failed       *pb.TaskResult // a task that ran and failed; then the job has too

	answer *pb.Answer
	keep   time.Time // when the answer is dropped
}

// unknownTTL is how long an incomplete answer of a recovery stands before the
// agents are asked again; a caller that asks faster costs no messages.
const unknownTTL = time.Second

// Recover fences a job of another home at every agent and gathers its results.
// Call it only when the home is taken for gone: homeEnded says that its process
// is known to have ended, and otherwise agents that hear from it don't fence.
// With a nil answer the job's answer comes with Ready.
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
		return AskAgain(j.Id, "the job's home is gone, and its results can't be gathered now")
	}
	r := &recovery{
		name: name, job: j, digest: digestOf(j), homeEnded: homeEnded, promptBy: now.Add(e.opts.RecoverWait),
		asked: make(map[*agent]bool), running: make(map[uint32]*agent),
		results: make([]*pb.TaskResult, len(j.Tasks)), missing: len(j.Tasks),
	}
	timeout := j.TimeoutMs
	timeout = cmp.Or(timeout, c.DefaultTimeoutMs)
	r.deadline = now.Add(max(e.opts.RecoverWait, time.Duration(timeout)*time.Millisecond))
	e.recoveries[name] = r
	for _, a := range e.agents {
		if !a.gone {
			r.asked[a] = false
			a.fence(r)
		}
	}
	e.settle(now, r)
	return nil
}

func (a *agent) fence(r *recovery) {
	if !a.session.IsUp() {
		return
	}
	a.out.Fences = append(a.out.Fences, &pb.Fence{Job: r.name, HomeEnded: r.homeEnded})
	a.dirty = true
}

// fenceAgain asks an agent with a new link: the question, the report, or results
// that the agent would have sent may have been lost with the old one.
func (e *Entry) fenceAgain(r *recovery, a *agent) {
	if r.answer != nil {
		return
	}
	runsHere := false
	for _, at := range r.running {
		runsHere = runsHere || at == a
	}
	if r.asked[a] && !runsHere {
		return
	}
	r.asked[a] = false
	a.fence(r)
}

func (e *Entry) fenceReport(now time.Time, a *agent, f *pb.FenceReport) {
	r := e.recoveries[f.Job]
	if r == nil || r.answer != nil {
		return
	}
	r.asked[a] = true
	r.alive = r.alive || f.HomeAlive
	if f.Digest != 0 && f.Digest != r.digest {
		r.other = true
	} else {
		for _, index := range f.Running {
			r.running[index] = a
		}
		r.take(f.Results)
	}
	e.settle(now, r)
}

func (e *Entry) recoveryNews(now time.Time, r *recovery, results []*pb.TaskResult) {
	if r.answer != nil || r.other {
		return
	}
	r.take(results)
	e.settle(now, r)
}

func (r *recovery) take(results []*pb.TaskResult) {
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

func (e *Entry) recoveryLost(now time.Time, r *recovery, a *agent) {
	if r.answer != nil {
		return
	}
	delete(r.asked, a)
	maps.DeleteFunc(r.running, func(_ uint32, at *agent) bool { return at == a })
	e.settle(now, r)
}

// settle answers when nothing more can be learned.
func (e *Entry) settle(now time.Time, r *recovery) {
	switch {
	case r.other:
		e.endRecovery(now, r, conflict(r.job.Id), e.opts.AnswerTTL)
	case r.missing == 0:
		a := &pb.Answer{Job: r.job.Id, Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: r.results}
		e.endRecovery(now, r, a, e.opts.AnswerTTL)
	case r.failed != nil:
		a := &pb.Answer{Job: r.job.Id, Outcome: pb.Outcome_OUTCOME_FAILED, Code: string(jobs.CodeTaskFailed), Message: r.failed.Error}
		e.endRecovery(now, r, a, e.opts.AnswerTTL)
	case r.pending() || len(r.running) > 0:
	case r.alive:
		e.endRecovery(now, r, AskAgain(r.job.Id, "the job's home can't be reached from here, but it lives"), unknownTTL)
	default:
		e.endRecovery(now, r, AskAgain(r.job.Id, "the job's home is gone and not every result was found"), unknownTTL)
	}
}

func (r *recovery) pending() bool {
	for _, done := range r.asked {
		if !done {
			return true
		}
	}
	return false
}

func (e *Entry) endRecovery(now time.Time, r *recovery, a *pb.Answer, keep time.Duration) {
	r.answer = a
	r.keep = now.Add(keep)
	e.recovered = append(e.recovered, r)
	e.ready.Answers = append(e.ready.Answers, Ended{Contract: r.job.Contract, Answer: a})
}

// next is when expireRecoveries has something to do.
func (r *recovery) next() time.Time {
	switch {
	case r.answer != nil:
		return r.keep
	case len(r.running) > 0:
		return r.deadline
	}
	return link.Earlier(r.deadline, r.promptBy)
}

func (e *Entry) expireRecoveries(now time.Time) {
	for _, name := range e.recoveryNames() {
		r := e.recoveries[name]
		if r.answer == nil && !now.Before(r.next()) {
			e.endRecovery(now, r, AskAgain(r.job.Id, "the job's home is gone and not every agent was reached"), unknownTTL)
		}
	}
	e.recovered = slices.DeleteFunc(e.recovered, func(r *recovery) bool {
		if now.Before(r.keep) {
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

// AskAgain tells that the outcome is unknown, and when to ask again.
func AskAgain(id, message string) *pb.Answer {
	a := unknown(id, jobs.CodeHomeLost, message)
	a.RetryAfterMs = uint32(unknownTTL / time.Millisecond)
	return a
}
