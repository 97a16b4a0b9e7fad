package place

import (
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
)

// Class orders contracts; the lower value goes first.
type Class uint8

// The classes, in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Bulk
	classes
)

// lowerClassShare is the part of all placed slot time that a class may claim
// while higher classes have work too. Without it a customer whose urgent work
// never ends would keep the lower classes waiting for good.
var lowerClassShare = [classes]float64{Urgent: 0, Normal: 0.10, Bulk: 0.05}

// maxOwed bounds what a class may save up, so that it returns from a time without
// work it could place with a short burst and not a long one.
const maxOwed = float64(2 * time.Second)

// minCost is charged for tasks of unknown or tiny run time, so that a contract
// of very short tasks still pays for its slots.
const minCost = time.Millisecond

// Task is one waiting task of a job.
type Task struct {
	// Number is the task's position in its job.
	Number uint32
	// Run is the expected run time.
	Run time.Duration
	// Memory is what to reserve for it, in bytes.
	Memory uint64

	// weight is the slots that it takes on an agent of the largest size.
	weight int
}

// Job is the waiting part of a job. The fields are set before Push; from then
// on the queue owns it.
type Job struct {
	ID       string
	Contract string
	Kind     string
	// Due orders the jobs of a contract; see [Due].
	Due time.Time
	// Deadline is when the answer is worthless; zero means never.
	Deadline time.Time
	// MinRun is the run time that each task needs at the least, zero if unknown.
	MinRun time.Duration
	// Tasks wait in this order. Longest first ends the job soonest; see
	// [LongestFirst].
	Tasks []Task

	// parts are set on a job whose tasks are bound to agents on arrival: one for
	// each agent. The job itself is in no queue then.
	parts []*Job
	whole *Job
	agent *Agent
	queue *Queue

	flow    *flow
	seq     uint64
	pos     int
	shedPos int
	started bool
}

// LongestFirst orders tasks so that the one that bounds the job's response time
// is started first.
func LongestFirst(tasks []Task) {
	slices.SortStableFunc(tasks, func(a, b Task) int { return int(b.Run - a.Run) })
}

// A job's answer is due after stretch times its ideal response time and
// yield times the time in which all slots could do its work.
const (
	stretch = 1.5
	yield   = 16
)

// Due returns when a job that arrives now should have its answer, and never after
// its deadline. A job of little work is due soon, since it delays the others by
// little, and one of much work later. Ordering by due keeps short jobs from waiting
// behind long ones, and since it is a point in time, every job comes to be the
// first in the end.
func Due(now, deadline time.Time, tasks []Task, slots int) time.Time {
	var longest, sum time.Duration
	for i := range tasks {
		longest = max(longest, tasks[i].Run)
		sum += tasks[i].Run
	}
	spread := sum / time.Duration(max(slots, 1))
	due := now.Add(time.Duration(stretch*float64(max(longest, spread)) + yield*float64(spread)))
	if !deadline.IsZero() && deadline.Before(due) {
		return deadline
	}
	return due
}

