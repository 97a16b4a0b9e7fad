package leasedcheck

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// submit sends a job of two steps, one after the other, to an entry. A worker has capacity for one
// task of such jobs.
func (w *World) submit(e *entryNode, runTime time.Duration) *attempt {
	return w.submitSized(e, runTime, defaultCapacity*6/10)
}

// submitSized is submit for tasks that need so many millicores.
func (w *World) submitSized(e *entryNode, runTime time.Duration, cpu int64) *attempt {
	const limit = 10 * time.Second
	x := &caller{w: w, id: jobName(len(w.callers)), deadline: w.now.Add(limit), attempts: 1}
	x.job = dispatcher.Job{
		ID: x.id, Queue: &pb.Queue{Name: "q", Service: "s", Attempts: 3, Stretch: 1, TargetMs: uint32(limit.Milliseconds())},
		Payload: payload(cpu, runTime), TimeLimit: limit,
		Steps: []dispatcher.Step{
			{Count: 1, Size: size.Size{CPUMillis: cpu}, Estimated: runTime},
			{Count: 1, Size: size.Size{CPUMillis: cpu}, Estimated: runTime, After: []int{0}},
		},
	}
	w.callers = append(w.callers, x)
	return x.request(e)
}

// An entry gets no CPU from some moment of a job on, the caller's connection ends right
// then, and the caller sends the job to another entry as soon as it may. The first entry
// handles what has arrived meanwhile in any order. Guards against two runs at a time.
func TestPromisesHoldWhenAnEntryStalls(t *testing.T) {
	t.Parallel()
	long, short := 1500*time.Millisecond, 50*time.Millisecond
	for name, c := range map[string]struct {
		runTime     time.Duration
		reached     func(w *World, t *attempt) bool
		resendAfter time.Duration
	}{
		"before the request is read": {long, func(*World, *attempt) bool { return true }, time.Millisecond},
		"before admission":           {long, func(_ *World, t *attempt) bool { return !t.checkedAt.IsZero() }, resendDelay},
		"before the order leaves":    {long, func(_ *World, t *attempt) bool { return t.number > 0 }, resendDelay},
		"after the order has left":   {long, func(w *World, t *attempt) bool { return w.checker.started[t.c.id] }, resendDelay},
		"between two steps":          {short, func(w *World, t *attempt) bool { return w.checker.started[t.c.id] }, resendDelay},
	} {
		t.Run(name, func(t *testing.T) {
			for _, stall := range []time.Duration{50, 150, 200, 300, 400, 600, 1000, 1250, 1310, 1400, 1700, 2400} {
				for seed := range uint64(25) {
					s := stallRun{stall * time.Millisecond, c.runTime, c.reached, c.resendAfter}
					o := Options{Seed: seed, Entries: 2, Agents: 2, Stalls: true, SchedulingDelays: true}
					if len(s.run(o)) == 0 {
						continue
					}
					o.Trace = func(s string) { t.Log(s) }
					t.Errorf("stall of %v, seed %d: %v", s.stall, seed, s.run(o))
				}
			}
		})
	}
}

// stallRun stalls an entry once a job has reached some state there, and ends the connection of
// the job's caller.
type stallRun struct {
	stall, runTime time.Duration
	reached        func(*World, *attempt) bool
	resendAfter    time.Duration
}

// run returns the violated promises.
func (s stallRun) run(o Options) []string {
	w := newWorld(o)
	w.runFor(2 * time.Second)
	a := w.submit(w.entries[0], s.runTime)
	for !s.reached(w, a) {
		if w.step(); a.finished {
			return []string{"the job ended before its entry stalled"}
		}
	}
	w.trace("%s stalls for %v and %s ends its connection", a.e.name, s.stall, a.c.id)
	a.e.frozenUntil = w.now.Add(s.stall)
	a.finished = true
	a.notifyEntry()
	w.schedule(s.resendAfter, func() { a.c.request(w.entries[1]) })
	w.runFor(6 * time.Second)
	if !w.checker.started[a.c.id] {
		w.checker.violated("the job has not run")
	}
	return w.checker.r.Violations
}
