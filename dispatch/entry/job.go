package entry

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

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
	// sent: on its way to an agent process, which may have started it.
	sent
	// received: the agent process has acknowledged the start.
	received
	// ended: the result is known, or nobody waits for it any more.
	ended
)

// jobState is a job from its acceptance until its id is forgotten.
type jobState struct {
	job      *pb.Job
	digest   uint64
	deadline time.Time
	heapPos  int
	tasks    []taskState
	queued   *place.Job // the tasks that wait
	open     int        // tasks that have not ended
	touched  bool       // some task may have started
	answer   *pb.Answer
	answered time.Time
	issued   time.Duration // uptime when the id's token was handed out
}

type taskState struct {
	job    *jobState
	index  uint32
	phase  phase
	agent  *agent
	pos    int // in agent.tasks
	seq    uint64
	start  *pb.TaskStart
	run    time.Duration // as estimated
	result *pb.TaskResult
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
// never started again. The answer is set when the admission is Answered; then
// nothing was started by this call.
func (e *Entry) Submit(now time.Time, j *pb.Job) (Admission, *pb.Answer) {
	digest := digestOf(j)
	if js := e.jobs[j.Id]; js != nil {
		e.record(now, event.JobJoined, j.Id, j.Contract, "", len(j.Tasks))
		return e.resubmit(js, j, digest)
	}
	c, answer := e.admit(now, j)
	if answer != nil {
		e.recordRefusal(now, j, answer)
		return Answered, answer
	}
	queued, request := e.plan(now, j, c)
	if answer := e.refusal(now, j, request); answer != nil {
		e.recordRefusal(now, j, answer)
		return Answered, answer
	}
	e.record(now, event.JobAccepted, j.Id, j.Contract, j.Kind, len(j.Tasks))
	e.accept(now, j, digest, queued)
	return Accepted, nil
}

func digestOf(j *pb.Job) uint64 {
	c := &pb.Job{Contract: j.Contract, Kind: j.Kind, TimeoutMs: j.TimeoutMs, Tasks: j.Tasks}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (e *Entry) resubmit(js *jobState, j *pb.Job, digest uint64) (Admission, *pb.Answer) {
	if js.job.Contract != j.Contract || js.digest != digest {
		return Answered, refuse(j.Id, jobs.CodeConflict, "the id was used for another job", 0)
	}
	if js.answer != nil {
		return Answered, js.answer
	}
	return Joined, nil
}

// admit returns a new job's contract, or why the job must not run.
func (e *Entry) admit(now time.Time, j *pb.Job) (*pb.Contract, *pb.Answer) {
	id, err := job.Parse(j.Id)
	if err != nil || !id.HasHome() || id.Home.Incarnation != e.opts.Hello.Incarnation {
		return nil, refuse(j.Id, jobs.CodeBadRequest, "the id does not name this entry", 0)
	}
	if now.Sub(e.opts.Started)-id.Home.IssuedAt() > e.opts.TokenTTL {
		// The entry may have run this id and forgotten it since. Starting it again
		// would be the second start that the caller can't see.
		return nil, unknown(j.Id, jobs.CodeNotFound, "the id's home token has expired")
	}
	c := e.contract(now, j.Contract)
	switch {
	case e.leaving:
		return nil, refuse(j.Id, jobs.CodeLeaving, "the entry is shutting down", time.Second)
	case c == nil || c.Deleted:
		return nil, refuse(j.Id, jobs.CodeUnknownContract, "no such contract", 0)
	case len(j.Tasks) == 0 || len(j.Tasks) > jobs.MaxTasks:
		return nil, refuse(j.Id, jobs.CodeBadRequest, "a job has 1 to 160 tasks", 0)
	case len(e.jobs) >= e.opts.MaxJobs:
		return nil, refuse(j.Id, jobs.CodeOverloaded, "the entry holds as many jobs as it can", time.Second)
	}
	if j.TimeoutMs == 0 {
		j.TimeoutMs = c.DefaultTimeoutMs
	}
	return c, nil
}

func (e *Entry) accept(now time.Time, j *pb.Job, digest uint64, queued *place.Job) {
	id, _ := job.Parse(j.Id)
	js := &jobState{
		job: j, digest: digest, open: len(j.Tasks), issued: id.Home.IssuedAt(),
		deadline: now.Add(time.Duration(j.TimeoutMs) * time.Millisecond),
		tasks:    make([]taskState, len(j.Tasks)), queued: queued,
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
	e.jobs[j.Id] = js
	heap.Push(&e.deadlines, js)
}

// Fetch returns the answer of a job, or that it is known and runs.
func (e *Entry) Fetch(jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[jobID]
	if js == nil || js.job.Contract != contract {
		return nil, false
	}
	return js.answer, true
}

// Cancel ends a job of the contract. It does nothing for an unknown or ended one.
func (e *Entry) Cancel(now time.Time, jobID, contract string) (answer *pb.Answer, known bool) {
	js := e.jobs[jobID]
	if js == nil || js.job.Contract != contract {
		return nil, false
	}
	if js.answer == nil {
		e.record(now, event.JobCancelled, jobID, contract, "", js.open)
		e.endEarly(now, js, jobs.CodeCancelled, "cancelled by the caller")
	}
	return js.answer, true
}

func (e *Entry) expire(now time.Time, js *jobState) {
	e.endEarly(now, js, jobs.CodeDeadline, "the deadline has passed")
}

// endEarly answers a job that has tasks left. Those not sent are dropped, and
// the others revoked. The caller is not kept waiting for the revocations: without
// them "not run" can't be proven, so the outcome is then "failed".
func (e *Entry) endEarly(now time.Time, js *jobState, code jobs.Code, message string) {
	e.revokeAll(js)
	if js.touched {
		e.answer(now, js, &pb.Answer{Job: js.job.Id, Outcome: pb.Outcome_OUTCOME_FAILED, Code: string(code), Message: message})
		return
	}
	e.answer(now, js, refuse(js.job.Id, code, message, 0))
}

// revokeAll withdraws what has not ended, with one message per agent.
func (e *Entry) revokeAll(js *jobState) {
	e.drop(js)
	for i := range js.tasks {
		if t := &js.tasks[i]; t.phase == sent || t.phase == received {
			t.agent.revoke(t)
		}
	}
}

// answer ends a job. The answer is complete with every result, or has none.
func (e *Entry) answer(now time.Time, js *jobState, a *pb.Answer) {
	js.answer = a
	js.answered = now
	heap.Remove(&e.deadlines, js.heapPos)
	e.ended = append(e.ended, js)
	e.ready.Answers = append(e.ready.Answers, a)
}

// taskEnded takes in a task's result.
func (e *Entry) taskEnded(now time.Time, t *taskState, res *pb.TaskResult) {
	js := t.job
	t.phase = ended
	t.result = res
	js.touched = true
	js.open--
	if js.answer != nil {
		return
	}
	switch res.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		if js.open == 0 {
			e.complete(now, js)
		}
	case pb.Outcome_OUTCOME_UNKNOWN:
		e.revokeAll(js)
		e.answer(now, js, unknown(js.job.Id, jobs.CodeAgentLost, res.Error))
	default:
		e.endEarly(now, js, jobs.CodeTaskFailed, res.Error)
	}
}

func (e *Entry) complete(now time.Time, js *jobState) {
	a := &pb.Answer{Job: js.job.Id, Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: make([]*pb.TaskResult, len(js.tasks))}
	for i := range js.tasks {
		a.Results[i] = js.tasks[i].result
	}
	e.answer(now, js, a)
}

// requeue puts back a task that its agent has proven not to run.
func (e *Entry) requeue(t *taskState) {
	t.phase = waiting
	t.agent = nil
	if t.job.answer != nil {
		t.phase = ended
		t.job.open--
		return
	}
	e.policy.sched.PutBack(t.job.queued, place.Task{Number: t.index, Run: t.run, Memory: t.start.MemoryBytes})
}

// forgetAt is when an ended job may be dropped: its answer has been kept long
// enough, and its id can no longer start anything.
func (e *Entry) forgetAt(js *jobState) time.Time {
	keep := js.answered.Add(e.opts.AnswerTTL)
	expired := e.opts.Started.Add(js.issued + e.opts.TokenTTL + time.Millisecond)
	if expired.After(keep) {
		return expired
	}
	return keep
}

func (e *Entry) forgetOld(now time.Time) {
	n := 0
	for ; n < len(e.ended) && !now.Before(e.forgetAt(e.ended[n])); n++ {
		delete(e.jobs, e.ended[n].job.Id)
	}
	e.ended = e.ended[n:]
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

// deadlineHeap holds the jobs without an answer, the next deadline first.
type deadlineHeap []*jobState

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	js := x.(*jobState)
	js.heapPos = len(*h)
	*h = append(*h, js)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	js := old[len(old)-1]
	*h = old[:len(old)-1]
	return js
}
