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

// phase is how far a task has come.
type phase uint8

const (
	// waiting: not sent to any agent, or refused by the one it was sent to.
	waiting phase = iota
	// sent: given to an agent process, which may have started it.
	sent
	// ended: the result is known, or nobody waits for it any more.
	ended
)

// jobState is a job from its acceptance until its answer is dropped.
type jobState struct {
	name     string // job.Name
	job      *pb.Job
	digest   uint64
	period   uint64 // of the id's home token
	deadline time.Time
	heapPos  int
	tasks    []taskState
	queued   *place.Job // the tasks that wait
	class    pb.Class
	open     int  // tasks that have not ended
	ran      bool // some task has run, or may have, and that won't change
	ending   *pb.Answer
	answer   *pb.Answer
	answered time.Time
	size     int // bytes of results in the answer
	dropped  bool
}

type taskState struct {
	job     *jobState
	index   uint32
	phase   phase
	agent   *agent
	pos     int    // in agent.tasks
	seq     uint64 // of the frame that carried the start last; zero: none has
	revoked bool
	start   *pb.TaskStart
	run     time.Duration // as estimated
	result  *pb.TaskResult
	// refusals counts those of endpoints that did not begin the task.
	refusals int
}

// Admission says what became of a submission.
type Admission uint8

// Admissions.
const (
	// Accepted: the job runs; its answer comes with Ready.
	Accepted Admission = iota
	// Joined: the same job was submitted before and runs.
	Joined
	// Answered: the answer is at hand.
	Answered
)

// Submit takes in a job of this home. A job that was submitted before is joined,
// never started again, and one that was refused stays refused. The answer is set
// when the admission is Answered; then nothing was started by this call.
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
		return Answered, otherJob(j.Id, jobs.CodeBadRequest, "the id does not name this entry")
	}
	period := id.Home.Period
	if !e.spent.live(now, period) {
		// The entry may have run this id and forgotten it since. Starting it again
		// would be the second start that the caller can't see.
		return Answered, unknown(j.Id, jobs.CodeNotFound, "the id's home token has expired")
	}
	if v, ok := e.spent.find(period, name); ok {
		return Answered, spentAnswer(j.Id, v)
	}
	queued, answer := e.admit(now, j, name)
	if answer != nil {
		e.recordRefusal(now, j, answer)
		e.spent.add(now, period, name, verdictOf(answer.Code))
		return Answered, answer
	}
	e.takeIn(now, j, name, period, digest, queued)
	return Accepted, nil
}

func (e *Entry) takeIn(now time.Time, j *pb.Job, name string, period, digest uint64, queued *place.Job) {
	e.record(now, event.JobAccepted, j.Id, j.Contract, j.Kind, len(j.Tasks))
	e.accept(now, j, name, period, digest, queued)
}

func spentAnswer(id string, v verdict) *pb.Answer {
	if v == ranBefore {
		return unknown(id, jobs.CodeNotFound, "the job has ended and its answer is no longer kept")
	}
	return refuse(id, refusalCodes[v], "the id was refused before; a new attempt takes a new id", 0)
}

// digestOf tells bodies apart that are sent under the same id.
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

// admit returns a new job's tasks as the scheduler takes them, or why the job
// must not run.
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
		return nil, refuse(j.Id, jobs.CodeOverloaded, "the entry holds as many jobs as it can", time.Second)
	}
	j.TimeoutMs = cmp.Or(j.TimeoutMs, c.DefaultTimeoutMs)
	queued, request := e.plan(now, j, c)
	queued.ID = name
	if answer := e.refusal(now, j, request); answer != nil {
		return nil, answer
	}
	return queued, nil
}

func (e *Entry) accept(now time.Time, j *pb.Job, name string, period, digest uint64, queued *place.Job) {
	js := &jobState{
		name: name, job: j, digest: digest, open: len(j.Tasks), period: period,
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
		js.tasks[w.Number].run = w.Run
	}
	e.policy.sched.Push(queued)
	e.jobs[name] = js
	e.deadlines.Push(js)
}

