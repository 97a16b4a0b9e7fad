package entry

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// phase is the stage of a task's life cycle.
type phase uint8

const (
	// waiting: not sent to any agent, or refused by the agent it was sent to.
	waiting phase = iota
	// sent: assigned to an agent process, which may have started it.
	sent
	// ended: the result is known or no longer needed.
	ended
)

// jobState is the state of a job from its acceptance until its answer is dropped.
type jobState struct {
	name        string // job.Name
	job         *pb.Job
	digest      uint64
	period      uint64 // of the id's home token
	deadline    time.Time
	heapPos     int
	tasks       []taskState
	queued      *place.Job // holds the waiting tasks
	class       pb.Class
	openTasks   int        // tasks that have not ended
	mayHaveRun  bool       // some task has run, or it can no longer be ruled out
	pending     *pb.Answer // of a job that ends early, until it is sent
	answer      *pb.Answer
	answeredAt  time.Time
	resultBytes int // bytes of results in the answer
	dropped     bool
}

type taskState struct {
	job     *jobState
	index   uint32
	phase   phase
	agent   *agent
	pos     int    // in agent.tasks
	seq     uint64 // of the last frame that carried the start; zero if none
	revoked bool
	start   *pb.TaskStart
	run     time.Duration // estimated run time
	result  *pb.TaskResult
	// refusals counts the endpoints' refusals to begin the task.
	refusals int
}

// Admission is the outcome of a submission.
type Admission uint8

// Admissions.
const (
	// Accepted: the job was accepted. A later Ready returns its answer.
	Accepted Admission = iota
	// Joined: the same job was submitted before and has no answer yet.
	Joined
	// Answered: Submit returns the answer.
	Answered
)

// Submit submits a job whose home is this entry. A job that was submitted before is
// joined, never started again, and a refused job stays refused. The answer is set
// only if the admission is Answered; the call has then started nothing.
func (e *Entry) Submit(now time.Time, j *pb.Job) (Admission, *pb.Answer) {
	digest := digestOf(j)
	name := job.Name(j.Contract, j.Id)
	if js := e.jobs[name]; js != nil {
		e.record(now, event.JobJoined, j.Id, j.Contract, "", len(j.Tasks))
		return e.resubmit(js, j, digest)
	}
	id, err := job.Parse(j.Id)
	if err == nil && !id.HasHome() {
		return e.submitKey(now, j, name, digest)
	}
	if err != nil || id.Home.Incarnation != e.opts.Hello.Incarnation {
		return Answered, rejectRequest(j.Id, jobs.CodeBadRequest, "the id does not name this entry")
	}
	period := id.Home.Period
	if !e.retired.live(now, period) {
		// The entry may have run this id and forgotten it since. Starting it now could
		// run the job a second time without the caller noticing.
		return Answered, unknown(j.Id, jobs.CodeNotFound, "the id's home token has expired")
	}
	if v, ok := e.retired.find(period, name); ok {
		return Answered, retiredAnswer(j.Id, v)
	}
	queued, answer := e.admit(now, j, name)
	if answer != nil {
		e.recordRefusal(now, j, answer)
		e.retired.add(now, period, name, verdictOf(answer.Code))
		return Answered, answer
	}
	e.acceptJob(now, j, name, period, digest, queued)
	return Accepted, nil
}

func (e *Entry) acceptJob(now time.Time, j *pb.Job, name string, period, digest uint64, queued *place.Job) {
	e.record(now, event.JobAccepted, j.Id, j.Contract, j.Kind, len(j.Tasks))
	e.addJob(now, j, name, period, digest, queued)
}

func retiredAnswer(id string, v verdict) *pb.Answer {
	if v == ranBefore {
		return unknown(id, jobs.CodeNotFound, "the job has ended and its answer is no longer kept")
	}
	return refuse(id, refusalCodes[v], "the id was refused before; a new attempt takes a new id", 0)
}

