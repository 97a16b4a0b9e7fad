package dispatcher

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// spread returns a job of one step of which only some tasks may run on one worker.
func spread(n, perWorker int, estimated time.Duration) Job {
	j := tasks(n, 100, estimated)
	j.Steps[0].MaxPerWorker = perWorker
	return j
}

// newFixtureInDomains returns a fixture with agents of which one is in the entry's failure domain,
// where each task would go if it could.
func newFixtureInDomains(t *testing.T, agents int) *fixture {
	b := newFixture(t, "near")
	for i := range agents - 1 {
		name := fmt.Sprintf("far%d", i)
		b.agents[name+"-1"] = &fakeAgent{name: name, incarnation: name + "-1", capacity: 4000, clean: true, domain: "shed"}
		b.attach(name, name+"-1")
	}
	return b
}

// checkSpread reports workers with more orders of a step than may run there.
func (b *fixture) checkSpread(perWorker int) {
	b.t.Helper()
	for name, a := range b.agents {
		count := map[string]int{}
		for _, o := range a.orders {
			step := o.Task[:len(o.Task)-2]
			if count[step]++; count[step] > perWorker {
				b.t.Errorf("%s has %d tasks of step %s, want %d at most", name, count[step], step, perWorker)
			}
		}
	}
}

// Workers crash, and the tasks of a step are chosen together for those that are left. Two of them
// must not get the same worker only because neither has an order yet.
func TestTasksChosenTogetherKeepTheLimitOfTheirStep(t *testing.T) {
	for _, c := range []struct{ workers, tasks, perWorker int }{{3, 3, 1}, {8, 3, 1}, {4, 4, 1}, {3, 6, 2}, {5, 9, 2}, {2, 6, 3}} {
		t.Run(fmt.Sprintf("%d tasks, %d at each of %d workers", c.tasks, c.perWorker, c.workers), func(t *testing.T) {
			b := newFixtureInDomains(t, c.workers)
			for range 20 {
				n := b.mustSubmit(spread(c.tasks, c.perWorker, 100*time.Millisecond))
				if got := len(b.orders()); got != c.tasks {
					t.Fatalf("%d orders, want %d", got, c.tasks)
				}
				b.checkSpread(c.perWorker)
				for _, o := range b.orders() {
					b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
				}
				b.wantAnswer(n, Completed, "")
			}
		})
	}
}

// Two steps that run together have a limit each.
func TestEachStepHasItsOwnLimit(t *testing.T) {
	b := newFixtureInDomains(t, 2)
	j := spread(2, 1, 100*time.Millisecond)
	j.Steps = append(j.Steps, j.Steps[0])
	b.mustSubmit(j)
	if got := len(b.orders()); got != 4 {
		t.Errorf("%d orders, want 4", got)
	}
	b.checkSpread(1)
}

// A step has more tasks than may run at a time. The rest must neither be refused nor exceed the
// limit, but run when others of the step have ended, as far as their answer is of use by then.
func TestTasksBeyondTheLimitOfTheirStepWait(t *testing.T) {
	b := newFixtureInDomains(t, 3)
	n := b.mustSubmit(spread(8, 1, 100*time.Millisecond))
	for ended := 0; ended < 8; ended++ {
		b.checkSpread(1)
		if got, want := len(b.orders()), min(3, 8-ended); got != want {
			t.Fatalf("%d orders after %d tasks, want %d", got, ended, want)
		}
		b.advance(30 * time.Millisecond)
		b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	b.wantAnswer(n, Completed, "")
	_, refused := b.submit(spread(40, 1, 100*time.Millisecond))
	if refused == nil || refused.Outcome != NotRun || len(b.orders()) != 0 {
		t.Errorf("answer %+v, want a refusal of a job that takes 14 times as long as a task", refused)
	}
}

// A worker refuses an order while the step's other tasks take the other workers up to the limit,
// and none has begun. The job must not be abandoned: the task may run when one of them ends.
func TestRefusedTaskWaitsForOthersOfItsStep(t *testing.T) {
	b := newFixtureInDomains(t, 3)
	n := b.mustSubmit(spread(3, 1, 100*time.Millisecond))
	full := b.holder(b.orders()[0])
	full.used = full.capacity + int64(full.orders[0].Size.CpuMillis) // no place is left after the refusal
	b.reportOrder(full.orders[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonNoCapacity, 0)
	if a, ok := b.answers[n]; ok {
		t.Fatalf("answer %+v while the task may still run elsewhere", a)
	}
	b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	if got := len(b.orders()); got != 2 {
		t.Errorf("%d orders, want the refused task's and another one", got)
	}
	b.checkSpread(1)
}

// A job is held while its entry starts up, and admitted when its first agent is linked. The tasks
// beyond the limit of their step must not be forgotten then.
func TestHeldJobWithMoreTasksThanItsLimitAllows(t *testing.T) {
	b := newFixture(t)
	b.d.startedAt = b.now
	n := b.mustSubmit(spread(2, 1, 300*time.Millisecond))
	b.now = b.now.Add(startupPeriod)
	b.attach("a", "a-1")
	for range 2 {
		if got := len(b.orders()); got != 1 {
			t.Fatalf("%d orders, want 1", got)
		}
		b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_DONE, "", 300*time.Millisecond)
	}
	b.wantAnswer(n, Completed, "")
}

// A worker that is on trial after failures gets one task, also if several are chosen together.
func TestWorkerOnTrialGetsOneOfTheTasksChosenTogether(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	b.mustSubmit(tasks(9, 1000, 100*time.Millisecond))
	for _, o := range b.orders() {
		b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	a := b.d.agent("a-1")
	for a.healthState != place.Suspended {
		b.mustSubmit(tasks(3, 1000, 100*time.Millisecond))
		for len(b.orders()) > 0 {
			o, state := b.orders()[0], pb.OrderState_ORDER_STATE_DONE
			if b.holder(o).name == "a" {
				state = pb.OrderState_ORDER_STATE_FAILED
			}
			b.reportOrder(o, state, "", 100*time.Millisecond)
		}
	}
	for _, name := range []string{"b-1", "c-1"} {
		b.agents[name].used = 2000
		b.report(b.agents[name])
	}
	for range 50 {
		if b.d.updateHealthState(b.now, a); a.healthState != place.Suspended {
			break
		}
		b.advance(100 * time.Millisecond)
	}
	if a.healthState != place.Trial {
		t.Fatalf("health state %v, want trial", a.healthState)
	}
	b.mustSubmit(tasks(3, 100, 100*time.Millisecond))
	if got := len(b.agents["a-1"].orders); got != 1 {
		t.Errorf("%d orders at the worker on trial, want 1", got)
	}
}

// A worker has crashed at the start of one task of a job. The others, chosen together with it, must
// not start beside it.
func TestNothingChosenTogetherWithASuspectedTaskStartsBesideIt(t *testing.T) {
	b := newFixtureInDomains(t, 3)
	b.d.crashes.record(b.now, &pb.TaskCrash{Task: fmt.Sprintf("%016x.0.0.0", 1), Worker: "w", AtStart: true, Alone: true})
	b.mustSubmit(tasks(3, 100, 100*time.Millisecond))
	if got := len(b.holder(b.orders()[0]).orders); got != 1 {
		t.Errorf("%d orders at the worker of the suspected task, want 1", got)
	}
}
