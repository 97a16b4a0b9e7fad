package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// beginLongRun has an agent run a task for longer than runs of an unreachable agent may go on.
func (b *fixture) beginLongRun() *fakeAgent {
	j := tasks(1, 1000, 3*time.Second)
	j.TimeLimit = 30 * time.Second
	b.mustSubmit(j)
	o := b.orders()[0]
	at := b.holder(o)
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	return at
}

// replace starts another process of an agent beside a worker that runs nothing.
func (b *fixture) replace(old *fakeAgent, worker string) *fakeAgent {
	old.orders = nil
	next := &fakeAgent{name: old.name, incarnation: old.name + "-2", worker: worker, capacity: 4000, clean: true}
	b.agents[next.incarnation] = next
	return b.attach(next.name, next.incarnation)
}

// wantOrdersOnlyAfterExpiry checks that the task is ordered again once its first run has certainly
// ended, counted from the last frame to its agent, and not before.
func (b *fixture) wantOrdersOnlyAfterExpiry() {
	b.t.Helper()
	b.advance(b.times.RunsEndedAfter - 20*time.Millisecond)
	if got := len(b.orders()); got != 0 {
		b.t.Fatalf("%d orders while the first run may go on", got)
	}
	b.advance(40 * time.Millisecond)
	if got := len(b.orders()); got != 1 {
		b.t.Errorf("%d orders after the first run must have ended, want 1", got)
	}
}

// A process of an agent's name finds no runs at another worker than the one the orders were for.
// Guards against taking that for the end of the first worker's runs.
func TestRunsOfReplacedAgentEndOnlyAtTheirOwnWorker(t *testing.T) {
	t.Run("another worker", func(t *testing.T) {
		b := newFixture(t, "a", "b")
		b.replace(b.beginLongRun(), "w-other")
		b.wantOrdersOnlyAfterExpiry()
	})
	t.Run("worker changed while the order was live", func(t *testing.T) {
		b := newFixture(t, "a", "b")
		at := b.beginLongRun()
		first := at.worker
		at.worker = "w-other"
		b.report(at)
		b.replace(at, first)
		b.wantOrdersOnlyAfterExpiry()
	})
}

// The run of an agent's earlier process has ended, and the next process has read that end. Guards
// against doing the work again.
func TestEndsReadByTheNextProcessAreTaken(t *testing.T) {
	end := func(o *pb.Order, worker string, state pb.OrderState) *pb.RunEnd {
		return &pb.RunEnd{Task: o.Task, Run: o.Run, Worker: worker, State: state}
	}
	begin := func(t *testing.T) (b *fixture, o *pb.Order, next *fakeAgent) {
		b = newFixture(t, "a", "b")
		old := b.beginLongRun()
		o = old.orders[0]
		next = &fakeAgent{name: old.name, incarnation: old.name + "-2", capacity: 4000}
		b.agents[next.incarnation] = next
		b.attach(next.name, next.incarnation)
		old.orders = nil
		return b, o, next
	}
	t.Run("done, with the clean state", func(t *testing.T) {
		b, o, next := begin(t)
		next.clean = true
		b.reportEnds(next, end(o, "w-"+next.name, pb.OrderState_ORDER_STATE_DONE))
		b.wantAnswer(1, Completed, "")
		if got := len(b.orders()); got != 0 {
			t.Errorf("%d orders of a task that is done", got)
		}
	})
	t.Run("failed as often as it may", func(t *testing.T) {
		b, o, next := begin(t)
		b.d.jobs[1].queue.Attempts = 1
		b.reportEnds(next, end(o, "w-"+next.name, pb.OrderState_ORDER_STATE_FAILED))
		b.wantAnswer(1, Failed, ReasonAttempts)
	})
	t.Run("done, on another worker", func(t *testing.T) {
		b, o, next := begin(t)
		b.reportEnds(next, end(o, "w-other", pb.OrderState_ORDER_STATE_DONE))
		if len(b.answers) != 0 {
			t.Error("the end of another run completes the task")
		}
	})
	t.Run("done, after the task was ordered again", func(t *testing.T) {
		b, o, next := begin(t)
		b.advance(b.times.RunsEndedAfter + 20*time.Millisecond)
		again := b.orders()
		if len(again) != 1 {
			t.Fatalf("%d orders after the run must have ended, want 1", len(again))
		}
		at := b.holder(again[0])
		b.reportEnds(next, end(o, "w-"+next.name, pb.OrderState_ORDER_STATE_DONE))
		b.wantAnswer(1, Completed, "")
		if len(at.stops) != 1 {
			t.Errorf("%d stops of the later run, want 1", len(at.stops))
		}
	})
	t.Run("done, while the task waits for a worker", func(t *testing.T) {
		b, o, next := begin(t)
		for _, a := range b.agents {
			a.held = runner.HeldShuttingDown
			if b.d.agent(a.incarnation).session.IsUp() {
				b.report(a)
			}
		}
		b.advance(b.times.RunsEndedAfter + 20*time.Millisecond)
		b.reportEnds(next, end(o, "w-"+next.name, pb.OrderState_ORDER_STATE_DONE))
		b.wantAnswer(1, Completed, "")
	})
}

func (b *fixture) reportEnds(a *fakeAgent, ends ...*pb.RunEnd) {
	a.seq++
	b.d.Step(b.now, a.incarnation, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: a.currentState(), Ends: ends})
	b.ready()
}

// Two live processes bear one agent's name, and the first links again after the second. Guards
// against one of them declaring the other's runs, or its own, ended.
func TestLiveProcessesOfOneAgentKeepTheirRuns(t *testing.T) {
	b := newFixture(t, "a", "b")
	first := b.beginLongRun()
	first.clean = false
	second := &fakeAgent{name: first.name, incarnation: first.name + "-2", capacity: 4000}
	b.agents[second.incarnation] = second
	b.attach(second.name, second.incarnation)
	b.attach(first.name, first.incarnation)
	first.clean = true
	b.report(first)
	b.advance(20 * time.Millisecond)
	if got := len(b.orders()); got != 1 {
		t.Fatalf("%d orders of one task whose run goes on", got)
	}
	b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_DONE, "", time.Second)
	if len(b.answers) != 1 {
		t.Error("the end of the run isn't taken")
	}
}

// A process that stood still goes on after its next one has taken over, and links again. Guards
// against taking it for the next one's successor.
func TestResumedProcessDoesNotSettleItsSuccessor(t *testing.T) {
	b := newFixture(t, "a")
	first := b.agents["a-1"]
	second := b.replace(first, "")
	b.beginLongRun()
	if len(second.orders) != 1 {
		t.Fatalf("%d orders at the second process, want 1", len(second.orders))
	}
	b.attach(first.name, first.incarnation)
	b.advance(20 * time.Millisecond)
	if got := len(b.orders()); got != 1 {
		t.Errorf("%d orders of one task whose run goes on", got)
	}
}
