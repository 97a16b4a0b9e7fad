package place

import (
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
)

// Class is the priority class of a contract. Lower values have priority over higher
// ones.
type Class uint8

// Priority classes, highest first.
const (
	Urgent Class = iota
	Normal
	Bulk
	classes
)

// lowerClassShare is the fraction of all placed slot time that is guaranteed to a
// class while higher classes have work too. Without it, a customer with endless
// urgent work would starve the lower classes.
var lowerClassShare = [classes]float64{Urgent: 0, Normal: 0.10, Bulk: 0.05}

// maxDeficit bounds the slot time, in nanoseconds, that a class can accumulate. After
// a time in which the class had no work that could be placed, it therefore gets a
// short burst and not a long one.
const maxDeficit = float64(2 * time.Second)

// minCost is the minimum charge for a task. It applies to tasks of unknown or tiny
// run time, so that a contract of very short tasks is charged for its slots.
const minCost = time.Millisecond

// Task is one waiting task of a job.
type Task struct {
	// Number is the task's index in its job.
	Number uint32
	// RunTime is the expected run time.
	RunTime time.Duration
	// Memory is the memory to reserve, in bytes.
	Memory uint64

	// weight is the number of slots that the task takes on the largest agent.
	weight int
}

// Job holds the waiting tasks of a job. The fields are set before Push; from then
// on the queue owns the Job.
type Job struct {
	ID       string
	Contract string
	Kind     string
	// DueTime orders the jobs of a contract, earliest first; see [DueTime].
	DueTime time.Time
	// Deadline is the time after which the answer is of no use; zero means none.
	Deadline time.Time
	// MinRunTime is the minimum run time of each task, zero if unknown.
	MinRunTime time.Duration
	// Tasks are placed in this order. The job ends soonest if the longest tasks
	// come first; see [LongestFirst].
	Tasks []Task

	// subjobs is set on a job whose tasks are bound to agents on arrival: one Job
	// per agent, whose parent is this job and which is in that agent's queue. The
	// job itself is in no queue.
	subjobs []*Job
	parent  *Job
	agent   *Agent
	queue   *Queue

	flow    *flow
	seq     uint64
	pos     int
	shedPos int
	started bool
}

// LongestFirst sorts tasks by decreasing expected run time, since the longest one
// bounds the response time of the job.
func LongestFirst(tasks []Task) {
	slices.SortStableFunc(tasks, func(a, b Task) int { return int(b.RunTime - a.RunTime) })
}

// A job is due after stretchFactor times its ideal response time plus workFactor
// times the time in which all slots together could do its work.
const (
	stretchFactor = 1.5
	workFactor    = 16
)

// DueTime returns the time by which a job that arrives now should be answered, and at
// the latest its deadline. Jobs with little work are due early, since they delay
// other jobs only a little. Ordering by due time keeps short jobs from waiting
// behind long ones, and prevents starvation: since the due time of a job is fixed,
// each job comes first eventually.
func DueTime(now, deadline time.Time, tasks []Task, slots int) time.Time {
	var longest, sum time.Duration
	for i := range tasks {
		longest = max(longest, tasks[i].RunTime)
		sum += tasks[i].RunTime
	}
	parallelRun := sum / time.Duration(max(slots, 1))
	due := now.Add(time.Duration(stretchFactor*float64(max(longest, parallelRun)) + workFactor*float64(parallelRun)))
	if !deadline.IsZero() && deadline.Before(due) {
		return deadline
	}
	return due
}

// Before implements indexheap.Item. It orders jobs by due time, then by arrival.
func (j *Job) Before(o *Job) bool {
	if !j.DueTime.Equal(o.DueTime) {
		return j.DueTime.Before(o.DueTime)
	}
	return j.seq < o.seq
}

// SetPos implements indexheap.Item.
func (j *Job) SetPos(pos int) { j.pos = pos }

