package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/limit"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// notRun reports whether the endpoint has proven that the task never began.
func (t *task) notRun() bool {
	return t.result != nil && t.result.Outcome == pb.Outcome_OUTCOME_NOT_RUN
}

// start accepts or refuses each task of a batch.
func (a *Agent) start(now time.Time, p *peer, b *pb.StartBatch) {
	for _, ts := range b.Tasks {
		units := a.units(ts.MemoryBytes)
		if rec := a.jobs[b.Job]; rec != nil {
			if t := rec.tasks[ts.Task]; t != nil && t.notRun() && !b.Resent {
				// The home has taken in that the task did not run, and tries it again.
				a.dropTask(t)
			} else if t != nil {
				// A start sent again on a new link after the first arrived: running it
				// twice is what this record prevents. The result, if any, was put on the
				// new link when it came up.
				a.recordTask(now, event.TaskDuplicate, p, refOf(b.Job, ts.Task), "started before")
				a.slots.Unused(p.hello.Incarnation, units)
				continue
			}
		}
		if b.Resent && a.unacked.has(p.hello.Incarnation) {
			// The home was out of reach for so long that results were dropped which it
			// had not acknowledged. This start may belong to one of them; running it
			// could be the second time.
			a.slots.Unused(p.hello.Incarnation, units)
			a.addNews(p, b.Job, recordDropped(ts.Task))
			continue
		}
		verdict, why := limit.Refuse, a.refuse(p, b, units)
		if why == "" {
			verdict, why = a.slots.Start(p.hello.Incarnation, units), job.RefusedNoSlot
		}
		if verdict == limit.Refuse {
			a.recordTask(now, event.TaskRefused, p, refOf(b.Job, ts.Task), why)
			a.slots.Unused(p.hello.Incarnation, units)
			a.addNews(p, b.Job, refusal(ts.Task, why))
			continue
		}
		a.accept(now, p, b, ts, units, verdict)
	}
}

func (a *Agent) units(memory uint64) int {
	return place.Units(memory, a.opts.Hello.MemoryBytes, int(a.opts.Hello.Slots))
}

func refOf(name string, index uint32) TaskRef {
	contract, id := job.SplitName(name)
	return TaskRef{Contract: contract, Job: id, Task: index}
}

func recordDropped(index uint32) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Error: "the agent has dropped its record of the task"}
}

func refusal(index uint32, why string) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Error: why}
}

func (a *Agent) refuse(p *peer, b *pb.StartBatch, units int) string {
	_, bare := job.SplitName(b.Job)
	id, err := job.Parse(bare)
	switch {
	case err != nil || (id.HasHome() && id.Home.Incarnation != p.hello.Incarnation):
		return job.RefusedForeign
	case a.fenced(b.Job):
		return job.RefusedFenced
	case a.leaving:
		return job.RefusedLeaving
	case units > int(a.opts.Hello.Slots):
		return job.RefusedMemory
	case a.full():
		return job.RefusedFull
	}
	return ""
}

// full reports whether the agent would have to forget something that an entry
// has not acknowledged in order to take one more task.
func (a *Agent) full() bool {
	a.evict()
	return a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes
}

// accept keeps a record of a task and starts it, or puts it in the queue.
func (a *Agent) accept(now time.Time, p *peer, b *pb.StartBatch, ts *pb.TaskStart, units int, verdict limit.Verdict) {
	rec := a.jobs[b.Job]
	if rec == nil {
		contract, id := job.SplitName(b.Job)
		rec = &record{
			name: b.Job, contract: contract, id: id, home: p.hello.Incarnation, digest: b.Digest,
			tasks: make(map[uint32]*task, len(b.Tasks)),
		}
		a.jobs[b.Job] = rec
	}
	t := &task{rec: rec, index: ts.Task, memory: ts.MemoryBytes, units: units}
	rec.tasks[ts.Task] = t
	rec.open++
	rec.running++
	a.tasks++
	r := Run{
		TaskRef:  rec.ref(ts.Task),
		Kind:     b.Kind,
		Payload:  ts.Payload,
		Deadline: now.Add(time.Duration(b.TimeoutMs) * time.Millisecond),
	}
	if verdict == limit.Queue {
		a.enqueue(queued{t, r, b.Class})
		return
	}
	a.run(now, p, t, r)
}

