package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// recovery gathers what the agents know of a job whose home is gone. It starts
// nothing: the answer is complete when every result is found, and otherwise
// "outcome unknown".
type recovery struct {
	job      *pb.Job
	deadline time.Time
	asked    map[*agent]bool // true: has answered, and runs nothing of the job
	running  map[uint32]*agent
	results  []*pb.TaskResult
	missing  int
}

// Recover fences a job of another home at every agent and gathers its results.
// Call it only when the home can't be reached. The answer comes with Ready; true
// tells that a recovery of the job was running.
func (e *Entry) Recover(now time.Time, j *pb.Job) (joined bool) {
	if e.recoveries[j.Id] != nil {
		return true
	}
	r := &recovery{
		job: j, deadline: now.Add(time.Duration(j.TimeoutMs) * time.Millisecond),
		asked: make(map[*agent]bool), running: make(map[uint32]*agent),
		results: make([]*pb.TaskResult, len(j.Tasks)), missing: len(j.Tasks),
	}
	e.recoveries[j.Id] = r
	for _, a := range e.agents {
		if !a.gone {
			r.asked[a] = false
			e.fenceAt(r, a)
		}
	}
	e.settle(now, r)
	return false
}

func (e *Entry) fenceAt(r *recovery, a *agent) {
	if !a.session.IsUp() {
		return
	}
	if done, ok := r.asked[a]; ok && done {
		return
	}
	r.asked[a] = false
	a.out.Fences = append(a.out.Fences, &pb.Fence{Job: r.job.Id})
	a.dirty = true
}

func (e *Entry) fenceReport(now time.Time, a *agent, f *pb.FenceReport) {
	r := e.recoveries[f.Job]
	if r == nil {
		return
	}
	for _, index := range f.Running {
		r.running[index] = a
	}
	r.asked[a] = true
	r.take(f.Results)
	e.settle(now, r)
}

func (e *Entry) recoveryNews(now time.Time, r *recovery, a *agent, results []*pb.TaskResult) {
	r.take(results)
	e.settle(now, r)
}

func (r *recovery) take(results []*pb.TaskResult) {
	for _, res := range results {
		i := int(res.Task)
		delete(r.running, res.Task)
		if i >= len(r.results) || r.results[i] != nil || res.Outcome != pb.Outcome_OUTCOME_COMPLETE {
			continue
		}
		r.results[i] = res
		r.missing--
	}
}

func (e *Entry) recoveryLost(now time.Time, r *recovery, a *agent) {
	delete(r.asked, a)
	maps.DeleteFunc(r.running, func(_ uint32, at *agent) bool { return at == a })
	e.settle(now, r)
}

// settle answers when nothing more can be learned.
func (e *Entry) settle(now time.Time, r *recovery) {
	if r.missing == 0 {
		e.endRecovery(r, &pb.Answer{Job: r.job.Id, Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: r.results})
		return
	}
	for _, done := range r.asked {
		if !done {
			return
		}
	}
	if len(r.running) == 0 {
		e.endRecovery(r, unknown(r.job.Id, jobs.CodeHomeLost, "the job's home is gone and not every result was found"))
	}
}

func (e *Entry) endRecovery(r *recovery, a *pb.Answer) {
	if e.recoveries[r.job.Id] != r {
		return
	}
	delete(e.recoveries, r.job.Id)
	e.ready.Answers = append(e.ready.Answers, a)
}

func (e *Entry) expireRecoveries(now time.Time) {
	for _, id := range e.recoveryIDs() {
		if r := e.recoveries[id]; !now.Before(r.deadline) {
			e.endRecovery(r, unknown(id, jobs.CodeHomeLost, "the job's home is gone and its deadline has passed"))
		}
	}
}

func (e *Entry) recoveryIDs() []string { return slices.Sorted(maps.Keys(e.recoveries)) }