func (j *Job) cost() time.Duration {
	var sum time.Duration
	for i := range j.Tasks {
		sum += j.Tasks[i].cost()
	}
	return sum
}

func (t *Task) cost() time.Duration {
	return max(t.RunTime, minCost) * time.Duration(max(t.weight, 1))
}

// shedJob orders jobs by decreasing due time: the job with the most time left is
// shed first, since its caller has the most time to retry.
type shedJob struct{ *Job }

// Before implements indexheap.Item.
func (s shedJob) Before(o shedJob) bool { return o.Job.Before(s.Job) }

// SetPos implements indexheap.Item.
func (s shedJob) SetPos(pos int) { s.shedPos = pos }

// blockReason is a set of reasons for which a contract is not scheduled.
type blockReason uint8

const (
	// atLimit: the contract is at one of its limits.
	atLimit blockReason = 1 << iota
	// reserving: the next task of the contract waits for enough credits at one
	// agent.
	reserving
)

// flow is the waiting work of one contract. The flows of a class are scheduled by
// start-time fair queueing.
type flow struct {
	name        string
	class       Class
	weight      float64
	virtualTime float64
	pos         int
	blocked     blockReason
	jobs        indexheap.Heap[*Job]
	shed        indexheap.Heap[shedJob]
	waiting     int
	cost        time.Duration
}

// Before implements indexheap.Item.
func (f *flow) Before(o *flow) bool { return f.virtualTime < o.virtualTime }

// SetPos implements indexheap.Item.
func (f *flow) SetPos(pos int) { f.pos = pos }

func (f *flow) ready() bool { return f.blocked == 0 && f.jobs.Len() > 0 }

// level holds the contracts of one class.
type level struct {
	ready indexheap.Heap[*flow]
	// virtualTime is the start tag of the contract served last. A contract that was
	// idle resumes from it, so that it neither accumulates a share while idle nor
	// pays for earlier use.
	virtualTime float64
	// deficit is the slot time, in nanoseconds, that the class may use ahead of
	// higher classes.
	deficit float64
	weight  float64
	waiting int
	cost    time.Duration
}

// Queue holds waiting tasks. Use [NewQueue].
type Queue struct {
	levels  [classes]level
	flows   map[string]*flow
	seq     uint64
	waiting int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{flows: make(map[string]*flow)}
}

// SetContract adds a contract or changes its class and weight. Its waiting jobs
// move to the new class with it.
func (q *Queue) SetContract(name string, class Class, weight uint32) {
	class = min(class, Bulk)
	f := q.flows[name]
	if f == nil {
		f = &flow{name: name, pos: indexheap.Absent}
		q.flows[name] = f
		f.class, f.weight = class, float64(max(weight, 1))
		return
	}
	q.detach(f)
	f.class, f.weight = class, float64(max(weight, 1))
	f.virtualTime = q.levels[class].virtualTime
	q.attach(f)
}

// RemoveContract removes a contract. If the contract has waiting work, it does
// nothing and returns false.
func (q *Queue) RemoveContract(name string) bool {
	f := q.flows[name]
	if f == nil {
		return true
	}
	if f.jobs.Len() > 0 {
		return false
	}
	delete(q.flows, name)
	return true
}

// Push adds a job. Its contract should have been set; otherwise it is added with
// class Normal and weight 1.
func (q *Queue) Push(j *Job) {
	f := q.flows[j.Contract]
	if f == nil {
		q.SetContract(j.Contract, Normal, 1)
		f = q.flows[j.Contract]
	}
	q.detach(f)
	q.seq++
	j.flow, j.seq, j.started = f, q.seq, false
	f.jobs.Push(j)
	f.shed.Push(shedJob{j})
	f.waiting += len(j.Tasks)
	f.cost += j.cost()
	q.attach(f)
}

