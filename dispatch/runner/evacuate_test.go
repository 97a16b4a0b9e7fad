package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// newEvacuationHarness returns a harness whose agent is in the failure domain "shed".
func newEvacuationHarness(t *testing.T, entries ...string) *harness {
	h := newHarness(t, entries...)
	h.r.opts.FailureDomain = "shed"
	return h
}

func (h *harness) evacuations(entry string, revision uint64, domains ...string) Ready {
	return h.frame(entry, &pb.OrderFrame{Evacuations: &pb.Evacuations{Revision: revision, Domains: domains}})
}

// An operator evacuates the domain while one task runs and another is queued. The running task
// may end; the queued order is refused to its entry at once, and so are all orders of entries
// that have not received the evacuation yet.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	h := newEvacuationHarness(t, "e1", "e2")
	h.begin("e1", "t1", 3500)
	h.order("e1", "t2", 3500, waits(60_000))
	h.evacuations("e1", 5, "shed")
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	if len(h.last.Stops) != 0 {
		t.Error("the run was stopped")
	}
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	h.order("e2", "t3", 1000)
	h.wantNews("e2", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	for _, e := range []string{"e1", "e2"} {
		if s := h.states[e]; s.Accepting || s.Held != HeldEvacuated {
			t.Errorf("%s received: accepting %v, held %q", e, s.Accepting, s.Held)
		}
	}
}

// An order and the evacuation arrive in one frame.
func TestEvacuationAppliesToOrdersOfSameFrame(t *testing.T) {
	h := newEvacuationHarness(t, "e1")
	h.frame("e1", &pb.OrderFrame{
		Evacuations: &pb.Evacuations{Revision: 5, Domains: []string{"shed"}},
		Orders:      []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 1000}, LimitMs: 1000}},
	})
	if got := h.started(); len(got) != 0 {
		t.Errorf("started %v", got)
	}
}

// The domain is restored, and entries that were disconnected report an outdated set of
// evacuated domains. All entries must be notified at once that the worker takes orders again:
// until then they leave it idle.
func TestRestoredDomainAcceptsOrdersImmediately(t *testing.T) {
	h := newEvacuationHarness(t, "e1", "e2")
	h.evacuations("e1", 5, "shed", "hall")
	h.evacuations("e1", 8, "hall")
	if !h.states["e1"].Accepting || !h.states["e2"].Accepting {
		t.Error("entries were not notified at once that orders are accepted")
	}
	h.evacuations("e2", 6, "shed")
	h.begin("e2", "t1", 1000)
}

// An agent starts in an evacuated domain. It learns of the evacuation from an entry's answer to
// its greeting, before any order.
func TestRestartedAgentLearnsEvacuationFromGreeting(t *testing.T) {
	h := newEvacuationHarness(t)
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{
		Entry: "e1", Incarnation: "e1", Evacuations: &pb.Evacuations{Revision: 5, Domains: []string{"shed"}},
	}, 1, h.now.UnixNano())
	h.order("e1", "t1", 1000)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
}

// A start is left unanswered, and the domain is evacuated before a poll shows whether the run
// began. Once fenced, the run may be reported as not begun; the start isn't sent again.
func TestInDoubtStartIsResolvedAfterEvacuation(t *testing.T) {
	h := newEvacuationHarness(t, "e1")
	r := h.order("e1", "t1", 1000)
	h.unanswered(r.Starts[0])
	h.evacuations("e1", 5, "shed")
	h.poll()
	if len(h.last.Stops) != 1 {
		t.Fatalf("%d stops, want the one that fences the start", len(h.last.Stops))
	}
	h.r.StopAnswered(h.now, h.last.Stops[0], h.clock())
	h.now = h.now.Add(h.times.StopTime - time.Millisecond)
	h.poll()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	h.now = h.now.Add(time.Millisecond)
	h.poll()
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonUnanswered)
	if got := h.started(); len(got) != 0 {
		t.Errorf("started %v", got)
	}
}