func (a *Agent) run(now time.Time, p *peer, t *task, r Run) {
	a.recordTask(now, event.TaskStarted, p, r.TaskRef, "")
	a.running++
	a.reserve(t.rec.contract, 1, int64(t.memory))
	a.ready.Run = append(a.ready.Run, r)
}

func (a *Agent) reserve(contract string, tasks int, memory int64) {
	a.reserved = uint64(int64(a.reserved) + memory)
	l := a.loads[contract]
	if l == nil {
		l = &pb.ContractLoad{Contract: contract}
		a.loads[contract] = l
	}
	l.Running = uint32(int(l.Running) + tasks)
	l.MemoryBytes = uint64(int64(l.MemoryBytes) + memory)
	if l.Running == 0 {
		delete(a.loads, contract)
	}
}

// TaskEnded takes in the end of a task that Ready.Run asked for. The result's
// outcome is complete, failed, not run (the endpoint proved it never began) or
// unknown.
func (a *Agent) TaskEnded(now time.Time, ref TaskRef, res *pb.TaskResult) {
	rec := a.jobs[job.Name(ref.Contract, ref.Job)]
	if rec == nil {
		return
	}
	t := rec.tasks[ref.Task]
	if t == nil || t.result != nil {
		return
	}
	res.Task = ref.Task
	t.result = res
	rec.running--
	a.recordEnd(now, rec, res)
	a.running--
	a.slots.End(rec.home, t.units)
	a.resultBytes += len(res.Body)
	a.reserve(rec.contract, -1, -int64(t.memory))
	a.runQueued(now)
	home := a.homeOf(rec)
	if home != nil && home.session.IsUp() {
		a.addNews(home, rec.name, res)
		a.regrant(home, t.units)
	}
	for _, w := range rec.watchers {
		if p := a.peer(w); p != nil && p.session.IsUp() {
			a.addNews(p, rec.name, res)
		}
	}
	a.retire(rec)
	a.balance(now)
}

// dropTask forgets one task that has not run. Until its home has acknowledged
// that, or starts it anew, the record stays: a start that was sent again before
// the home learned of the end would run here while the home sends it elsewhere.
func (a *Agent) dropTask(t *task) {
	if !t.acked {
		t.acked = true
		t.rec.open--
	}
	delete(t.rec.tasks, t.index)
	a.tasks--
	a.resultBytes -= len(t.result.Body)
	if len(t.rec.tasks) == 0 {
		delete(a.jobs, t.rec.name)
		return
	}
	a.retire(t.rec)
}

func (a *Agent) homeOf(rec *record) *peer { return a.peer(rec.home) }

func (a *Agent) revoke(now time.Time, p *peer, r *pb.Revoke) {
	rec := a.jobs[r.Job]
	for _, index := range r.Tasks {
		var t *task
		if rec != nil {
			t = rec.tasks[index]
		}
		switch {
		case t == nil && a.unacked.has(p.hello.Incarnation):
			// It may be one of those whose record was dropped: "not run" can't be said.
			a.addNews(p, r.Job, recordDropped(index))
		case t == nil:
			// The link is in order and older links are dropped: a start for this task
			// can no longer arrive before the entry has seen this refusal.
			a.recordTask(now, event.TaskRevoked, p, refOf(r.Job, index), "before it came")
			a.addNews(p, r.Job, refusal(index, job.RefusedRevoked))
		case t.queued:
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "before it started")
			a.unqueue(t, job.RefusedRevoked)
		case t.result == nil && !t.stopping:
			t.stopping = true
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "while it runs")
			a.ready.Stop = append(a.ready.Stop, rec.ref(index))
		}
	}
}

// finished drops a job that its home has answered.
func (a *Agent) finished(id string) {
	rec := a.jobs[id]
	if rec == nil || rec.open > 0 {
		return
	}
	a.forget(rec)
}
