package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// newRecalledHarness returns a harness of an agent process that was started beside a running
// worker, before the worker reports.
func newRecalledHarness(t *testing.T, entries ...string) *harness {
	h := newHarness(t, entries...)
	h.r.handleSuperseded(h.now, "test")
	h.ready()
	h.r.RestoreWorker(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	h.ready()
	return h
}

// All agent processes are killed while workers go on. An agent must not wait for its worker's
// next report, a second or more, while callers reconnect: the recorded incarnation is used as
// soon as the worker has answered as that incarnation.
func TestRecalledWorkerServesOnceItHasAnswered(t *testing.T) {
	h := newRecalledHarness(t, "e1")
	h.order("e1", "t1", 1000)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.poll()
	h.begin("e1", "t2", 1000)
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Sequence: 7})
	h.order("e1", "t3", 3500)
	h.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
}

// The worker has crashed meanwhile, and another incarnation, perhaps with less capacity,
// answers at its address. The record does not apply to it.
func TestUnrecordedIncarnationIsNotUsed(t *testing.T) {
	h := newRecalledHarness(t, "e1")
	l, _ := h.r.NextPoll(h.now, false)
	h.r.PollMisdirected(h.now, l)
	h.ready()
	h.order("e1", "t1", 1000)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	if s := h.states["e1"]; s.Held != HeldUnresponsive {
		t.Errorf("held %q, want %q", s.Held, HeldUnresponsive)
	}
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w2"}, Service: "s", Capacity: size.Size{CPUMillis: 2000, MemoryMB: 1000}})
	h.poll()
	h.order("e1", "t2", 3000)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
}

// The record is read after the worker has reported. The report has priority: it may say that
// the worker is draining.
func TestReportHasPriorityOverRecord(t *testing.T) {
	h := newHarness(t, "e1")
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Draining: true, Sequence: 2})
	h.r.RestoreWorker(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	h.now = h.now.Add(time.Millisecond)
	h.poll()
	h.order("e1", "t1", 1000)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
}

// Runs of the previous agent process go on at the recalled worker. Their sizes are unknown, so
// nothing starts beside them until they have ended.
func TestRecalledWorkerStartsNothingBesideItsRuns(t *testing.T) {
	h := newRecalledHarness(t, "e1")
	h.running["old"] = 3
	h.poll()
	h.order("e1", "t1", 100)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
}
