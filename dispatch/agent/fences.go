package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// fence makes the agent refuse every later start of a job whose home is presumed
// dead, and reports the job's tasks to the requesting entry.
func (a *Agent) fence(now time.Time, p *peer, f *pb.Fence) {
	report := &pb.FenceReport{Job: f.Job}
	_, bare := job.SplitName(f.Job)
	id, _ := job.Parse(bare)
	if home := a.peer(id.Home.Incarnation); !f.HomeEnded && home != nil && home.session.IsUp() && !home.session.TimedOut(now) {
		// The requesting entry can't reach the home, but this agent can: fencing
		// would end a job that is making progress.
		report.HomeAlive = true
	} else if !a.addFence(now, f.Job) {
		// The table of fences is full and the job is not fenced. Evicted tells the
		// requesting entry that the report is incomplete.
		report.Evicted = true
	}
	if a.evictedHomes.has(id.Home.Incarnation) {
		report.Evicted = true
	}
	if a.fenced(f.Job) {
		a.refuseQueuedJob(f.Job, job.RefusedFenced)
	}
	if rec := a.jobs[f.Job]; rec != nil {
		report.Digest = rec.digest
		for _, t := range rec.sortedTasks() {
			if t.result == nil {
				report.Running = append(report.Running, t.index)
			} else {
				report.Results = append(report.Results, t.result)
			}
		}
		rec.watch(p.hello.Incarnation)
	}
	a.recordFence(now, p, report)
	p.pending.Fenced = append(p.pending.Fenced, report)
	p.dirty = true
}

// addFence fences a job. It returns false if MaxFences is reached.
func (a *Agent) addFence(now time.Time, name string) bool {
	a.expireFences(now)
	if a.fenced(name) {
		return true
	}
	if len(a.fences) >= a.opts.MaxFences {
		return false
	}
	a.fences[name] = now.Add(a.opts.FenceTTL)
	a.fenceOrder = append(a.fenceOrder, name)
	return true
}

func (a *Agent) fenced(name string) bool {
	_, ok := a.fences[name]
	return ok
}

func (a *Agent) expireFences(now time.Time) {
	n := 0
	for ; n < len(a.fenceOrder) && a.fences[a.fenceOrder[n]].Before(now); n++ {
		delete(a.fences, a.fenceOrder[n])
	}
	a.fenceOrder = a.fenceOrder[n:]
}
