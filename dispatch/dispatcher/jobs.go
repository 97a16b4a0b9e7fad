package dispatcher

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Job is a caller's request.
type Job struct {
	ID    string
	Queue *pb.Queue
	// Version of the configuration in which the queue was found.
	Version uint64
	Payload string
	Steps   []Step
	// TimeLimit is how long the caller waits; zero: the queue's limit. It may exceed the
	// queue's limit: a task that runs longer still has an answer for which the caller
	// waits.
	TimeLimit time.Duration
	// Unsupported names a feature that the job asks for and this product lacks.
	Unsupported string
}

// Step is a set of similar tasks of a job.
type Step struct {
	Count     int
	Size      size.Size
	Estimated time.Duration
	// After lists the steps that must have ended before.
	After []int
	// Rack holds the tasks' data; elsewhere they take longer.
	Rack string
	// Requires is a label that a worker must have; empty: any worker.
	Requires string
	// MaxPerWorker limits the step's concurrent tasks at one worker; zero: no limit.
	MaxPerWorker int
}

// Limits of a job.
const (
	// MaxSteps and MaxTasks bound the memory that one job may take.
	MaxSteps = 64
	MaxTasks = 4096
)

type job struct {
	Job
	number   uint64
	queue    *pb.Queue
	arrived  time.Time
	placeBy  time.Time // refused unless an order has been sent by then
	deadline time.Time
	// usefulUntil is the time after which an answer is of no use to the caller.
	usefulUntil time.Time
	// minOrderWait is how long an order may always wait at one worker.
	minOrderWait time.Duration
	// late: admitted although it is expected to miss its objective.
	late bool
	// held: it arrived before the agents completed their handshakes, or other entries
	// were asked for workers that fit, and it is admitted or refused afterwards.
	held bool
	// requested: other entries were asked for workers that fit, until requestedUntil.
	requested      bool
	requestedUntil time.Time
	// objective is when it should have ended, and startBy when its critical path must
	// begin for that.
	objective time.Time
	startBy   time.Time
	// criticalPath is the expected time of its longest chain of steps.
	criticalPath time.Duration
	dueAt        time.Time
	heapPos      int

	steps     []step
	openTasks int // tasks not ended
	waiting   []*task
	orders    []*order // not ended
	failedAt  []*agent // at which a run of it has failed
	ordered   bool     // some order has left this process and was not refused
	started   bool     // some task has started
	ended     bool
	queued    bool // in its service's waitlist
	// previous is an earlier attempt at the same job whose runs have not ended.
	previous *job
	// next is the attempt that waits for this one's runs to end.
	next *job
	// highestRun is the highest run number used for any of its tasks.
	highestRun uint32
}

// Before implements indexheap.Item: the job with the earliest timer comes first.
func (j *job) Before(o *job) bool { return j.dueAt.Before(o.dueAt) }

// SetPos implements indexheap.Item.
func (j *job) SetPos(pos int) { j.heapPos = pos }

type step struct {
	Step
	openTasks int
	blocked   int // number of unfinished steps it depends on
	expected  time.Duration
	chainTime time.Duration // expected time of the longest chain that begins with it
	// shortestRun is the shortest run of a task of the step, as if at speed 1; zero: none has
	// ended.
	shortestRun time.Duration
}

type task struct {
	job      *job
	step     int
	index    int
	lastRun  uint32
	failures int
	done     bool
	// firstOrderedAt is when it was first ordered, and predictedWait its predicted wait then.
	firstOrderedAt time.Time
	predictedWait  time.Duration
	// avoid lists agents where the task failed, stalled or was refused for a lasting
	// reason.
	avoid []*agent
}

func (t *task) sameStep(o *task) bool { return t.job == o.job && t.step == o.step }

func (t *task) name() string {
	return t.job.ID + ".0." + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index)
}

const defaultTimeout = 30 * time.Second