// Before implements indexheap.Item: by when the answer is due.
func (j *Job) Before(o *Job) bool {
	if !j.Due.Equal(o.Due) {
		return j.Due.Before(o.Due)
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
	return max(t.Run, minCost) * time.Duration(max(t.weight, 1))
}

// shedJob orders the same jobs the other way round: the one with most time left
// is shed first, since its caller has most time to try again.
type shedJob struct{ *Job }

// Before implements indexheap.Item.
func (s shedJob) Before(o shedJob) bool { return o.Job.Before(s.Job) }

// SetPos implements indexheap.Item.
func (s shedJob) SetPos(pos int) { s.shedPos = pos }

// blockReason is a set of reasons why a contract is out of the order.
type blockReason uint8

const (
	// atLimit: the contract is at one of its limits.
	atLimit blockReason = 1 << iota
	// reserving: its next task waits for enough credits of one agent.
	reserving
)

// flow is the waiting work of one contract.
type flow struct {
	name    string
	class   Class
	weight  float64
	virtual float64
	pos     int
	blocked blockReason
	jobs    indexheap.Heap[*Job]
	shed    indexheap.Heap[shedJob]
	waiting int
	cost    time.Duration
}

// Before implements indexheap.Item.
func (f *flow) Before(o *flow) bool { return f.virtual < o.virtual }

// SetPos implements indexheap.Item.
func (f *flow) SetPos(pos int) { f.pos = pos }

func (f *flow) ready() bool { return f.blocked == 0 && f.jobs.Len() > 0 }

// level holds the contracts of one class.
type level struct {
	ready indexheap.Heap[*flow]
	// virtual is the start tag of the contract served last. A contract that was
	// idle starts from here: it neither saves up a share nor owes for the past.
	virtual float64
	// owed is slot time, in nanoseconds, that the class may claim ahead of
	// higher ones.
	owed    float64
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

// SetContract adds a contract or changes its class and weight. Jobs that wait
// already move with it.
func (q *Queue) SetContract(name string, class Class, weight uint32) {
	class = min(class, Bulk)
	f := q.flows[name]
	if f == nil {
		f = &flow{name: name, pos: indexheap.Absent}
		q.flows[name] = f
		f.class, f.weight = class, float64(max(weight, 1))
		return
	}
	q.leave(f)
	f.class, f.weight = class, float64(max(weight, 1))
	f.virtual = q.levels[class].virtual
	q.enter(f)
}

// Forget drops a contract that has no waiting work; otherwise it does nothing
// and returns false.
func (q *Queue) Forget(name string) bool {
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

// Push adds a job. Its contract must have been set.
func (q *Queue) Push(j *Job) {
	f := q.flows[j.Contract]
	if f == nil {
		q.SetContract(j.Contract, Normal, 1)
		f = q.flows[j.Contract]
	}
	q.leave(f)
	q.seq++
	j.flow, j.seq, j.started = f, q.seq, false
	f.jobs.Push(j)
	f.shed.Push(shedJob{j})
	f.waiting += len(j.Tasks)
	f.cost += j.cost()
	q.enter(f)
}

// PutBack returns tasks that an agent proved never to have started. The job
// keeps its place in the order and can no longer be shed.
func (q *Queue) PutBack(j *Job, tasks ...Task) {
	f := j.flow
	q.leave(f)
	j.Tasks = append(j.Tasks, tasks...)
	if j.pos == indexheap.Absent {
		f.jobs.Push(j)
	}
	f.waiting += len(tasks)
	for i := range tasks {
		f.cost += tasks[i].cost()
	}
	q.enter(f)
}

// Remove drops a job's waiting tasks and returns them.
func (q *Queue) Remove(j *Job) []Task {
	if j.flow == nil || j.pos == indexheap.Absent {
		return nil
	}
	f := j.flow
	q.leave(f)
	f.jobs.Remove(j.pos)
	if !j.started {
		f.shed.Remove(j.shedPos)
		j.started = true
	}
	f.waiting -= len(j.Tasks)
	f.cost -= j.cost()
	q.enter(f)
	tasks := j.Tasks
	j.Tasks = nil
	return tasks
}

// Block takes a contract out of the order until Unblock: it is at one of its
// limits. The others go on, so that capacity it cannot use is not lost.
func (q *Queue) Block(contract string) { q.setBlocked(q.flows[contract], atLimit, true) }

// Unblock puts a contract back.
func (q *Queue) Unblock(contract string) { q.setBlocked(q.flows[contract], atLimit, false) }

func (q *Queue) setBlocked(f *flow, why blockReason, blocked bool) {
	if f == nil || (f.blocked&why != 0) == blocked {
		return
	}
	q.leave(f)
	f.blocked ^= why
	q.enter(f)
}

// Next returns the job whose task goes next, or nil.
func (q *Queue) Next() *Job {
	l := q.nextLevel()
	if l == nil {
		return nil
	}
	return l.ready.First().jobs.First()
}

func (q *Queue) nextLevel() *level {
	for c := classes - 1; c > Urgent; c-- {
		if l := &q.levels[c]; l.ready.Len() > 0 && l.owed >= min(l.headCost(), maxOwed) {
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

// Take removes up to n tasks from the front of a job and charges its contract
// for them. The returned slice is valid until the job gets tasks back.
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

// reorder restores a contract's place after its virtual time or its jobs changed.
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

func (q *Queue) charge(f *flow, cost time.Duration) {
	l := &q.levels[f.class]
	l.virtual = max(l.virtual, f.virtual)
	f.virtual += float64(cost) / f.weight
	ahead := false
	for c := range q.levels {
		o := &q.levels[c]
		switch {
		case Class(c) == f.class:
			if ahead {
				o.owed = max(o.owed-float64(cost), 0)
			}
		case Class(c) > f.class && o.ready.Len() > 0:
			o.owed = min(o.owed+float64(cost)*lowerClassShare[c], maxOwed)
		}
		ahead = ahead || o.ready.Len() > 0
	}
}

// leave takes a contract and its sums out of its class before a change of it.
func (q *Queue) leave(f *flow) {
	l := &q.levels[f.class]
	l.waiting -= f.waiting
	l.cost -= f.cost
	q.waiting -= f.waiting
	if f.pos != indexheap.Absent {
		l.ready.Remove(f.pos)
		l.weight -= f.weight
	}
}

// enter puts it back after the change.
func (q *Queue) enter(f *flow) {
	l := &q.levels[f.class]
	l.waiting += f.waiting
	l.cost += f.cost
	q.waiting += f.waiting
	if !f.ready() {
		if l.waiting == 0 {
			l.owed = 0
		}
		return
	}
	f.virtual = max(f.virtual, l.virtual)
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

// Wait estimates how long a new job of a contract, with so much work, would wait
// for its last task to start when that many slots serve this queue. The backlog of another
// contract counts only as far as that contract's weight reaches.
func (q *Queue) Wait(contract string, work time.Duration, slots int) time.Duration {
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

// Victim returns the job to shed in favour of work of the given class: one of
// the lowest class below it, none of whose tasks was ever placed, from the
// contract with most waiting work for its weight. It is nil if there is none.
func (q *Queue) Victim(class Class) *Job {
	for c := Bulk; c > class; c-- {
		var worst *flow
		for _, f := range q.flows {
			if f.class == c && f.shed.Len() > 0 && (worst == nil || f.heavierThan(worst)) {
				worst = f
			}
		}
		if worst != nil {
			return worst.shed.First().Job
		}
	}
	return nil
}

func (f *flow) heavierThan(o *flow) bool {
	a, b := float64(f.cost)/f.weight, float64(o.cost)/o.weight
	if a != b {
		return a > b
	}
	return f.name < o.name
}

// Expired returns a job whose deadline no longer leaves room for MinRun, or nil.
// It looks at the front of each contract, which is where a job would be started.
// The caller removes the job and asks again.
func (q *Queue) Expired(now time.Time) *Job {
	var first *Job
	for _, f := range q.flows {
		if f.jobs.Len() == 0 {
			continue
		}
		j := f.jobs.First()
		if j.hopeless(now) && (first == nil || j.Before(first)) {
			first = j
		}
	}
	return first
}

func (j *Job) hopeless(now time.Time) bool {
	return !j.Deadline.IsZero() && !now.Add(j.MinRun).Before(j.Deadline)
}
