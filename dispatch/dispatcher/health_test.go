package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// A caller's job fails at the only worker that takes orders. If each of its failed runs
// counted against the worker, nobody's job would be served until the suspension ends.
func TestOneFailingJobDoesNotSuspendTheWorker(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	b.mustSubmit(tasks(9, 1000, 100*time.Millisecond))
	for _, o := range b.orders() {
		b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	for _, name := range []string{"b-1", "c-1"} {
		b.agents[name].held = runner.HeldDraining
		b.report(b.agents[name])
	}
	failing := b.mustSubmit(tasks(4, 1000, 100*time.Millisecond))
	for len(b.orders()) > 0 {
		b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_FAILED, "", 100*time.Millisecond)
	}
	b.wantAnswer(failing, Failed, ReasonAttempts)
	if got := b.d.agent("a-1").healthState; got != place.Healthy {
		t.Errorf("health state %v, want healthy", got)
	}
	b.mustSubmit(tasks(4, 1000, 100*time.Millisecond))
	if got := len(b.orders()); got != 4 {
		t.Errorf("%d orders for the next job, want 4", got)
	}
}

// A worker fails the tasks of every job, which others complete.
func TestWorkerThatFailsSeveralJobsIsSuspended(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	b.mustSubmit(tasks(9, 1000, 100*time.Millisecond))
	for _, o := range b.orders() {
		b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	for range 4 {
		b.mustSubmit(tasks(3, 1000, 100*time.Millisecond))
		for len(b.orders()) > 0 {
			o := b.orders()[0]
			if b.holder(o).name == "a" {
				b.reportOrder(o, pb.OrderState_ORDER_STATE_FAILED, "", 100*time.Millisecond)
				continue
			}
			b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
		}
	}
	if got := b.d.agent("a-1").healthState; got != place.Suspended {
		t.Errorf("health state %v, want suspended", got)
	}
}
