package place

import "time"

// Limiter says how many tasks of a contract may start now.
type Limiter interface {
	// Allow returns how many tasks from the front may start, and counts these
	// as started.
	Allow(now time.Time, contract string, tasks []Task) int
}

// Placement is tasks of one job that go to one agent in one message. Job and
// Tasks are valid until the scheduler is called again.
type Placement struct {
	Agent *Agent
	Job   *Job
	Tasks []Task
	Units int
}

// Scheduler places the waiting tasks of one entry. Use [NewScheduler].
type Scheduler struct {
	Pool *Pool

	queue    *Queue
	picker   Picker
	limiter  Limiter
	weights  map[string]share
	reserved []reservation
	// unplaced are contracts whose next task needs a reservation, while no
	// agent can be reserved for it.
	unplaced []*flow
}

type share struct {
	class  Class
	weight uint32
}

// reservation keeps an agent's credits for a task that takes several of them.
// Without it smaller tasks would take each credit as it comes, and the large
// task would never start.
type reservation struct {
	flow  *flow
	agent *Agent
}

// reservedShare is the largest part of the agents, as a divisor, that large
// tasks may reserve at once.
const reservedShare = 4

// NewScheduler returns a scheduler without agents and tasks.
func NewScheduler(picker Picker, limiter Limiter) *Scheduler {
	return &Scheduler{
		Pool:    NewPool(),
		queue:   NewQueue(),
		picker:  picker,
		limiter: limiter,
		weights: make(map[string]share),
	}
}

// Queue returns the tasks that are bound to no agent.
func (s *Scheduler) Queue() *Queue { return s.queue }

// SetContract adds a contract or changes its class and weight.
func (s *Scheduler) SetContract(name string, class Class, weight uint32) {
	s.weights[name] = share{class: class, weight: weight}
	s.eachQueue(func(q *Queue) { q.SetContract(name, class, weight) })
}

// Unblock makes a contract's tasks eligible again after its limiter held them
// back. Call it when a limit may have room.
func (s *Scheduler) Unblock(contract string) {
	s.eachQueue(func(q *Queue) { q.Unblock(contract) })
}

// Waiting returns the number of waiting tasks.
func (s *Scheduler) Waiting() int {
	n := 0
	s.eachQueue(func(q *Queue) { n += q.Len() })
	return n
}

// WaitingOf returns the number of waiting tasks of a contract.
func (s *Scheduler) WaitingOf(contract string) int {
	n := 0
	s.eachQueue(func(q *Queue) { n += q.Waiting(contract) })
	return n
}

func (s *Scheduler) eachQueue(f func(*Queue)) {
	f(s.queue)
	for _, a := range s.Pool.all {
		if a.bound != nil {
			f(a.bound)
		}
	}
}

// Push adds a job.
func (s *Scheduler) Push(j *Job) {
	slots, memory := s.Pool.Largest()
	for i := range j.Tasks {
		j.Tasks[i].weight = Units(j.Tasks[i].Memory, memory, slots)
	}
	if s.pushBound(j) {
		return
	}
	j.queue = s.queue
	s.queue.Push(j)
}

// PutBack returns tasks that an agent proved never to have started.
func (s *Scheduler) PutBack(j *Job, tasks ...Task) {
	if j.queue == nil {
		j.Tasks = append(j.Tasks, tasks...)
		s.Push(j)
		return
	}
	j.queue.PutBack(j, tasks...)
}

// Remove drops a job's waiting tasks and returns them.
func (s *Scheduler) Remove(j *Job) []Task {
	if j.queue != nil {
		return j.queue.Remove(j)
	}
	var tasks []Task
	for _, part := range j.parts {
		left := part.queue.Remove(part)
		part.agent.boundUnits -= part.agent.sumUnits(left)
		tasks = append(tasks, left...)
	}
	j.parts = nil
	return tasks
}

// Drop forgets an agent. Tasks bound to it, that were never sent, are bound anew.
func (s *Scheduler) Drop(id string) {
	a := s.Pool.Agent(id)
	if a == nil {
		return
	}
	for i := len(s.reserved) - 1; i >= 0; i-- {
		if s.reserved[i].agent == a {
			s.release(i)
		}
	}
	s.Pool.Drop(id)
	if a.bound != nil {
		s.rebind(a.bound)
	}
}

// Retry looks again for agents to reserve. Call it when agents change, and about
// once a second.
func (s *Scheduler) Retry() {
	for _, f := range s.unplaced {
		s.queue.setBlocked(f, reserving, false)
	}
	s.unplaced = s.unplaced[:0]
	if s.queue.Len() > 0 && len(s.Pool.all) > 0 && s.picker.Bind(s.Pool, Need{Tasks: 1}) != nil {
		s.rebind(s.queue)
	}
}

