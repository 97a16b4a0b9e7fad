package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// fence refuses every later start of a job whose home is taken for gone, and
// reports what was started.
func (a *Agent) fence(now time.Time, p *peer, f *pb.Fence) {
	report := &pb.FenceReport{Job: f.Job}
	_, bare := job.SplitName(f.Job)
	id, _ := job.Parse(bare)
	if home := a.peer(id.Home.Incarnation); !f.HomeEnded && home != nil && home.session.IsUp() && !home.session.Silent(now) {
		// The asker can't reach the home, but this agent does: fencing would end a
		// job that goes well.
		report.HomeAlive = true
	} else if !a.addFence(now, f.Job) {
		// Without room the job can't be fenced, and saying so keeps the asker from
		// drawing conclusions.
		report.Evicted = true
	}
	if a.evicted.has(id.Home.Incarnation) {
		report.Evicted = true
	}
	if a.fenced(f.Job) {
		a.unqueueJob(f.Job, job.RefusedFenced)
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
	p.out.Fenced = append(p.out.Fenced, report)
	p.dirty = true
}

// addFence reports whether the job is fenced.
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

func (a *Agent) fenced(jobID string) bool {
	_, ok := a.fences[jobID]
	return ok
}

func (a *Agent) expireFences(now time.Time) {
	n := 0
	for ; n < len(a.fenceOrder) && a.fences[a.fenceOrder[n]].Before(now); n++ {
		delete(a.fences, a.fenceOrder[n])
	}
	a.fenceOrder = a.fenceOrder[n:]
}
