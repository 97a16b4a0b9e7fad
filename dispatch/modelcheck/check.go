package modelcheck

import (
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// jobTruth is what really happened to a job.
type jobTruth struct {
	job  *pb.Job
	home *entryProcess

	started []int
	runs    map[int]*agentProcess
	// sentTo is where each task was sent last.
	sentTo map[int]*agentProcess

	acceptedAt        time.Time
	answer            *pb.Answer // the home's, or the recovery's
	notRun, cancelled bool
	// recovered: some entry took the home for gone, rightly or not. sealed holds
	// the agent processes that said to have fenced the job.
	recovered bool
	sealed    map[*agentProcess]bool
}

func (w *World) checkStart(a *agentProcess, r agent.Run) {
	w.report.Starts++
	w.tracef("%s starts %s/%d", a.name, shortID(r.Job), r.Task)
	t := w.jobs[job.Name(r.Contract, r.Job)]
	if t == nil {
		w.violation("start of a job nobody sent: %s", r.Job)
		return
	}
	t.started[r.Task]++
	t.runs[int(r.Task)] = a
	if t.started[r.Task] > 1 {
		w.violation("task %s/%d started %d times", shortID(r.Job), r.Task, t.started[r.Task])
	}
	if t.sealed[a] {
		w.violation("task %s/%d started at %s behind its fence", shortID(r.Job), r.Task, a.name)
	}
	if t.notRun {
		w.violation("task %s/%d started after \"not run\"", shortID(r.Job), r.Task)
	}
}

// accepted notes that a home has taken a job in, and that it owes an answer.
// With two bodies under one id, the first to arrive is the job.
func (w *World) accepted(e *entryProcess, t *jobTruth, j *pb.Job) {
	if !t.acceptedAt.IsZero() {
		w.violation("job %s accepted twice", shortID(t.job.Id))
	}
	t.acceptedAt = w.now
	t.job = j
	bound := time.Duration(t.job.TimeoutMs)*time.Millisecond + 300*time.Millisecond
	w.after(bound, func() {
		if e.alive && !e.disturbed && t.answer == nil {
			w.violation("job %s has no answer by its deadline and a bound", shortID(t.job.Id))
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
			w.judgeUnknown(e, t)
		}
	}
	w.checkAnswer(e, a)
}

// checkFrame looks at what an entry sends: nothing of a job that it has answered.
func (w *World) checkFrame(c *connection, f *pb.EntryFrame) {
	for _, b := range f.Starts {
		t := w.jobs[b.Job]
		if t == nil || t.home != c.entry {
			continue
		}
		if t.answer != nil {
			w.violation("%s sends a start of %s, which it has answered", c.entry.name, shortID(t.job.Id))
		}
		for _, start := range b.Tasks {
			t.sentTo[int(start.Task)] = c.agent
		}
	}
}

// noteFences notes what an agent says that it has fenced.
func (w *World) noteFences(a *agentProcess, f *pb.AgentFrame) {
	for _, r := range f.Fenced {
		if t := w.jobs[r.Job]; t != nil && !r.Evicted && !r.HomeAlive {
			t.sealed[a] = true
		}
	}
}

// checkAnswer checks one answer, first or repeated, against what happened.
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
		w.checkSame(t, a)
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

// checkSame holds a home to its first answer: a resubmission gets the same, or
// once that is no longer kept, that nothing is known.
func (w *World) checkSame(t *jobTruth, a *pb.Answer) {
	if t.answer == nil {
		t.answer = a
		return
	}
	if t.answer.Outcome != a.Outcome && a.Code != string(jobs.CodeNotFound) {
		w.violation("job %s was answered %v, then %v", shortID(a.Job), t.answer.Outcome, a.Outcome)
	}
}

// judgeUnknown decides whether anybody could have known better: a task that was
// started where the answering entry can't hear, or a home that is gone.
func (w *World) judgeUnknown(e *entryProcess, t *jobTruth) {
	if w.knowable(e, t) {
		w.report.UnknownAvoidable++
		return
	}
	w.report.UnknownNeeded++
}

func (w *World) knowable(e *entryProcess, t *jobTruth) bool {
	if e != t.home {
		// Of a dead home nobody can prove what it sent and where; complete is
		// provable when every task ended at an agent that lives and is reached.
		for i := range t.started {
			a := t.runs[i]
			if a == nil || !a.alive || w.cut(a.name, e.name) || w.now.Before(a.pausedUntil) {
				return false
			}
		}
		return true
	}
	// The home knows what it sent, and the agent what came of it.
	for i := range t.started {
		if a := t.sentTo[i]; a != nil && (!a.alive || w.cut(a.name, e.name) || w.now.Before(a.pausedUntil)) {
			return false
		}
	}
	return true
}

// checkBounds holds an agent to its memory bounds.
func (w *World) checkBounds(a *agentProcess) {
	s := a.core.Size()
	if limit := w.profile.maxRecords(); limit > 0 && s.Tasks > limit {
		w.violation("%s remembers %d tasks, more than %d", a.name, s.Tasks, limit)
	}
	if limit := w.profile.maxFences(); limit > 0 && s.Fences > limit {
		w.violation("%s holds %d fences, more than %d", a.name, s.Fences, limit)
	}
}

// checkEnd checks what must hold once all has settled.
func (w *World) checkEnd() {
	if len(w.report.Violations) > 0 {
		return
	}
	for _, a := range w.agents {
		if n := a.core.Size().Held; n > 0 && a.alive {
			w.violation("%s still holds %d tasks that nobody waits for", a.name, n)
		}
	}
	if !w.profile.onlyLinks() {
		return
	}
	for _, t := range w.order {
		w.checkNothingLost(t)
	}
}

// checkNothingLost: where processes stay up and only links fail, a job with time
// to spare can't end as anything but what its tasks did.
func (w *World) checkNothingLost(t *jobTruth) {
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
	w.violation("job %s, with time to spare, ended %v %s", shortID(t.job.Id), t.answer.Outcome, t.answer.Code)
}
