package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/limit"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// notRun reports whether the task is known never to have started.
func (t *task) notRun() bool {
	return t.result != nil && t.result.Outcome == pb.Outcome_OUTCOME_NOT_RUN
}

// startBatch accepts or refuses each task of a batch.
func (a *Agent) startBatch(now time.Time, p *peer, b *pb.StartBatch) {
	for _, ts := range b.Tasks {
		units := a.units(ts.MemoryBytes)
		if rec := a.jobs[b.Job]; rec != nil {
			if t := rec.tasks[ts.Task]; t != nil && t.notRun() && !b.Resent {
				// The home has received that the task did not run and retries it.
				a.removeTask(t)
			} else if t != nil {
				// The start was resent on a new link although the first one had arrived.
				// This record keeps the task from running twice. The result, if any, was
				// queued on the new link when the link came up.
				a.recordTask(now, event.TaskDuplicate, p, taskRef(b.Job, ts.Task), "started before")
				a.slots.Refund(p.hello.Incarnation, units)
				continue
			}
		}
		if b.Resent && a.unackedHomes.has(p.hello.Incarnation) {
			// The home was unreachable for so long that results which it had not
			// acknowledged were evicted. This start may belong to one of them, and the
			// task could run a second time.
			a.slots.Refund(p.hello.Incarnation, units)
			a.addResult(p, b.Job, unknownResult(ts.Task))
			continue
		}
		verdict, reason := limit.Refuse, a.refusalReason(p, b, units)
		if reason == "" {
			verdict, reason = a.slots.Start(p.hello.Incarnation, units), job.RefusedNoSlot
		}
		if verdict == limit.Refuse {
			a.recordTask(now, event.TaskRefused, p, taskRef(b.Job, ts.Task), reason)
			a.slots.Refund(p.hello.Incarnation, units)
			a.addResult(p, b.Job, refusal(ts.Task, reason))
			continue
		}
		a.accept(now, p, b, ts, units, verdict)
	}
}

func (a *Agent) units(memory uint64) int {
	return place.Units(memory, a.opts.Hello.MemoryBytes, int(a.opts.Hello.Slots))
}

func taskRef(name string, index uint32) TaskRef {
	contract, id := job.SplitName(name)
	return TaskRef{Contract: contract, Job: id, Task: index}
}

func unknownResult(index uint32) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Error: "the agent has dropped its record of the task"}
}

func refusal(index uint32, reason string) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Error: reason}
}

func (a *Agent) refusalReason(p *peer, b *pb.StartBatch, units int) string {
	_, bare := job.SplitName(b.Job)
	id, err := job.Parse(bare)
	switch {
	case err != nil || (id.HasHome() && id.Home.Incarnation != p.hello.Incarnation):
		return job.RefusedForeignHome
	case a.fenced(b.Job):
		return job.RefusedFenced
	case a.leaving:
		return job.RefusedLeaving
	case units > int(a.opts.Hello.Slots):
		return job.RefusedNoMemory
	case a.full():
		return job.RefusedTableFull
	}
	return ""
}

// full reports whether the agent can accept one more task only by dropping a record
// that an entry still waits for.
func (a *Agent) full() bool {
	a.evict()
	return a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes
}

// accept records a task and starts it, or queues it until a slot is free.
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
	rec.active++
	a.tasks++
	r := Run{
		TaskRef:  rec.ref(ts.Task),
		Kind:     b.Kind,
		Payload:  ts.Payload,
		Deadline: now.Add(time.Duration(b.TimeoutMs) * time.Millisecond),
	}
	if verdict == limit.Queue {
		a.enqueue(queuedTask{t, r, b.Class})
		return
	}
	a.run(now, p, t, r)
}

func (a *Agent) run(now time.Time, p *peer, t *task, r Run) {
	a.recordTask(now, event.TaskStarted, p, r.TaskRef, "")
	a.running++
	a.addLoad(t.rec.contract, 1, int64(t.memory))
	a.ready.Run = append(a.ready.Run, r)
}

func (a *Agent) addLoad(contract string, tasks int, memory int64) {
	a.reservedMemory = uint64(int64(a.reservedMemory) + memory)
	l := a.contractLoads[contract]
	if l == nil {
		l = &pb.ContractLoad{Contract: contract}
		a.contractLoads[contract] = l
	}
	l.Running = uint32(int(l.Running) + tasks)
	l.MemoryBytes = uint64(int64(l.MemoryBytes) + memory)
	if l.Running == 0 {
		delete(a.contractLoads, contract)
	}
}

// TaskEnded handles the end of a task from Ready.Run. The outcome of the result is
// complete, failed, not run (the endpoint has proved that the task never started)
// or unknown. The agent sets res.Task and keeps res.
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
	rec.active--
	a.recordEnd(now, rec, res)
	a.running--
	a.slots.End(rec.home, t.units)
	a.resultBytes += len(res.Body)
	a.addLoad(rec.contract, -1, -int64(t.memory))
	a.startQueued(now)
	home := a.homeOf(rec)
	if home != nil && home.session.IsUp() {
		a.addResult(home, rec.name, res)
		a.grantAgain(home, t.units)
	}
	for _, w := range rec.watchers {
		if p := a.peer(w); p != nil && p.session.IsUp() {
			a.addResult(p, rec.name, res)
		}
	}
	a.queueEviction(rec)
	a.balance(now)
}

// removeTask removes the record of a task that has not run. It is called only after
// the home has acknowledged that result or sent a new start. Before that, a start
// that the home resent without knowing the result would run here while the home
// sends the task elsewhere.
func (a *Agent) removeTask(t *task) {
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
	a.queueEviction(t.rec)
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
		case t == nil && a.unackedHomes.has(p.hello.Incarnation):
			// The task may be one whose record was evicted, so it can't be reported as
			// not run.
			a.addResult(p, r.Job, unknownResult(index))
		case t == nil:
			// A link delivers frames in order and older links are closed, so a start of
			// this task can't arrive before the entry has received this refusal.
			a.recordTask(now, event.TaskRevoked, p, taskRef(r.Job, index), "before it arrived")
			a.addResult(p, r.Job, refusal(index, job.RefusedRevoked))
		case t.queued:
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "before it started")
			a.refuseQueued(t, job.RefusedRevoked)
		case t.result == nil && !t.stopping:
			t.stopping = true
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "while running")
			a.ready.Stop = append(a.ready.Stop, rec.ref(index))
		}
	}
}

// finished removes a job that its home has answered.
func (a *Agent) finished(id string) {
	rec := a.jobs[id]
	if rec == nil || rec.open > 0 {
		return
	}
	a.removeRecord(rec)
}
