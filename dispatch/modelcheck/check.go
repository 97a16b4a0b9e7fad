package modelcheck

import (
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// jobTruth is the ground truth on a job: what actually happened to it.
type jobTruth struct {
	job  *pb.Job
	home *entryProcess

	// started counts the starts of each task, runs holds where it started last.
	started []int
	runs    map[int]*agentProcess
	// sentTo is the agent to which the home sent each task last.
	sentTo map[int]*agentProcess

	acceptedAt        time.Time
	answer            *pb.Answer // the home's, or the recovery's
	notRun, cancelled bool
	// recovered is set when some entry assumes, rightly or not, that the home is gone.
	// fencedAt holds the agent processes that reported to have fenced the job.
	recovered bool
	fencedAt  map[*agentProcess]bool
}

func (w *World) checkStart(a *agentProcess, r agent.Run) {
	w.report.Starts++
	w.tracef("%s starts %s/%d", a.name, shortID(r.Job), r.Task)
	t := w.jobs[job.Name(r.Contract, r.Job)]
	if t == nil {
		w.violation("start of a job that no caller submitted: %s", r.Job)
		return
	}
	t.started[r.Task]++
	t.runs[int(r.Task)] = a
	if t.started[r.Task] > 1 {
		w.violation("task %s/%d started %d times", shortID(r.Job), r.Task, t.started[r.Task])
	}
	if t.fencedAt[a] {
		w.violation("task %s/%d started at %s, which had fenced the job", shortID(r.Job), r.Task, a.name)
	}
	if t.notRun {
		w.violation("task %s/%d started after \"not run\"", shortID(r.Job), r.Task)
	}
}

// accepted records that a home has accepted a job, and checks later that the job has been
// answered. If two bodies are submitted under one id, the first to arrive is the job.
func (w *World) accepted(e *entryProcess, t *jobTruth, j *pb.Job) {
	if !t.acceptedAt.IsZero() {
		w.violation("job %s accepted twice", shortID(t.job.Id))
	}
	t.acceptedAt = w.now
	t.job = j
	bound := time.Duration(t.job.TimeoutMs)*time.Millisecond + 300*time.Millisecond
	w.after(bound, func() {
		if e.alive && !e.wasPaused && t.answer == nil {
			w.violation("job %s was not answered within the allowed time after its deadline", shortID(t.job.Id))
		}
	})
}

func (w *World) answered(e *entryProcess, contract string, a *pb.Answer) {
	w.tracef("%s answers %s: %v %s %s", e.name, shortID(a.Job), a.Outcome, a.Code, a.Message)
	t := w.jobs[job.Name(contract, a.Job)]
	if t == nil {
		return
	}
	if t.answer == nil {
		w.report.Answers[a.Outcome]++
		if a.Outcome == pb.Outcome_OUTCOME_UNKNOWN {
			w.classifyUnknown(e, t)
		}
	}
	w.checkAnswer(e, a)
}

// checkFrame checks that an entry sends no start of a job that it has answered.
func (w *World) checkFrame(c *connection, f *pb.EntryFrame) {
	for _, b := range f.Starts {
		t := w.jobs[b.Job]
		if t == nil || t.home != c.entry {
			continue
		}
		if t.answer != nil {
			w.violation("%s sends a start of job %s, which it has answered", c.entry.name, shortID(t.job.Id))
		}
		for _, start := range b.Tasks {
			t.sentTo[int(start.Task)] = c.agent
		}
	}
}

// recordFences records the fences that an agent reports.
func (w *World) recordFences(a *agentProcess, f *pb.AgentFrame) {
	for _, r := range f.Fenced {
		if t := w.jobs[r.Job]; t != nil && !r.Evicted && !r.HomeAlive {
			t.fencedAt[a] = true
		}
	}
}

// checkAnswer checks an answer, first or repeated, against what actually happened.
func (w *World) checkAnswer(e *entryProcess, a *pb.Answer) {
	t := w.jobs[job.Name("desk", a.Job)]
	if t == nil {
		return
	}
	switch a.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		w.checkComplete(t, a)
	case pb.Outcome_OUTCOME_NOT_RUN:
		for i, n := range t.started {
			if n > 0 {
				w.violation("\"not run\" (%s) for %s whose task %d has started", a.Code, shortID(a.Job), i)
			}
		}
		t.notRun = true
	}
	if a.Outcome != pb.Outcome_OUTCOME_COMPLETE && len(a.Results) > 0 {
		w.violation("answer %v of %s carries results", a.Outcome, shortID(a.Job))
	}
	if e == t.home {
		w.checkConsistent(t, a)
	}
}