// digestOf returns a hash that distinguishes different bodies under the same id. It
// is never zero.
func digestOf(j *pb.Job) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [32]byte
	number := func(n ...uint64) {
		for i, x := range n {
			binary.LittleEndian.PutUint64(b[8*i:], x)
		}
		_, _ = d.Write(b[:8*len(n)])
	}
	number(uint64(len(j.Kind)), uint64(j.TimeoutMs), uint64(len(j.Tasks)))
	_, _ = d.WriteString(j.Kind)
	for _, t := range j.Tasks {
		number(uint64(len(t.Payload)), t.MemoryBytes, uint64(t.CpuMillis), uint64(t.RunMillis))
		_, _ = d.Write(t.Payload)
	}
	return max(1, d.Sum64())
}

func (e *Entry) resubmit(js *jobState, j *pb.Job, digest uint64) (Admission, *pb.Answer) {
	if js.digest != digest {
		return Answered, conflict(j.Id)
	}
	if js.answer != nil {
		return Answered, js.answer
	}
	return Joined, nil
}

// admit returns a new job's tasks for the scheduler, or the answer that refuses the
// job.
func (e *Entry) admit(now time.Time, j *pb.Job, name string) (*place.Job, *pb.Answer) {
	c := e.contract(now, j.Contract)
	switch {
	case e.leaving:
		return nil, refuse(j.Id, jobs.CodeLeaving, "the entry is shutting down", time.Second)
	case c == nil || c.Deleted:
		return nil, refuse(j.Id, jobs.CodeUnknownContract, "no such contract", 0)
	case len(j.Tasks) == 0 || len(j.Tasks) > jobs.MaxTasks:
		return nil, refuse(j.Id, jobs.CodeBadRequest, "a job has 1 to 160 tasks", 0)
	case e.deadlines.Len() >= e.opts.MaxJobs:
		return nil, refuse(j.Id, jobs.CodeOverloaded, "the entry has reached its limit of open jobs", time.Second)
	}
	j.TimeoutMs = cmp.Or(j.TimeoutMs, c.DefaultTimeoutMs)
	queued, request := e.plan(now, j, c)
	queued.ID = name
	if answer := e.refusal(now, j, request); answer != nil {
		return nil, answer
	}
	return queued, nil
}

func (e *Entry) addJob(now time.Time, j *pb.Job, name string, period, digest uint64, queued *place.Job) {
	js := &jobState{
		name: name, job: j, digest: digest, openTasks: len(j.Tasks), period: period,
		deadline: now.Add(time.Duration(j.TimeoutMs) * time.Millisecond),
		tasks:    make([]taskState, len(j.Tasks)), queued: queued, class: e.policy.contracts[j.Contract].GetClass(),
	}
	starts := make([]pb.TaskStart, len(j.Tasks))
	for i, t := range j.Tasks {
		s := &starts[i]
		s.Task, s.Payload, s.CpuMillis = uint32(i), t.Payload, t.CpuMillis
		js.tasks[i] = taskState{job: js, index: uint32(i), start: s}
	}
	for _, w := range queued.Tasks {
		starts[w.Number].MemoryBytes = w.Memory
		js.tasks[w.Number].run = w.RunTime
	}
	e.policy.sched.Push(queued)
	e.jobs[name] = js
	e.deadlines.Push(js)
}

// Fetch returns the answer of a job, nil while it has none, and whether the job is
// known.
func (e *Entry) Fetch(jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[job.Name(contract, jobID)]
	if js == nil {
		return nil, false
	}
	return js.answer, true
}

// Cancel ends a job of the contract. It does nothing if the job is unknown or has
// ended.
func (e *Entry) Cancel(now time.Time, jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[job.Name(contract, jobID)]
	if js == nil {
		return nil, false
	}
	if js.answer == nil {
		e.record(now, event.JobCancelled, jobID, contract, "", js.openTasks)
		e.endEarly(now, js, jobs.CodeCancelled, "cancelled by the caller")
	}
	return js.answer, true
}

func (e *Entry) expireJobs(now time.Time) {
	for e.deadlines.Len() > 0 && !now.Before(e.deadlines.First().deadline) {
		js := e.deadlines.First()
		if js.pending != nil {
			e.answerPending(now, js)
			continue
		}
		e.endEarly(now, js, jobs.CodeDeadline, "the deadline has passed")
	}
}