// Next places tasks of the job that goes next. It returns false when nothing can
// be placed before credits, limits or tasks change.
func (s *Scheduler) Next(now time.Time) (Placement, bool) {
	if p, ok := s.nextReserved(now); ok {
		return p, true
	}
	if p, ok := s.nextBound(now); ok {
		return p, true
	}
	for {
		j := s.queue.Next()
		if j == nil {
			return Placement{}, false
		}
		need := needOf(j)
		a := s.picker.Pick(s.Pool, need)
		if a == nil {
			if s.large(need) {
				s.reserve(j.flow, need)
				continue
			}
			return Placement{}, false
		}
		if p, ok := s.take(now, s.queue, j, a); ok {
			return p, true
		}
	}
}

// large reports whether a task takes several credits even on the largest agent.
func (s *Scheduler) large(need Need) bool {
	slots, memory := s.Pool.Largest()
	return Units(need.Memory, memory, slots) > 1
}

func needOf(j *Job) Need {
	t := &j.Tasks[0]
	return Need{Memory: t.Memory, Run: t.Run, Tasks: len(j.Tasks)}
}

// take places as many tasks of a job as fit an agent's credits and the
// contract's limits. With no room under the limits it blocks the contract.
func (s *Scheduler) take(now time.Time, q *Queue, j *Job, a *Agent) (Placement, bool) {
	// The first task fits, or the agent would not have been chosen.
	fit, left := 1, a.atOnce()-a.units(j.Tasks[0].Memory)
	for i := 1; i < len(j.Tasks); i++ {
		left -= a.units(j.Tasks[i].Memory)
		if left < 0 {
			break
		}
		fit++
	}
	n := s.limiter.Allow(now, j.Contract, j.Tasks[:fit])
	if n == 0 {
		q.Block(j.Contract)
		return Placement{}, false
	}
	tasks := q.Take(j, n)
	used := a.sumUnits(tasks)
	s.Pool.Started(a, used)
	if j.whole != nil {
		a.boundUnits -= used
		j = j.whole
	}
	return Placement{Agent: a, Job: j, Tasks: tasks, Units: used}, true
}

// nextReserved places a large task whose agent has gathered enough credits. Of
// slots that all entries share it may never gather them while the others have
// work: then the task waits there, where slots are kept for it.
func (s *Scheduler) nextReserved(now time.Time) (Placement, bool) {
	for i := len(s.reserved) - 1; i >= 0; i-- {
		r := s.reserved[i]
		if r.flow.jobs.Len() == 0 {
			s.release(i)
			continue
		}
		j := r.flow.jobs.First()
		if r.agent.usable() < r.agent.units(j.Tasks[0].Memory) && r.agent.overbook == 0 {
			continue
		}
		s.release(i)
		if p, ok := s.take(now, s.queue, j, r.agent); ok {
			return p, true
		}
	}
	return Placement{}, false
}

// reserve takes a contract out of the order and keeps an agent for its next task.
func (s *Scheduler) reserve(f *flow, need Need) {
	s.queue.setBlocked(f, reserving, true)
	var best *Agent
	if len(s.reserved)*reservedShare < len(s.Pool.all) {
		for _, a := range s.Pool.all {
			if a.reservedFor != nil || a.Standing != Open || a.units(need.Memory) > a.Slots {
				continue
			}
			if best == nil || a.credits > best.credits {
				best = a
			}
		}
	}
	if best == nil {
		s.unplaced = append(s.unplaced, f)
		return
	}
	best.reservedFor = f
	s.reserved = append(s.reserved, reservation{flow: f, agent: best})
}

func (s *Scheduler) release(i int) {
	r := s.reserved[i]
	r.agent.reservedFor = nil
	s.queue.setBlocked(r.flow, reserving, false)
	last := len(s.reserved) - 1
	s.reserved[i] = s.reserved[last]
	s.reserved = s.reserved[:last]
}

// Want returns how many units more than its credits this entry could start at an
// agent.
func (s *Scheduler) Want(a *Agent) int {
	want := a.boundUnits
	switch f := a.reservedFor; {
	case a.Standing == Suspended || a.shared:
		return 0
	case f != nil && f.jobs.Len() > 0:
		want = a.units(f.jobs.First().Tasks[0].Memory)
	case a.bound == nil && s.queue.Ready():
		agents := len(s.Pool.all)
		want = (s.queue.Len() + agents - 1) / agents
	}
	return max(min(want, a.Slots)-a.credits, 0)
}
