package place

import "time"

// Limiter enforces the limits of contracts.
type Limiter interface {
	// Allow returns how many tasks from the front of the slice may start now, and
	// counts these as started.
	Allow(now time.Time, contract string, tasks []Task) int
}

// Placement is a batch of tasks of one job to be sent to one agent in one message.
// Units is the number of credits that they take. Job and Tasks are valid until the
// next call of the scheduler.
type Placement struct {
	Agent *Agent
	Job   *Job
	Tasks []Task
	Units int
}

// Scheduler places the waiting tasks of one entry. Use [NewScheduler].
type Scheduler struct {
	Pool *Pool

	queue     *Queue
	picker    Picker
	limiter   Limiter
	contracts map[string]contractParams
	reserved  []reservation
	// unplaced holds the contracts whose next task needs a reservation but for
	// which no agent could be reserved.
	unplaced []*flow
}

type contractParams struct {
	class  Class
	weight uint32
}

// reservation holds an agent's credits for a task that takes several of them.
// Without it, smaller tasks would use each credit as soon as it is granted and the
// large task would starve.
type reservation struct {
	flow  *flow
	agent *Agent
}

// maxReservedDivisor bounds the agents that are reserved for large tasks at once:
// 4 means a quarter of them.
const maxReservedDivisor = 4

// NewScheduler returns a scheduler without agents or tasks.
func NewScheduler(picker Picker, limiter Limiter) *Scheduler {
	return &Scheduler{
		Pool:      NewPool(),
		queue:     NewQueue(),
		picker:    picker,
		limiter:   limiter,
		contracts: make(map[string]contractParams),
	}
}

// Queue returns the queue of the tasks that are not bound to an agent.
func (s *Scheduler) Queue() *Queue { return s.queue }

// SetContract adds a contract or changes its class and weight.
func (s *Scheduler) SetContract(name string, class Class, weight uint32) {
	s.contracts[name] = contractParams{class: class, weight: weight}
	s.eachQueue(func(q *Queue) { q.SetContract(name, class, weight) })
}

// Unblock resumes scheduling of a contract that the limiter had stopped. Call it
// when a limit may allow more tasks.
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

// Requeue returns tasks to the queue that an agent has proved never to have
// started.
func (s *Scheduler) Requeue(j *Job, tasks ...Task) {
	if j.queue == nil {
		j.Tasks = append(j.Tasks, tasks...)
		s.Push(j)
		return
	}
	j.queue.Requeue(j, tasks...)
}

// Remove removes a job and returns its waiting tasks.
func (s *Scheduler) Remove(j *Job) []Task {
	if j.queue != nil {
		return j.queue.Remove(j)
	}
	var tasks []Task
	for _, sub := range j.subjobs {
		removed := sub.queue.Remove(sub)
		sub.agent.boundUnits -= sub.agent.sumUnits(removed)
		tasks = append(tasks, removed...)
	}
	j.subjobs = nil
	return tasks
}

// RemoveAgent removes an agent. Tasks that are bound to it but were never sent are bound
// to other agents.
func (s *Scheduler) RemoveAgent(id string) {
	a := s.Pool.Agent(id)
	if a == nil {
		return
	}
	for i := len(s.reserved) - 1; i >= 0; i-- {
		if s.reserved[i].agent == a {
			s.release(i)
		}
	}
	s.Pool.RemoveAgent(id)
	if a.bound != nil {
		s.rebind(a.bound)
	}
}

// RetryUnplaced tries again to reserve agents for large tasks and to bind tasks that no
// agent could be found for. Call it when agents change, and about once a second.
func (s *Scheduler) RetryUnplaced() {
	for _, f := range s.unplaced {
		s.queue.setBlocked(f, reserving, false)
	}
	s.unplaced = s.unplaced[:0]
	if s.queue.Len() > 0 && len(s.Pool.all) > 0 && s.picker.Bind(s.Pool, Need{Tasks: 1}) != nil {
		s.rebind(s.queue)
	}
}

// Next places tasks of the next job. It returns false when nothing can be placed
// until credits, limits or tasks change.
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
		need := nextNeed(j)
		a := s.picker.Pick(s.Pool, need)
		if a == nil {
			if s.large(need) {
				s.reserve(j.flow, need)
				continue
			}
			return Placement{}, false
		}
		if p, ok := s.tryPlace(now, s.queue, j, a); ok {
			return p, true
		}
	}
}

// large reports whether a task takes several credits even on the largest agent.
func (s *Scheduler) large(need Need) bool {
	slots, memory := s.Pool.Largest()
	return Units(need.Memory, memory, slots) > 1
}

func nextNeed(j *Job) Need {
	t := &j.Tasks[0]
	return Need{Memory: t.Memory, RunTime: t.RunTime, Tasks: len(j.Tasks)}
}

// tryPlace places as many tasks of a job as the agent's credits and the limits of the
// contract allow. If the limits allow none, it blocks the contract and returns
// false.
func (s *Scheduler) tryPlace(now time.Time, q *Queue, j *Job, a *Agent) (Placement, bool) {
	// The first task fits, otherwise the agent would not have been chosen.
	fit, free := 1, a.batchLimit()-a.units(j.Tasks[0].Memory)
	for i := 1; i < len(j.Tasks); i++ {
		free -= a.units(j.Tasks[i].Memory)
		if free < 0 {
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
	if j.parent != nil {
		a.boundUnits -= used
		j = j.parent
	}
	return Placement{Agent: a, Job: j, Tasks: tasks, Units: used}, true
}

// nextReserved places a large task whose reserved agent has accumulated enough
// credits. An agent with shared slots may never have enough of them free while the
// other entries have work; such an agent is overbooked, and the task is sent to
// wait there, where the agent holds slots for it.
func (s *Scheduler) nextReserved(now time.Time) (Placement, bool) {
	for i := len(s.reserved) - 1; i >= 0; i-- {
		r := s.reserved[i]
		if r.flow.jobs.Len() == 0 {
			s.release(i)
			continue
		}
		j := r.flow.jobs.First()
		if r.agent.usable() < r.agent.units(j.Tasks[0].Memory) && r.agent.overbookUnits == 0 {
			continue
		}
		s.release(i)
		if p, ok := s.tryPlace(now, s.queue, j, r.agent); ok {
			return p, true
		}
	}
	return Placement{}, false
}

// reserve stops scheduling a contract and reserves an agent for its next task.
func (s *Scheduler) reserve(f *flow, need Need) {
	s.queue.setBlocked(f, reserving, true)
	var best *Agent
	if len(s.reserved)*maxReservedDivisor < len(s.Pool.all) {
		for _, a := range s.Pool.all {
			if a.reservedFor != nil || a.Health != Healthy || a.units(need.Memory) > a.Slots {
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

// WantedCredits returns how many units this entry could start at an agent beyond the credits
// that it holds there.
func (s *Scheduler) WantedCredits(a *Agent) int {
	want := a.boundUnits
	switch f := a.reservedFor; {
	case a.Health == Suspended || a.shared:
		return 0
	case f != nil && f.jobs.Len() > 0:
		want = a.units(f.jobs.First().Tasks[0].Memory)
	case a.bound == nil && s.queue.Ready():
		agents := len(s.Pool.all)
		want = (s.queue.Len() + agents - 1) / agents
	}
	return max(min(want, a.Slots)-a.credits, 0)
}
