package place

import (
	"maps"
	"slices"
	"time"
)

// The plain policies bind a task to an agent on arrival, where it then waits
// even if another agent is free. This file keeps one queue for each agent, so
// that they can be compared with late binding under the same limits and order.

// pushBound binds each task of a job; tasks for the same agent stay together. It
// returns false and changes nothing if the picker has no agent for some task.
func (s *Scheduler) pushBound(j *Job) bool {
	agents := make([]*Agent, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		agents[i] = s.picker.Bind(s.Pool, Need{Memory: t.Memory, Run: t.Run, Tasks: len(j.Tasks)})
		if agents[i] == nil {
			return false
		}
	}
	var added []*Job
	for i, a := range agents {
		a.boundUnits += a.units(j.Tasks[i].Memory)
		pos := slices.IndexFunc(added, func(part *Job) bool { return part.agent == a })
		if pos < 0 {
			pos = len(added)
			added = append(added, &Job{
				ID: j.ID, Contract: j.Contract, Kind: j.Kind,
				Due: j.Due, Deadline: j.Deadline, MinRun: j.MinRun, whole: j, agent: a,
			})
		}
		added[pos].Tasks = append(added[pos].Tasks, j.Tasks[i])
	}
	j.Tasks = nil
	j.queue = nil
	j.parts = append(j.parts, added...)
	for _, part := range added {
		part.queue = s.boundQueue(part.agent)
		part.queue.Push(part)
	}
	return true
}

func (s *Scheduler) boundQueue(a *Agent) *Queue {
	if a.bound == nil {
		a.bound = NewQueue()
		for name, sh := range s.weights {
			a.bound.SetContract(name, sh.class, sh.weight)
		}
	}
	return a.bound
}

func (s *Scheduler) nextBound(now time.Time) (Placement, bool) {
	for _, a := range s.Pool.ready {
		if a.bound == nil {
			continue
		}
		for j := a.bound.Next(); j != nil; j = a.bound.Next() {
			if a.usable() < a.units(j.Tasks[0].Memory) {
				break
			}
			if p, ok := s.take(now, a.bound, j, a); ok {
				return p, true
			}
		}
	}
	return Placement{}, false
}

// rebind binds the tasks of a queue anew: its agent is gone, or there was none.
func (s *Scheduler) rebind(q *Queue) {
	var jobs []*Job
	for _, name := range slices.Sorted(maps.Keys(q.flows)) {
		f := q.flows[name]
		for f.jobs.Len() > 0 {
			j := f.jobs.First()
			tasks := q.Remove(j)
			if j.whole != nil {
				j = j.whole
			}
			j.Tasks = append(j.Tasks, tasks...)
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		if len(j.Tasks) > 0 {
			s.Push(j)
		}
	}
}