// Requeue returns tasks to the queue that an agent has proved never to have
// started. The job keeps its position in the order and can no longer be shed.
func (q *Queue) Requeue(j *Job, tasks ...Task) {
	f := j.flow
	q.detach(f)
	j.Tasks = append(j.Tasks, tasks...)
	if j.pos == indexheap.Absent {
		f.jobs.Push(j)
	}
	f.waiting += len(tasks)
	for i := range tasks {
		f.cost += tasks[i].cost()
	}
	q.attach(f)
}

// Remove removes a job and returns its waiting tasks.
func (q *Queue) Remove(j *Job) []Task {
	if j.flow == nil || j.pos == indexheap.Absent {
		return nil
	}
	f := j.flow
	q.detach(f)
	f.jobs.Remove(j.pos)
	if !j.started {
		f.shed.Remove(j.shedPos)
		j.started = true
	}
	f.waiting -= len(j.Tasks)
	f.cost -= j.cost()
	q.attach(f)
	tasks := j.Tasks
	j.Tasks = nil
	return tasks
}

// Block stops scheduling a contract that is at one of its limits until Unblock is
// called. The other contracts use the capacity that it cannot use.
func (q *Queue) Block(contract string) { q.setBlocked(q.flows[contract], atLimit, true) }

// Unblock resumes scheduling of a contract after Block.
func (q *Queue) Unblock(contract string) { q.setBlocked(q.flows[contract], atLimit, false) }

func (q *Queue) setBlocked(f *flow, reason blockReason, blocked bool) {
	if f == nil || (f.blocked&reason != 0) == blocked {
		return
	}
	q.detach(f)
	f.blocked ^= reason
	q.attach(f)
}

// Next returns the job whose first task is to be placed next, or nil.
func (q *Queue) Next() *Job {
	l := q.nextLevel()
	if l == nil {
		return nil
	}
	return l.ready.First().jobs.First()
}

func (q *Queue) nextLevel() *level {
	for c := classes - 1; c > Urgent; c-- {
		if l := &q.levels[c]; l.ready.Len() > 0 && l.deficit >= min(l.headCost(), maxDeficit) {
			return l
		}
	}
	for c := range q.levels {
		if l := &q.levels[c]; l.ready.Len() > 0 {
			return l
		}
	}
	return nil
}

func (l *level) headCost() float64 {
	return float64(l.ready.First().jobs.First().Tasks[0].cost())
}

// Take removes up to n tasks from the front of a job and charges its contract for
// them. The returned slice is valid until tasks are put back into the job.
func (q *Queue) Take(j *Job, n int) []Task {
	n = min(n, len(j.Tasks))
	if n == 0 {
		return nil
	}
	f := j.flow
	taken := j.Tasks[:n]
	var cost time.Duration
	for i := range taken {
		cost += taken[i].cost()
	}
	q.charge(f, cost)
	j.Tasks = j.Tasks[n:]
	f.waiting -= n
	f.cost -= cost
	l := &q.levels[f.class]
	l.waiting -= n
	l.cost -= cost
	q.waiting -= n
	if !j.started {
		f.shed.Remove(j.shedPos)
		j.started = true
	}
	if len(j.Tasks) == 0 {
		f.jobs.Remove(j.pos)
	}
	q.reorder(f)
	return taken
}

// reorder restores a contract's position in its class after its virtual time or its
// jobs have changed.
func (q *Queue) reorder(f *flow) {
	l := &q.levels[f.class]
	if f.pos == indexheap.Absent {
		return
	}
	if f.jobs.Len() > 0 {
		l.ready.Fix(f.pos)
		return
	}
	l.ready.Remove(f.pos)
	l.weight -= f.weight
}