// endEarly ends a job that has unfinished tasks. Tasks not sent yet are dropped, and
// the others revoked. If the agents may still confirm that nothing has run, the
// answer waits up to RevokeWait for it: "not run" is worth more to the caller than
// "failed".
func (e *Entry) endEarly(now time.Time, js *jobState, code jobs.Code, message string) {
	if js.pending != nil {
		return
	}
	js.pending = &pb.Answer{Job: js.job.Id, Code: string(code), Message: message}
	reachable := e.revokeAll(js)
	if js.openTasks == 0 || js.mayHaveRun || !reachable {
		e.answerPending(now, js)
		return
	}
	js.deadline = now.Add(e.opts.RevokeWait)
	e.deadlines.Fix(js.heapPos)
}

// answerPending sends the pending answer of a job. The outcome is "not run" if that
// is confirmed by now, and "failed" otherwise.
func (e *Entry) answerPending(now time.Time, js *jobState) {
	js.pending.Outcome = pb.Outcome_OUTCOME_FAILED
	if js.openTasks == 0 && !js.mayHaveRun {
		js.pending.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	e.answer(now, js, js.pending)
}

// revokeAll withdraws or revokes the unfinished tasks, with one message per agent.
// It reports whether every agent that may have started one has a link.
func (e *Entry) revokeAll(js *jobState) (reachable bool) {
	reachable = true
	e.dropWaiting(js)
	for i := range js.tasks {
		t := &js.tasks[i]
		if t.phase != sent {
			continue
		}
		if t.seq == 0 {
			e.withdraw(t)
			continue
		}
		t.agent.revoke(t)
		reachable = reachable && t.agent.session.IsUp()
	}
	return reachable
}

// refundCredits restores the credits of a start that will not be sent.
func (e *Entry) refundCredits(a *agent, t *taskState) {
	if known := e.policy.sched.Pool.Agent(a.hello.Agent); known != nil && a.session.IsUp() {
		e.policy.sched.Pool.Grant(known, known.Units(t.start.MemoryBytes))
	}
}

// withdraw cancels a start that has not left this process.
func (e *Entry) withdraw(t *taskState) {
	a := t.agent
	a.untrack(t)
	e.refundCredits(a, t)
	e.release(a, t)
	t.phase = ended
	t.job.openTasks--
}

// answer ends a job. The answer carries every result, or none.
func (e *Entry) answer(now time.Time, js *jobState, a *pb.Answer) {
	js.answer = a
	js.answeredAt = now
	for _, r := range a.Results {
		js.resultBytes += len(r.Body)
	}
	e.answerBytes += js.resultBytes
	e.deadlines.Remove(js.heapPos)
	e.answeredJobs = append(e.answeredJobs, js)
	e.ready.Answers = append(e.ready.Answers, JobAnswer{Contract: js.job.Contract, Answer: a})
}

// taskEnded applies a task's result.
func (e *Entry) taskEnded(now time.Time, t *taskState, res *pb.TaskResult) {
	js := t.job
	t.phase = ended
	t.result = res
	js.mayHaveRun = true
	js.openTasks--
	if js.answer != nil {
		e.removeDropped(now, js)
		return
	}
	switch res.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		switch {
		case js.openTasks == 0 && js.allComplete():
			e.complete(now, js)
		case js.pending != nil:
			e.answerPending(now, js)
		}
	case pb.Outcome_OUTCOME_UNKNOWN:
		e.revokeAll(js)
		e.answer(now, js, unknown(js.job.Id, jobs.CodeAgentLost, res.Error))
	default:
		if js.pending != nil {
			e.answerPending(now, js)
			return
		}
		e.endEarly(now, js, jobs.CodeTaskFailed, res.Error)
	}
}

// allComplete reports whether every task has a complete result. Tasks may have been
// dropped or refused while the job was ending.
func (js *jobState) allComplete() bool {
	for i := range js.tasks {
		if r := js.tasks[i].result; r == nil || r.Outcome != pb.Outcome_OUTCOME_COMPLETE {
			return false
		}
	}
	return true
}

func (e *Entry) complete(now time.Time, js *jobState) {
	a := &pb.Answer{Job: js.job.Id, Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: make([]*pb.TaskResult, len(js.tasks))}
	for i := range js.tasks {
		a.Results[i] = js.tasks[i].result
	}
	e.answer(now, js, a)
}