// Fetch returns the answer of a job, or that it is known and runs.
func (e *Entry) Fetch(jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[job.Name(contract, jobID)]
	if js == nil {
		return nil, false
	}
	return js.answer, true
}

// Cancel ends a job of the contract. It does nothing for an unknown or ended one.
func (e *Entry) Cancel(now time.Time, jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[job.Name(contract, jobID)]
	if js == nil {
		return nil, false
	}
	if js.answer == nil {
		e.record(now, event.JobCancelled, jobID, contract, "", js.open)
		e.endEarly(now, js, jobs.CodeCancelled, "cancelled by the caller")
	}
	return js.answer, true
}

func (e *Entry) expireJobs(now time.Time) {
	for e.deadlines.Len() > 0 && !now.Before(e.deadlines.First().deadline) {
		js := e.deadlines.First()
		if js.ending != nil {
			e.answerEnded(now, js)
			continue
		}
		e.endEarly(now, js, jobs.CodeDeadline, "the deadline has passed")
	}
}

// endEarly ends a job that has tasks left. Those not sent are dropped, and the
// others revoked. Where the agents' proof that nothing has run may come within
// RevokeWait, the answer waits for it: "not run" is worth more to the caller than
// "failed".
func (e *Entry) endEarly(now time.Time, js *jobState, code jobs.Code, message string) {
	if js.ending != nil {
		return
	}
	js.ending = &pb.Answer{Job: js.job.Id, Code: string(code), Message: message}
	reachable := e.revokeAll(js)
	if js.open == 0 || js.ran || !reachable {
		e.answerEnded(now, js)
		return
	}
	js.deadline = now.Add(e.opts.RevokeWait)
	e.deadlines.Fix(js.heapPos)
}