// Submit admits or refuses a job; the answer is set if it is refused at once. A job that
// is already open is joined: starting it again would run its tasks twice at a time.
func (d *Dispatcher) Submit(now time.Time, in Job) (number uint64, refused *Answer) {
	if j := d.byID[jobKey(in.Queue.Name, in.ID)]; j != nil {
		return j.number, nil
	}
	d.recordFirstInput(now)
	d.lastJob++
	j := &job{Job: in, number: d.lastJob, queue: in.Queue, arrived: now}
	longest := d.plan(j)
	j.criticalPath = longest
	limit := cmp.Or(time.Duration(in.Queue.TimeoutMs)*time.Millisecond, defaultTimeout)
	if in.TimeLimit > 0 {
		limit = in.TimeLimit
	}
	objective := time.Duration(in.Queue.TargetMs)*time.Millisecond + time.Duration(in.Queue.Stretch*float64(longest))
	objective = min(objective, limit)
	j.deadline = now.Add(limit)
	d.capDeadline(j)
	j.objective = now.Add(objective)
	j.usefulUntil = link.Earlier(now.Add(usefulFactor*objective), j.deadline)
	j.placeBy = j.usefulUntil.Add(-longest)
	j.minOrderWait = time.Duration(minOrderWaitShare * float64(objective))
	j.startBy = j.objective.Add(-longest)
	j.previous = d.ending[jobKey(in.Queue.Name, in.ID)]
	a := d.refusal(now, j)
	var chosen []placement
	if a == nil && j.previous == nil {
		chosen, a = d.admitOrHold(now, j)
	}
	if a != nil {
		a.Number = j.number
		d.logAnswer(now, j, *a)
		return j.number, a
	}
	if j.previous != nil {
		j.previous.next = j
	}
	d.jobs[j.number] = j
	d.byID[jobKey(in.Queue.Name, in.ID)] = j
	j.dueAt = j.placeBy
	if j.held {
		j.dueAt = link.Earlier(j.placeBy, d.admitBy(j))
	}
	d.jobTimers.Push(j)
	d.sendChosen(now, chosen)
	d.enqueue(j)
	return j.number, nil
}

func jobKey(queue, id string) string { return queue + "/" + id }

// plan initializes the steps and returns the expected time of the critical path.
func (d *Dispatcher) plan(j *job) time.Duration {
	j.steps = make([]step, len(j.Steps))
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		j.steps[i] = step{Step: s, openTasks: s.Count, blocked: len(s.After), expected: d.expectedRun(j.queue.Name, s.Estimated)}
		j.openTasks += s.Count
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += j.steps[i].expected
		longest = max(longest, ends[i])
	}
	for i := len(j.steps) - 1; i >= 0; i-- {
		s := &j.steps[i]
		s.chainTime += s.expected
		for _, before := range s.After {
			j.steps[before].chainTime = max(j.steps[before].chainTime, s.chainTime)
		}
	}
	return longest
}

// startBy is when a task must start for its job to end within its objective.
func (t *task) startBy() time.Time { return t.job.objective.Add(-t.job.steps[t.step].chainTime) }

// latestStart is when a task must start for its job's answer to be of use.
func (t *task) latestStart() time.Time { return t.job.usefulUntil.Add(-t.job.steps[t.step].chainTime) }

// release makes the tasks of unblocked steps eligible for placement.
func (d *Dispatcher) release(j *job) {
	d.unblock(j)
	d.enqueue(j)
}

// unblock appends the tasks of steps without unfinished dependencies to the waiting ones.
func (d *Dispatcher) unblock(j *job) {
	for i := range j.steps {
		s := &j.steps[i]
		if s.blocked != 0 {
			continue
		}
		s.blocked = -1 // released
		for n := range s.Count {
			j.waiting = append(j.waiting, &task{job: j, step: i, index: n})
		}
	}
}

// handleJobTimer handles a job that has waited as long as it may, or reached its deadline.
func (d *Dispatcher) handleJobTimer(now time.Time, j *job) {
	switch {
	case !now.Before(j.deadline):
		d.abandon(now, j, d.deadlineReason(j))
	case j.held && !j.ordered:
		d.admitHeld(now, j)
	case !j.ordered:
		d.abandon(now, j, ReasonNoFreeWorker)
	default:
		d.resetJobTimer(j, j.deadline)
	}
}

func (d *Dispatcher) resetJobTimer(j *job, at time.Time) {
	j.dueAt = at
	d.jobTimers.Fix(j.heapPos)
}

// abandon ends a job that can't be completed. The answer is NotRun if nothing has started
// and no live order could still start one of its tasks.
func (d *Dispatcher) abandon(now time.Time, j *job, reason string) {
	a := Answer{Outcome: Unknown, Reason: reason}
	if !j.started && !j.hasOrders() {
		a.Outcome = NotRun
		a.RetryAfter = d.retryAfter(d.predictWait(now, j))
	}
	d.answer(now, j, a)
}

func (j *job) tasks() int {
	n := 0
	for i := range j.steps {
		n += j.steps[i].Count
	}
	return n
}

func (j *job) hasOrders() bool { return len(j.orders) > 0 }

