package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
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
