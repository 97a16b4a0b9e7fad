package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// runAll ends all runs, which take 100 ms on a worker of speed 1.
func (b *fixture) runAll(speeds map[string]float64) {
	b.now = b.now.Add(100 * time.Millisecond)
	for _, o := range b.orders() {
		b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", time.Duration(1e8/speeds[b.holder(o).name]))
	}
}

// Machines of a site are of different generations. Tasks must be expected to take as long as they
// do on each, and the next incarnation of a worker may run on another machine.
func TestSpeedsAreLearnedUntilTheNextIncarnation(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	changes := map[string]int{}
	b.d.opts.OnDecision = func(d Decision) {
		if d.Event == "worker_speed" {
			changes[d.Agent]++
		}
	}
	speeds := map[string]float64{"a": 0.5, "b": 1, "c": 1}
	for range 40 {
		b.mustSubmit(tasks(12, 1000, 100*time.Millisecond))
		b.runAll(speeds)
	}
	a := b.d.agent("a-1")
	if a.speed < 0.45 || a.speed > 0.55 || b.d.agent("b-1").speed != 1 || b.d.UnevenWorkers() != 1 {
		t.Fatalf("speeds %.2f and %.2f, %d uneven, want 0.5, 1 and one", a.speed, b.d.agent("b-1").speed, b.d.UnevenWorkers())
	}
	b.mustSubmit(tasks(12, 1000, 100*time.Millisecond))
	want := map[string]time.Duration{"a": 200 * time.Millisecond, "b": 100 * time.Millisecond, "c": 100 * time.Millisecond}
	for _, o := range b.orders() {
		name, got := b.holder(o).name, time.Duration(o.ExpectedMs)*time.Millisecond
		if got < want[name]*9/10 || got > want[name]*11/10 {
			t.Errorf("%s is expected to take %v, want %v", name, got, want[name])
		}
	}
	b.runAll(speeds)
	b.d.applyState(b.now, a, &pb.WorkerState{Worker: "next", Service: "s", Accepting: true})
	if a.speed != 1 || b.d.UnevenWorkers() != 0 || changes["a"] != 2 || len(changes) != 1 {
		t.Errorf("the next incarnation has speed %.2f, %d uneven; changes %v, want two of a", a.speed, b.d.UnevenWorkers(), changes)
	}
}

// A task is given to a worker only if it ends in time there, however soon it starts: the longest
// wait for 100 ms at speed 1 follows from the time that the task gains or loses.
func TestWaitLimitFollowsTheSpeed(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		speed float64
		limit waitLimit
		want  time.Duration
		ok    bool
	}{
		"usual":                {1, waitLimit{slack: 60 * ms, margin: 20 * ms, useful: 300 * ms}, 40 * ms, true},
		"usual, too late":      {1, waitLimit{slack: -10 * ms}, 0, true},
		"slow":                 {0.8, waitLimit{slack: 60 * ms, margin: 20 * ms, useful: 300 * ms}, 15 * ms, true},
		"slow, would end late": {0.5, waitLimit{slack: 60 * ms, useful: 300 * ms}, 0, false},
		"slow, overdue":        {0.5, waitLimit{slack: 50 * ms, useful: 300 * ms, overdue: true}, 50 * ms, true},
		"slow, of no use":      {0.5, waitLimit{slack: 50 * ms, useful: 90 * ms, overdue: true}, 0, false},
		"fast":                 {2, waitLimit{slack: 60 * ms, margin: 20 * ms, useful: 300 * ms}, 90 * ms, true},
	} {
		got, ok := c.limit.at((&agent{speed: c.speed}).timeGained(100 * ms))
		if ok != c.ok || ok && got != c.want {
			t.Errorf("%s: %v, %v, want %v, %v", name, got, ok, c.want, c.ok)
		}
	}
}

// Of two workers, one is idle and slow, and the other is fast and full for 100 ms. A task that
// would end late on the first must wait for the second.
func TestTaskWaitsForAFastWorker(t *testing.T) {
	b := newFixture(t, "slow", "fast")
	b.agents["fast-1"].used = 4000
	b.agents["fast-1"].releases = 4000
	b.report(b.agents["fast-1"])
	b.d.setSpeed(b.d.agent("slow-1"), 0.5)
	b.d.setSpeed(b.d.agent("fast-1"), 2)
	job := tasks(1, 1000, time.Second)
	job.Queue.TargetMs, job.Queue.Stretch = 50, 1.5
	b.mustSubmit(job)
	if o := b.orders(); len(o) != 1 || b.holder(o[0]).name != "fast" {
		t.Errorf("orders %v, want one at the fast worker", o)
	}
}

// Two tasks of a step run on workers of different speed. The one on the slow worker must not be
// moved because the other took less than half as long.
func TestRunOnASlowWorkerIsNotMovedForItsSpeed(t *testing.T) {
	b := newFixture(t, "slow", "fast")
	b.d.setSpeed(b.d.agent("slow-1"), 0.6)
	b.d.setSpeed(b.d.agent("fast-1"), 1.6)
	job := tasks(2, 3000, time.Second) // one fits each worker
	job.Queue.Stretch, job.TimeLimit = 4, time.Minute
	b.mustSubmit(job)
	for _, o := range b.orders() {
		if b.holder(o).name == "fast" {
			b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 625*time.Millisecond)
		}
	}
	slow := b.agents["slow-1"]
	if len(slow.orders) != 1 {
		t.Fatalf("%d orders at the slow worker, want 1", len(slow.orders))
	}
	// It takes one and a half times as long as expected there, four times as long as the other.
	b.report(slow, &pb.OrderNews{Number: slow.orders[0].Number, State: pb.OrderState_ORDER_STATE_STALLED, RunMs: 700, RemainingMs: 1800})
	if len(slow.stops) > 0 {
		t.Error("the run was moved")
	}
}