// charge advances the virtual time of a contract by the cost of placed tasks. Each
// lower class with ready work accrues its guaranteed share of the cost. If a higher
// class had ready work, the class of the contract pays the cost from what it has
// accrued.
func (q *Queue) charge(f *flow, cost time.Duration) {
	l := &q.levels[f.class]
	l.virtualTime = max(l.virtualTime, f.virtualTime)
	f.virtualTime += float64(cost) / f.weight
	higherReady := false
	for c := range q.levels {
		o := &q.levels[c]
		switch {
		case Class(c) == f.class:
			if higherReady {
				o.deficit = max(o.deficit-float64(cost), 0)
			}
		case Class(c) > f.class && o.ready.Len() > 0:
			o.deficit = min(o.deficit+float64(cost)*lowerClassShare[c], maxDeficit)
		}
		higherReady = higherReady || o.ready.Len() > 0
	}
}

// detach removes a contract and its sums from its class before the contract is
// changed.
func (q *Queue) detach(f *flow) {
	l := &q.levels[f.class]
	l.waiting -= f.waiting
	l.cost -= f.cost
	q.waiting -= f.waiting
	if f.pos != indexheap.Absent {
		l.ready.Remove(f.pos)
		l.weight -= f.weight
	}
}

// attach adds a contract and its sums to its class after the change.
func (q *Queue) attach(f *flow) {
	l := &q.levels[f.class]
	l.waiting += f.waiting
	l.cost += f.cost
	q.waiting += f.waiting
	if !f.ready() {
		if l.waiting == 0 {
			l.deficit = 0
		}
		return
	}
	f.virtualTime = max(f.virtualTime, l.virtualTime)
	l.ready.Push(f)
	l.weight += f.weight
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Ready reports whether any task could be placed now.
func (q *Queue) Ready() bool { return q.nextLevel() != nil }

// Waiting returns the number of waiting tasks of a contract.
func (q *Queue) Waiting(contract string) int {
	if f := q.flows[contract]; f != nil {
		return f.waiting
	}
	return 0
}

// EstimateWait estimates how long the last task of a new job of a contract would wait to be
// started, given the job's work in slot time and the number of slots that serve
// this queue. The backlog of other contracts of the class counts only up to their
// weighted share.
func (q *Queue) EstimateWait(contract string, work time.Duration, slots int) time.Duration {
	f := q.flows[contract]
	if f == nil || slots <= 0 {
		return 0
	}
	var higher time.Duration
	for c := range f.class {
		higher += q.levels[c].cost
	}
	l := &q.levels[f.class]
	own := float64(f.cost)
	weight := l.weight
	if !f.ready() {
		weight += f.weight
	}
	shared := min(own*weight/f.weight, float64(l.cost))
	return (higher + time.Duration(shared) + work) / time.Duration(slots)
}

// Victim returns the job to shed in favor of work of the given class, or nil if
// there is none. It is a job of the lowest class below the given one, of the
// contract with the most waiting work relative to its weight, and none of its tasks
// was ever placed.
func (q *Queue) Victim(class Class) *Job {
	for c := Bulk; c > class; c-- {
		var largest *flow
		for _, f := range q.flows {
			if f.class == c && f.shed.Len() > 0 && (largest == nil || f.hasMoreBacklog(largest)) {
				largest = f
			}
		}
		if largest != nil {
			return largest.shed.First().Job
		}
	}
	return nil
}

func (f *flow) hasMoreBacklog(o *flow) bool {
	a, b := float64(f.cost)/f.weight, float64(o.cost)/o.weight
	if a != b {
		return a > b
	}
	return f.name < o.name
}

// Infeasible returns a job that can no longer meet its deadline, since less than
// MinRunTime is left, or nil. It examines only the first job of each contract, which
// would be started next. The caller removes the job and calls Infeasible again.
func (q *Queue) Infeasible(now time.Time) *Job {
	var first *Job
	for _, f := range q.flows {
		if f.jobs.Len() == 0 {
			continue
		}
		j := f.jobs.First()
		if j.infeasible(now) && (first == nil || j.Before(first)) {
			first = j
		}
	}
	return first
}

func (j *Job) infeasible(now time.Time) bool {
	return !j.Deadline.IsZero() && !now.Add(j.MinRunTime).Before(j.Deadline)
}