// answer ends a job: waiting tasks are dropped and runs are stopped.
func (d *Dispatcher) answer(now time.Time, j *job, a Answer) {
	if j.late {
		d.lateCompletion.observe(now, a.Outcome == Completed)
	}
	a.Number = j.number
	d.endJob(now, j)
	d.ready.Answers = append(d.ready.Answers, a)
	d.logAnswer(now, j, a)
}

func (d *Dispatcher) logAnswer(now time.Time, j *job, a Answer) {
	d.opts.OnDecision(Decision{
		Event: "job_answered", Job: j.ID, Queue: j.queue.Name, Version: j.Version, Outcome: a.Outcome.String(),
		Reason: a.Reason, Elapsed: now.Sub(j.arrived), Waiting: len(j.waiting), Retry: a.RetryAfter, Tasks: j.tasks(), Longest: j.criticalPath,
		Limit: j.deadline.Sub(j.arrived), Objective: j.objective.Sub(j.arrived),
	})
}

func (d *Dispatcher) endJob(now time.Time, j *job) {
	j.ended = true
	d.dequeue(j)
	for _, o := range slices.Clone(j.orders) {
		d.stopOrder(o)
	}
	if len(j.orders) > 0 {
		d.ending[jobKey(j.queue.Name, j.ID)] = j
	}
	if j.previous != nil && j.previous.next == j {
		j.previous.next = nil
	}
	d.jobTimers.Remove(j.heapPos)
	delete(d.jobs, j.number)
	if key := jobKey(j.queue.Name, j.ID); d.byID[key] == j {
		delete(d.byID, key)
	}
}

// handleSettled records that the last run of an answered job has ended: the next attempt
// may begin, with higher run numbers.
func (d *Dispatcher) handleSettled(j *job) {
	if key := jobKey(j.queue.Name, j.ID); d.ending[key] == j {
		delete(d.ending, key)
	}
	next := j.next
	if next == nil || next.ended {
		return
	}
	next.previous = nil
	for _, t := range next.waiting {
		t.lastRun = max(t.lastRun, j.highestRun)
	}
	d.enqueue(next)
}

// CallerDisconnected ends a job whose caller no longer waits for the answer.
func (d *Dispatcher) CallerDisconnected(now time.Time, number uint64) {
	if j := d.jobs[number]; j != nil {
		d.endJob(now, j)
		d.opts.OnDecision(Decision{Event: "caller_gone", Job: j.ID, Queue: j.queue.Name, Elapsed: now.Sub(j.arrived)})
	}
}

// Cancel ends the job with the id in a queue. It returns false if there is no such job.
func (d *Dispatcher) Cancel(now time.Time, queue, id string) bool {
	j := d.byID[jobKey(queue, id)]
	if j == nil {
		return false
	}
	a := Answer{Outcome: Unknown, Reason: ReasonCancelled}
	if !j.started && !j.hasOrders() {
		a.Outcome = NotRun
	}
	d.answer(now, j, a)
	return true
}

// JobState reports whether the job with the id is open here, and whether it has started.
func (d *Dispatcher) JobState(queue, id string) (known, started bool) {
	j := d.byID[jobKey(queue, id)]
	return j != nil, j != nil && j.started
}

// taskDone records that a task has succeeded.
func (d *Dispatcher) taskDone(now time.Time, t *task) {
	j := t.job
	if t.done || j.ended {
		return
	}
	t.done = true
	j.openTasks--
	s := &j.steps[t.step]
	s.openTasks--
	if j.openTasks == 0 {
		d.answer(now, j, Answer{Outcome: Completed})
		return
	}
	if s.openTasks > 0 {
		return
	}
	for i := range j.steps {
		for _, before := range j.steps[i].After {
			if before == t.step {
				j.steps[i].blocked--
			}
		}
	}
	d.release(j)
}

// taskFailed handles a run that failed through its own or its worker's fault.
func (d *Dispatcher) taskFailed(now time.Time, t *task, at *agent) {
	j := t.job
	t.failures++
	if j.ended {
		return
	}
	if t.failures >= max(1, int(j.queue.Attempts)) {
		d.answer(now, j, Answer{Outcome: Failed, Reason: ReasonAttempts, Permanent: true})
		return
	}
	t.avoid = append(t.avoid, at)
	d.requeue(j, t)
}

// requeue appends a task without a live order to the waiting ones.
func (d *Dispatcher) requeue(j *job, t *task) {
	if j.ended || t.done {
		return
	}
	j.waiting = append(j.waiting, t)
	d.enqueue(j)
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
