package modelcheck

import (
	"fmt"
	"strconv"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

const (
	jobsPerSchedule = 14
	// jobsPerSmallSchedule is higher, to fill the small tables.
	jobsPerSmallSchedule = 28
)

func (w *World) scheduleCallers() {
	n := jobsPerSchedule
	if w.profile.smallTables {
		n = jobsPerSmallSchedule
	}
	for i := range n {
		w.after(time.Duration(w.rng.Int64N(int64(faultsEnd))), func() { w.newJob(i) })
	}
}

// newJob submits a new job to its home, the entry whose token its id contains, and
// schedules what callers may do afterwards: resubmit or cancel it at any entry, submit
// another body under its id, or try to access it as another customer.
func (w *World) newJob(i int) {
	home := w.entries[w.rng.IntN(numEntries)]
	if !home.alive {
		return
	}
	j := &pb.Job{
		Id: home.core.Token(w.now).String() + ".j" + strconv.Itoa(i), Contract: "desk", Kind: "gauge",
		TimeoutMs: uint32(300 + w.rng.IntN(1700)),
	}
	if w.profile.longPauses {
		// Long enough to outlive a pause.
		j.TimeoutMs += 3000
	}
	for t := range 1 + w.rng.IntN(4) {
		j.Tasks = append(j.Tasks, &pb.Task{Payload: []byte(fmt.Sprintf("%d/%d", i, t))})
	}
	truth := &jobTruth{job: j, home: home, started: make([]int, len(j.Tasks)), runs: make(map[int]*agentProcess), fencedAt: make(map[*agentProcess]bool), sentTo: make(map[int]*agentProcess)}
	w.jobs[job.Name(j.Contract, j.Id)] = truth
	w.jobsInOrder = append(w.jobsInOrder, truth)
	w.submit(home, j)
	for range w.rng.IntN(4) {
		w.after(w.randomDuration(1, 3000), func() { w.submit(w.randomEntry(), j) })
	}
	if w.chance(0.1) {
		w.after(w.randomDuration(1, 9000), func() { w.submit(w.randomEntry(), j) })
	}
	if w.chance(0.15) {
		w.after(w.randomDuration(1, 800), func() { w.cancel(w.randomEntry(), j) })
	}
	if w.chance(0.1) {
		conflicting := &pb.Job{Id: j.Id, Contract: "desk", Kind: "gauge", TimeoutMs: j.TimeoutMs, Tasks: []*pb.Task{{Payload: []byte("other")}}}
		w.after(w.randomDuration(1, 3000), func() { w.submit(w.randomEntry(), conflicting) })
	}
	if w.chance(0.1) {
		w.after(w.randomDuration(1, 3000), func() { w.accessAsOther(w.randomEntry(), j) })
	}
}

func (w *World) randomEntry() *entryProcess { return w.entries[w.rng.IntN(numEntries)] }

func (w *World) submit(e *entryProcess, j *pb.Job) {
	w.after(w.randomDelay(), func() { w.run(&e.process, func() { w.route(e, j, false) }) })
}

func (w *World) cancel(e *entryProcess, j *pb.Job) {
	w.tracef("caller cancels %s at %s", shortID(j.Id), e.name)
	w.after(w.randomDelay(), func() { w.run(&e.process, func() { w.route(e, j, true) }) })
}

func shortID(id string) string {
	p, err := job.Parse(id)
	if err != nil {
		return id
	}
	return shortIncarnation(p.Home.Incarnation) + "." + p.Key
}

// accessAsOther tries to fetch and cancel a job as another customer who knows its id.
func (w *World) accessAsOther(e *entryProcess, j *pb.Job) {
	w.run(&e.process, func() {
		if a, known := e.core.Fetch(j.Id, "other"); known || a != nil {
			w.violation("contract other reads job %s", j.Id)
		}
		if a, known := e.core.Cancel(w.now, j.Id, "other"); known || a != nil {
			w.violation("contract other cancels job %s", j.Id)
		}
		w.pumpEntry(e)
	})
}

// route handles a caller's request as the driver of an entry does: the home serves it,
// another entry forwards it to the home, or recovers the job if the home is not listed.
func (w *World) route(e *entryProcess, j *pb.Job, cancel bool) {
	id, _ := job.Parse(j.Id)
	if id.Home.Incarnation == e.incarnation {
		w.serve(e, j, cancel)
		return
	}
	if name, listed := e.view[id.Home.Incarnation]; listed {
		w.forward(e, name, id.Home.Incarnation, j, cancel)
		return
	}
	w.recover(e, j, cancel, false)
}

// forwardTimeout is how long an entry waits for the home before it recovers the job from
// the agents.
const forwardTimeout = 400 * time.Millisecond

func (w *World) forward(e *entryProcess, name, incarnation string, j *pb.Job, cancel bool) {
	answered := false
	w.after(forwardTimeout, func() {
		if !answered {
			w.run(&e.process, func() { w.recover(e, j, cancel, false) })
		}
	})
	if w.partitioned(e.name, name) {
		return
	}
	w.after(w.randomDelay(), func() {
		to := w.entryNamed(name)
		if to.incarnation != incarnation {
			// Another process answers at the home's address.
			answered = true
			w.after(w.randomDelay(), func() { w.run(&e.process, func() { w.recover(e, j, cancel, true) }) })
			return
		}
		w.run(&to.process, func() { answered = true; w.serve(to, j, cancel) })
	})
}

func (w *World) recover(e *entryProcess, j *pb.Job, cancel, homeEnded bool) {
	if cancel {
		return
	}
	w.tracef("%s recovers %s", e.name, shortID(j.Id))
	if t := w.jobs[job.Name(j.Contract, j.Id)]; t != nil {
		t.recovered = true
	}
	if a := e.core.Recover(w.now, j, homeEnded); a != nil {
		w.checkAnswer(e, a)
	}
	w.pumpEntry(e)
}

func (w *World) serve(e *entryProcess, j *pb.Job, cancel bool) {
	if cancel {
		if t := w.jobs[job.Name(j.Contract, j.Id)]; t != nil {
			t.cancelled = true
		}
		if a, known := e.core.Cancel(w.now, j.Id, j.Contract); known && a != nil {
			w.checkAnswer(e, a)
		}
		w.pumpEntry(e)
		return
	}
	admission, a := e.core.Submit(w.now, j)
	w.tracef("%s handles submission of %s: admission %d %v %s", e.name, shortID(j.Id), admission, a.GetOutcome(), a.GetCode())
	t := w.jobs[job.Name(j.Contract, j.Id)]
	switch admission {
	case entry.Accepted:
		w.accepted(e, t, j)
	case entry.Answered:
		if a.Code == string(jobs.CodeConflict) {
			break
		}
		w.checkAnswer(e, a)
	}
	w.pumpEntry(e)
}

// endpointStart simulates the endpoint's handling of a start.
func (w *World) endpointStart(a *agentProcess, r agent.Run) {
	if w.chance(0.06) {
		w.after(w.randomDuration(1, 60), func() { w.taskEnded(a, r.TaskRef, pb.Outcome_OUTCOME_NOT_RUN, nil) })
		return
	}
	w.checkStart(a, r)
	d := w.randomDuration(5, 300)
	if left := r.Deadline.Sub(w.now); d > left {
		w.after(left, func() { w.taskEnded(a, r.TaskRef, pb.Outcome_OUTCOME_FAILED, nil) })
		return
	}
	outcome := pb.Outcome_OUTCOME_COMPLETE
	if w.chance(0.02) {
		outcome = pb.Outcome_OUTCOME_FAILED
	}
	w.after(d, func() { w.taskEnded(a, r.TaskRef, outcome, append([]byte("ran "), r.Payload...)) })
}

func (w *World) endpointStop(a *agentProcess, ref agent.TaskRef) {
	a.stopped[ref] = true
	w.after(w.randomDuration(1, 20), func() { w.taskEnded(a, ref, pb.Outcome_OUTCOME_FAILED, nil) })
}

func (w *World) taskEnded(a *agentProcess, ref agent.TaskRef, outcome pb.Outcome, body []byte) {
	w.run(&a.process, func() {
		w.tracef("%s ends %s/%d %v", a.name, shortID(ref.Job), ref.Task, outcome)
		a.core.TaskEnded(w.now, ref, &pb.TaskResult{Outcome: outcome, Body: body, Error: "endpoint"})
		w.pumpAgent(a)
	})
}
