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

// Job is what a caller asks for.
type Job struct {
	ID    string
	Queue *pb.Queue
	// Version of the configuration that the queue was found in.
	Version uint64
	Payload string
	Steps   []Step
	// TimeLimit is how long the caller waits; zero: as long as the queue says. The
	// queue's own limit doesn't cut it: a task that lasts longer still has an answer
	// that the caller waits for.
	TimeLimit time.Duration
	// Unsupported names what the job asks for and this product can't do.
	Unsupported string
}

// Step is tasks of a job that are alike.
type Step struct {
	Count     int
	Size      size.Size
	Estimated time.Duration
	// After are the steps that must have ended before.
	After []int
	// Rack is where the tasks' data is; elsewhere they take longer.
	Rack string
	// Requires is a label that a worker must have.
	Requires string
	// MaxPerWorker bounds the step's tasks at one worker; zero: no bound.
	MaxPerWorker int
}

// Limits of a job.
const (
	// MaxSteps and MaxTasks bound what one job may hold in memory.
	MaxSteps = 64
	MaxTasks = 4096
)

type job struct {
	Job
	number   uint64
	queue    *pb.Queue
	arrived  time.Time
	holdEnd  time.Time // refused when nothing has been sent by then
	deadline time.Time
	// useful is until when an answer is of use to the caller.
	useful time.Time
	// patience is how long an order waits at one worker.
	patience time.Duration
	// late: it was taken in though it ends after its objective.
	late bool
	// meeting: it came before the agents were met, or others are asked for workers that
	// may run it, and it is decided on when this is over.
	meeting bool
	// asked: other entries were asked for workers that may run it, until askedUntil.
	asked      bool
	askedUntil time.Time
	// objective is when it should have ended, and startBy when its longest chain must
	// begin for that.
	objective time.Time
	startBy   time.Time
	// longest is the expected time of its longest chain.
	longest time.Duration
	dueAt   time.Time
	heapPos int

	steps   []step
	open    int // tasks not ended
	waiting []*task
	orders  []*order // that have not ended
	ordered bool     // some order has left this process and was not refused
	started bool     // some task has started
	ended   bool
	listed  bool // in its service's waitlist
	// before is an earlier attempt at the same job whose runs have not ended.
	before *job
	// next is the attempt that waits for this one's runs.
	next *job
	// highestRun is the highest run number given to any of its tasks.
	highestRun uint32
}

// Before implements indexheap.Item: the job that is due next goes first.
func (j *job) Before(o *job) bool { return j.dueAt.Before(o.dueAt) }

// SetPos implements indexheap.Item.
func (j *job) SetPos(pos int) { j.heapPos = pos }

type step struct {
	Step
	open    int
	blocked int // steps that it waits for
	expect  time.Duration
	tail    time.Duration // expected time of the longest chain that begins with it
	// observed is the shortest run of a task of the step; zero: none has ended.
	observed time.Duration
}

type task struct {
	job      *job
	step     int
	index    int
	runs     uint32
	failures int
	done     bool
	// firstSent is when it was first ordered, and foretold how long it was to wait then.
	firstSent time.Time
	foretold  time.Duration
	// avoid are agents where the task failed, stalled or was refused for a reason
	// that stays.
	avoid []*agent
}

func (t *task) name() string {
	return t.job.ID + ".0." + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index)
}

const defaultTimeout = 30 * time.Second

// Submit takes in a job. The answer is set if it is refused at once. A job that is
// here already is joined: starting it anew would run its tasks twice at a time.
func (d *Dispatcher) Submit(now time.Time, in Job) (number uint64, refused *Answer) {
	if j := d.byID[idKey(in.Queue.Name, in.ID)]; j != nil {
		return j.number, nil
	}
	d.begin(now)
	d.number++
	j := &job{Job: in, number: d.number, queue: in.Queue, arrived: now}
	longest := d.plan(j)
	j.longest = longest
	limit := cmp.Or(time.Duration(in.Queue.TimeoutMs)*time.Millisecond, defaultTimeout)
	if in.TimeLimit > 0 {
		limit = in.TimeLimit
	}
	objective := time.Duration(in.Queue.TargetMs)*time.Millisecond + time.Duration(in.Queue.Stretch*float64(longest))
	objective = min(objective, limit)
	j.deadline = now.Add(limit)
	d.cutShort(j)
	j.objective = now.Add(objective)
	j.useful = link.Earlier(now.Add(usefulFactor*objective), j.deadline)
	j.holdEnd = j.useful.Add(-longest)
	j.patience = time.Duration(patiencePart * float64(objective))
	j.startBy = j.objective.Add(-longest)
	j.before = d.ending[idKey(in.Queue.Name, in.ID)]
	a := d.refusal(now, j)
	var chosen []placement
	if a == nil && j.before == nil {
		chosen, a = d.admitOrHold(now, j)
	}
	if a != nil {
		a.Number = j.number
		d.decideAnswer(now, j, *a)
		return j.number, a
	}
	if j.before != nil {
		j.before.next = j
	}
	d.jobs[j.number] = j
	d.byID[idKey(in.Queue.Name, in.ID)] = j
	j.dueAt = j.holdEnd
	if j.meeting {
		j.dueAt = link.Earlier(j.holdEnd, d.decideBy(j))
	}
	d.due.Push(j)
	d.sendChosen(now, chosen)
	d.list(j)
	return j.number, nil
}

func idKey(queue, id string) string { return queue + "/" + id }