// answerEnded answers a job that is ending with what is proven by now.
func (e *Entry) answerEnded(now time.Time, js *jobState) {
	js.ending.Outcome = pb.Outcome_OUTCOME_FAILED
	if js.open == 0 && !js.ran {
		js.ending.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	e.answer(now, js, js.ending)
}

// revokeAll withdraws what has not ended, with one message per agent. It reports
// whether every agent that may have started something has a link.
func (e *Entry) revokeAll(js *jobState) (reachable bool) {
	reachable = true
	e.drop(js)
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

// unspend gives back the credits of a start that is not sent after all.
func (e *Entry) unspend(a *agent, t *taskState) {
	if known := e.policy.sched.Pool.Agent(a.hello.Agent); known != nil && a.session.IsUp() {
		e.policy.sched.Pool.Grant(known, known.Units(t.start.MemoryBytes))
	}
}

// withdraw takes back a start that has not left this process.
func (e *Entry) withdraw(t *taskState) {
	a := t.agent
	a.untrack(t)
	e.unspend(a, t)
	e.release(a, t)
	t.phase = ended
	t.job.open--
}

// answer ends a job. The answer is complete with every result, or has none.
func (e *Entry) answer(now time.Time, js *jobState, a *pb.Answer) {
	js.answer = a
	js.answered = now
	for _, r := range a.Results {
		js.size += len(r.Body)
	}
	e.answerBytes += js.size
	e.deadlines.Remove(js.heapPos)
	e.ended = append(e.ended, js)
	e.ready.Answers = append(e.ready.Answers, Ended{Contract: js.job.Contract, Answer: a})
}

// taskEnded takes in a task's result.
func (e *Entry) taskEnded(now time.Time, t *taskState, res *pb.TaskResult) {
	js := t.job
	t.phase = ended
	t.result = res
	js.ran = true
	js.open--
	if js.answer != nil {
		e.finishDrop(now, js)
		return
	}
	switch res.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		switch {
		case js.open == 0 && js.allComplete():
			e.complete(now, js)
		case js.ending != nil:
			e.answerEnded(now, js)
		}
	case pb.Outcome_OUTCOME_UNKNOWN:
		e.revokeAll(js)
		e.answer(now, js, unknown(js.job.Id, jobs.CodeAgentLost, res.Error))
	default:
		if js.ending != nil {
			e.answerEnded(now, js)
			return
		}
		e.endEarly(now, js, jobs.CodeTaskFailed, res.Error)
	}
}

// allComplete reports whether each task has a result; some may have been dropped
// or refused while the job was ending.
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

// refused takes in that an agent has not started a task and never will under the
// start it was sent.
func (e *Entry) refused(now time.Time, t *taskState, res *pb.TaskResult) {
	if res.Error == job.RefusedFenced && t.job.ending == nil && t.job.answer == nil {
		// Another entry took this one for dead and is gathering the job's results;
		// starting the task elsewhere could contradict what it tells the caller.
		t.phase = ended
		t.job.open--
		e.endEarly(now, t.job, jobs.CodeHomeLost, "another entry took over the job's recovery")
		return
	}
	if !job.RefusedByAgent(res.Error) && e.refusedByEndpoint(now, t) {
		return
	}
	e.requeue(now, t)
}

// requeue puts back a task that its agent has proven not to run.
func (e *Entry) requeue(now time.Time, t *taskState) {
	js := t.job
	t.agent, t.seq, t.revoked = nil, 0, false
	if js.answer == nil && js.ending == nil {
		t.phase = waiting
		e.policy.sched.PutBack(js.queued, place.Task{Number: t.index, Run: t.run, Memory: t.start.MemoryBytes})
		return
	}
	t.phase = ended
	js.open--
	switch {
	case js.answer != nil:
		e.finishDrop(now, js)
	case js.open == 0:
		e.answerEnded(now, js)
	}
}

// forgetOld drops answers that were kept long enough, and the oldest of those
// that are too many. Their ids stay spent.
func (e *Entry) forgetOld(now time.Time) {
	for len(e.ended) > 0 {
		js := e.ended[0]
		if len(e.ended) <= e.opts.MaxJobs && e.answerBytes <= e.opts.MaxAnswerBytes &&
			now.Before(js.answered.Add(e.opts.AnswerTTL)) {
			return
		}
		e.ended = e.ended[1:]
		e.answerBytes -= js.size
		v := ranBefore
		if js.answer.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
			v = verdictOf(js.answer.Code)
		}
		if js.period == keyPeriod {
			e.spent.addKey(now, js.name, v)
		} else {
			e.spent.add(now, js.period, js.name, v)
		}
		js.answer = spentAnswer(js.job.Id, v)
		if js.open > 0 {
			js.job = withoutPayloads(js.job)
		}
		js.dropped = true
		e.finishDrop(now, js)
	}
}

// withoutPayloads is what late results of a job's tasks are judged by.
func withoutPayloads(j *pb.Job) *pb.Job {
	out := &pb.Job{Id: j.Id, Contract: j.Contract, Kind: j.Kind, TimeoutMs: j.TimeoutMs}
	for _, t := range j.Tasks {
		out.Tasks = append(out.Tasks, &pb.Task{MemoryBytes: t.MemoryBytes, CpuMillis: t.CpuMillis, RunMillis: t.RunMillis})
	}
	return out
}

// finishDrop forgets a job whose answer was dropped, once no agent holds a task
// of it: until then a late result must find its task.
func (e *Entry) finishDrop(_ time.Time, js *jobState) {
	if js.dropped && js.open == 0 {
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

// otherJob answers a request that is not about the job of that id, whose
// outcome therefore stays open.
func otherJob(id string, code jobs.Code, message string) *pb.Answer {
	return &pb.Answer{Job: id, Code: string(code), Message: message}
}

func conflict(id string) *pb.Answer {
	return otherJob(id, jobs.CodeConflict, "the id was used for another body, of which nothing was started")
}

// Before implements indexheap.Item: the next deadline first.
func (js *jobState) Before(o *jobState) bool { return js.deadline.Before(o.deadline) }

// SetPos implements indexheap.Item.
func (js *jobState) SetPos(pos int) { js.heapPos = pos }