// taskRefused handles an agent's confirmation that it has not started a task and
// never will for the start that it was sent.
func (e *Entry) taskRefused(now time.Time, t *taskState, res *pb.TaskResult) {
	if res.Error == job.RefusedFenced && t.job.pending == nil && t.job.answer == nil {
		// Another entry considers this one dead and is recovering the job. Starting
		// the task elsewhere could contradict the answer that it gives the caller.
		t.phase = ended
		t.job.openTasks--
		e.endEarly(now, t.job, jobs.CodeHomeLost, "another entry took over the job's recovery")
		return
	}
	if !job.RefusedByAgent(res.Error) && e.refusedByEndpoint(now, t) {
		return
	}
	e.requeue(now, t)
}

// requeue makes a task wait again after its agent has confirmed that it did not run.
func (e *Entry) requeue(now time.Time, t *taskState) {
	js := t.job
	t.agent, t.seq, t.revoked = nil, 0, false
	if js.answer == nil && js.pending == nil {
		t.phase = waiting
		e.policy.sched.Requeue(js.queued, place.Task{Number: t.index, RunTime: t.run, Memory: t.start.MemoryBytes})
		return
	}
	t.phase = ended
	js.openTasks--
	switch {
	case js.answer != nil:
		e.removeDropped(now, js)
	case js.openTasks == 0:
		e.answerPending(now, js)
	}
}

// dropAnswers drops answers older than AnswerTTL, and the oldest ones beyond MaxJobs
// and MaxAnswerBytes. Their ids stay retired.
func (e *Entry) dropAnswers(now time.Time) {
	for len(e.answeredJobs) > 0 {
		js := e.answeredJobs[0]
		if len(e.answeredJobs) <= e.opts.MaxJobs && e.answerBytes <= e.opts.MaxAnswerBytes &&
			now.Before(js.answeredAt.Add(e.opts.AnswerTTL)) {
			return
		}
		e.answeredJobs = e.answeredJobs[1:]
		e.answerBytes -= js.resultBytes
		v := ranBefore
		if js.answer.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
			v = verdictOf(js.answer.Code)
		}
		if js.period == keyPeriod {
			e.retired.addKey(now, js.name, v)
		} else {
			e.retired.add(now, js.period, js.name, v)
		}
		js.answer = retiredAnswer(js.job.Id, v)
		if js.openTasks > 0 {
			js.job = withoutPayloads(js.job)
		}
		js.dropped = true
		e.removeDropped(now, js)
	}
}

// withoutPayloads returns a copy of a job with the fields that results arriving after
// the answer was dropped are still evaluated with.
func withoutPayloads(j *pb.Job) *pb.Job {
	out := &pb.Job{Id: j.Id, Contract: j.Contract, Kind: j.Kind, TimeoutMs: j.TimeoutMs}
	for _, t := range j.Tasks {
		out.Tasks = append(out.Tasks, &pb.Task{MemoryBytes: t.MemoryBytes, CpuMillis: t.CpuMillis, RunMillis: t.RunMillis})
	}
	return out
}

// removeDropped removes a job whose answer was dropped, once no agent holds any of
// its tasks: until then a result that still arrives must find its task.
func (e *Entry) removeDropped(_ time.Time, js *jobState) {
	if js.dropped && js.openTasks == 0 {
		delete(e.jobs, js.name)
	}
}

func refuse(id string, code jobs.Code, message string, retry time.Duration) *pb.Answer {
	return &pb.Answer{
		Job: id, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Code: string(code), Message: message,
		RetryAfterMs: uint32(retry / time.Millisecond),
	}
}

func unknown(id string, code jobs.Code, message string) *pb.Answer {
	return &pb.Answer{Job: id, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Code: string(code), Message: message}
}

// rejectRequest rejects a request that does not concern the job of that id. The
// answer has no outcome, since that of the job is unaffected.
func rejectRequest(id string, code jobs.Code, message string) *pb.Answer {
	return &pb.Answer{Job: id, Code: string(code), Message: message}
}

func conflict(id string) *pb.Answer {
	return rejectRequest(id, jobs.CodeConflict, "the id was used before with another body; nothing of this one was started")
}

// Before implements indexheap.Item. The earliest deadline comes first.
func (js *jobState) Before(o *jobState) bool { return js.deadline.Before(o.deadline) }

// SetPos implements indexheap.Item.
func (js *jobState) SetPos(pos int) { js.heapPos = pos }
