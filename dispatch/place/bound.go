package place

import (
	"maps"
	"slices"
	"time"
)

// Early-binding policies bind a task to an agent on arrival, where it waits even
// if another agent is free. This file keeps one queue per agent, so that these
// policies can be compared with late binding under the same limits and order.

// pushBound binds each task of a job to an agent and queues it there; tasks bound
// to the same agent stay together. It returns false and changes nothing if the
// picker has no agent for one of the tasks.
func (s *Scheduler) pushBound(j *Job) bool {
	agents := make([]*Agent, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		agents[i] = s.picker.Bind(s.Pool, Need{Memory: t.Memory, RunTime: t.RunTime, Tasks: len(j.Tasks)})
		if agents[i] == nil {
			return false
		}
	}
	var added []*Job
	for i, a := range agents {
		a.boundUnits += a.units(j.Tasks[i].Memory)
		pos := slices.IndexFunc(added, func(sub *Job) bool { return sub.agent == a })
		if pos < 0 {
			pos = len(added)
			added = append(added, &Job{
				ID: j.ID, Contract: j.Contract, Kind: j.Kind,
				DueTime: j.DueTime, Deadline: j.Deadline, MinRunTime: j.MinRunTime, parent: j, agent: a,
			})
		}
		added[pos].Tasks = append(added[pos].Tasks, j.Tasks[i])
	}
	j.Tasks = nil
	j.queue = nil
	j.subjobs = append(j.subjobs, added...)
	for _, sub := range added {
		sub.queue = s.boundQueue(sub.agent)
		sub.queue.Push(sub)
	}
	return true
}

func (s *Scheduler) boundQueue(a *Agent) *Queue {
	if a.bound == nil {
		a.bound = NewQueue()
		for name, params := range s.contracts {
			a.bound.SetContract(name, params.class, params.weight)
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
			if p, ok := s.tryPlace(now, a.bound, j, a); ok {
				return p, true
			}
		}
	}
	return Placement{}, false
}

// rebind binds the tasks of a queue to agents again, after the agent of the queue
// was removed or when the tasks arrived before any agent.
func (s *Scheduler) rebind(q *Queue) {
	var jobs []*Job
	for _, name := range slices.Sorted(maps.Keys(q.flows)) {
		f := q.flows[name]
		for f.jobs.Len() > 0 {
			j := f.jobs.First()
			tasks := q.Remove(j)
			if j.parent != nil {
				j = j.parent
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