// plan fills in the steps and returns the expected time of the longest chain.
func (d *Dispatcher) plan(j *job) time.Duration {
	j.steps = make([]step, len(j.Steps))
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		j.steps[i] = step{Step: s, open: s.Count, blocked: len(s.After), expect: d.expected(j.queue.Name, s.Estimated)}
		j.open += s.Count
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += j.steps[i].expect
		longest = max(longest, ends[i])
	}
	for i := len(j.steps) - 1; i >= 0; i-- {
		s := &j.steps[i]
		s.tail += s.expect
		for _, before := range s.After {
			j.steps[before].tail = max(j.steps[before].tail, s.tail)
		}
	}
	return longest
}

// startBy is when a task must start for its job to end within its objective.
func (t *task) startBy() time.Time { return t.job.objective.Add(-t.job.steps[t.step].tail) }

// latestStart is when a task must start for its job's answer to be of use.
func (t *task) latestStart() time.Time { return t.job.useful.Add(-t.job.steps[t.step].tail) }

// release makes the tasks of steps that wait for nothing more eligible.
func (d *Dispatcher) release(j *job) {
	d.unblock(j)
	d.list(j)
}

// unblock moves the tasks of steps that wait for nothing to the waiting ones.
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

// jobDue takes in that a job has waited as long as it may, or reached its deadline.
func (d *Dispatcher) jobDue(now time.Time, j *job) {
	switch {
	case !now.Before(j.deadline):
		d.giveUp(now, j, d.overdue(j))
	case j.meeting && !j.ordered:
		d.decideMet(now, j)
	case !j.ordered:
		d.giveUp(now, j, ReasonHeld)
	default:
		d.setDue(j, j.deadline)
	}
}

func (d *Dispatcher) setDue(j *job, at time.Time) {
	j.dueAt = at
	d.due.Fix(j.heapPos)
}

// giveUp ends a job that can't be completed. "Not run" is said when no order is
// out that could start, or has started, one of its tasks.
func (d *Dispatcher) giveUp(now time.Time, j *job, reason string) {
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

// answer ends a job: what waits is dropped, what runs is stopped.
func (d *Dispatcher) answer(now time.Time, j *job, a Answer) {
	if j.late {
		d.lateYield.take(now, a.Outcome == Completed)
	}
	a.Number = j.number
	d.endJob(now, j)
	d.ready.Answers = append(d.ready.Answers, a)
	d.decideAnswer(now, j, a)
}

func (d *Dispatcher) decideAnswer(now time.Time, j *job, a Answer) {
	d.opts.Decided(Decision{
		Event: "job_answered", Job: j.ID, Queue: j.queue.Name, Version: j.Version, Outcome: a.Outcome.String(),
		Reason: a.Reason, Elapsed: now.Sub(j.arrived), Waiting: len(j.waiting), Retry: a.RetryAfter, Tasks: j.tasks(), Longest: j.longest,
		Limit: j.deadline.Sub(j.arrived), Objective: j.objective.Sub(j.arrived),
	})
}

func (d *Dispatcher) endJob(now time.Time, j *job) {
	j.ended = true
	d.unlist(j)
	for _, o := range slices.Clone(j.orders) {
		d.stop(o)
	}
	if len(j.orders) > 0 {
		d.ending[idKey(j.queue.Name, j.ID)] = j
	}
	if j.before != nil && j.before.next == j {
		j.before.next = nil
	}
	d.due.Remove(j.heapPos)
	delete(d.jobs, j.number)
	if key := idKey(j.queue.Name, j.ID); d.byID[key] == j {
		delete(d.byID, key)
	}
}

// settled takes in that the last run of an ended job has ended: the next attempt at
// it may begin, with run numbers above those used.
func (d *Dispatcher) settled(j *job) {
	if key := idKey(j.queue.Name, j.ID); d.ending[key] == j {
		delete(d.ending, key)
	}
	next := j.next
	if next == nil || next.ended {
		return
	}
	next.before = nil
	for _, t := range next.waiting {
		t.runs = max(t.runs, j.highestRun)
	}
	d.list(next)
}

// CallerGone takes in that nobody waits for the answer any more.
func (d *Dispatcher) CallerGone(now time.Time, number uint64) {
	if j := d.jobs[number]; j != nil {
		d.endJob(now, j)
		d.opts.Decided(Decision{Event: "caller_gone", Job: j.ID, Queue: j.queue.Name, Elapsed: now.Sub(j.arrived)})
	}
}

// Cancel ends the job of the id in a queue. False: it is not here.
func (d *Dispatcher) Cancel(now time.Time, queue, id string) bool {
	j := d.byID[idKey(queue, id)]
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

// State says whether a job of the id is here, and whether it has started.
func (d *Dispatcher) State(queue, id string) (known, started bool) {
	j := d.byID[idKey(queue, id)]
	return j != nil, j != nil && j.started
}

// taskDone takes in that a task has ended well.
func (d *Dispatcher) taskDone(now time.Time, t *task) {
	j := t.job
	if t.done || j.ended {
		return
	}
	t.done = true
	j.open--
	s := &j.steps[t.step]
	s.open--
	if j.open == 0 {
		d.answer(now, j, Answer{Outcome: Completed})
		return
	}
	if s.open > 0 {
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

// taskFailed takes in that a run ended through its own or its worker's fault.
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

// requeue puts a task back that has no order.
func (d *Dispatcher) requeue(j *job, t *task) {
	if j.ended || t.done {
		return
	}
	j.waiting = append(j.waiting, t)
	d.list(j)
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