func (w *World) checkComplete(t *jobTruth, a *pb.Answer) {
	if len(a.Results) != len(t.job.Tasks) {
		w.violation("complete answer of %s has %d of %d results", shortID(a.Job), len(a.Results), len(t.job.Tasks))
		return
	}
	for i, r := range a.Results {
		want := "ran " + string(t.job.Tasks[i].Payload)
		if r == nil || int(r.Task) != i || string(r.Body) != want {
			w.violation("result %d of %s is %v, want %q", i, shortID(a.Job), r, want)
		}
	}
}

// checkConsistent checks that a home repeats its first answer: a resubmission gets the
// same outcome, or "not found" once the answer is no longer kept.
func (w *World) checkConsistent(t *jobTruth, a *pb.Answer) {
	if t.answer == nil {
		t.answer = a
		return
	}
	if t.answer.Outcome != a.Outcome && a.Code != string(jobs.CodeNotFound) {
		w.violation("job %s was answered %v, then %v", shortID(a.Job), t.answer.Outcome, a.Outcome)
	}
}

// classifyUnknown counts an answer "outcome unknown" as avoidable if the answering entry
// could have learned the outcome. It could not if an agent that had one of the job's
// tasks can't be reached, or if the home is gone.
func (w *World) classifyUnknown(e *entryProcess, t *jobTruth) {
	if w.outcomeKnowable(e, t) {
		w.report.UnknownAvoidable++
		return
	}
	w.report.UnknownUnavoidable++
}

func (w *World) outcomeKnowable(e *entryProcess, t *jobTruth) bool {
	if e != t.home {
		// Without the home, no entry can prove what was sent where. It can prove that
		// the job is complete if every task started at an agent that runs and is
		// reachable.
		for i := range t.started {
			a := t.runs[i]
			if a == nil || !a.alive || w.partitioned(a.name, e.name) || w.now.Before(a.pausedUntil) {
				return false
			}
		}
		return true
	}
	// The home knows which agents it sent the tasks to, and these know the outcomes.
	for i := range t.started {
		if a := t.sentTo[i]; a != nil && (!a.alive || w.partitioned(a.name, e.name) || w.now.Before(a.pausedUntil)) {
			return false
		}
	}
	return true
}

// checkBounds checks that an agent keeps to its limits on records and fences.
func (w *World) checkBounds(a *agentProcess) {
	s := a.core.Size()
	if limit := w.profile.maxRecords(); limit > 0 && s.Tasks > limit {
		w.violation("%s has records of %d tasks, more than %d", a.name, s.Tasks, limit)
	}
	if limit := w.profile.maxFences(); limit > 0 && s.Fences > limit {
		w.violation("%s holds %d fences, more than %d", a.name, s.Fences, limit)
	}
}

// checkEnd checks what must hold at the end of the schedule.
func (w *World) checkEnd() {
	if len(w.report.Violations) > 0 {
		return
	}
	for _, a := range w.agents {
		if n := a.core.Size().Held; n > 0 && a.alive {
			w.violation("%s still holds %d task records that can't be evicted", a.name, n)
		}
	}
	if !w.profile.linkFaultsOnly() {
		return
	}
	for _, t := range w.jobsInOrder {
		w.checkNoJobLost(t)
	}
}

// checkNoJobLost checks a job of a schedule in which only links fail: if its deadline
// leaves enough time, its outcome must be that of its tasks.
func (w *World) checkNoJobLost(t *jobTruth) {
	if t.acceptedAt.IsZero() || t.answer == nil || t.cancelled || t.recovered || t.job.TimeoutMs < 1500 {
		return
	}
	switch t.answer.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		return
	case pb.Outcome_OUTCOME_FAILED:
		if t.answer.Code == string(jobs.CodeTaskFailed) {
			return
		}
	case pb.Outcome_OUTCOME_NOT_RUN:
		if t.answer.Code == string(jobs.CodeOverloaded) || t.answer.Code == string(jobs.CodeQueueFull) {
			return
		}
	}
	w.violation("job %s, with sufficient time, ended %v %s", shortID(t.job.Id), t.answer.Outcome, t.answer.Code)
}
