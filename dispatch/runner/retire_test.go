package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// A fleet grows, and an agent closes its link to an entry that has an order in transit to it.
// The order must be refused as not run, runs must end and be reported, and the link must stay
// open until then: an entry whose link breaks with an order in transit holds its task back for
// over a second.
func TestRetiringLinkIsClosedOnceUnused(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	s := h.begin("e1", "0000000000000001.0.0.0", 1000)
	h.r.RetireLink(h.now, "e1")
	if r := h.ready(); len(r.Disconnect) > 0 {
		t.Fatal("closed while a run goes on")
	}
	if got := h.states["e1"]; got.Accepting || got.Held != HeldRetiring {
		t.Errorf("state sent to the entry: %v", got)
	}
	if r := h.order("e1", "0000000000000002.0.0.0", 1000); len(r.Starts) > 0 {
		t.Error("an order in transit was started")
	}
	if n := h.updates["e1"][len(h.updates["e1"])-1]; n.State != pb.OrderState_ORDER_STATE_REFUSED || n.Reason != ReasonNotAccepting {
		t.Errorf("its entry received %v", n)
	}
	if r := h.order("e2", "0000000000000003.0.0.0", 1000); len(r.Starts) != 1 {
		t.Error("an order of the other entry was not started")
	}
	h.end(s.Task, EndedDone)
	if r := h.ready(); len(r.Disconnect) > 0 {
		t.Error("closed before the end of the run was acknowledged")
	}
	if r := h.frame("e1", &pb.OrderFrame{}); len(r.Disconnect) != 1 || r.Disconnect[0] != "e1" {
		t.Errorf("closes %v, want the link to e1", r.Disconnect)
	}
}

// The entry has not been notified yet that its agent closes the link. An order may be in
// transit until it has acknowledged that.
func TestLinkIsNotClosedUnacknowledged(t *testing.T) {
	h := newHarness(t, "e1")
	before := h.acks["e1"]
	h.r.RetireLink(h.now, "e1")
	h.ready()
	h.acks["e1"] = before
	if r := h.frame("e1", &pb.OrderFrame{}); len(r.Disconnect) > 0 {
		t.Error("closed before the entry had acknowledged it")
	}
}

// Another entry came and went, and the agent keeps the link that it had begun to close.
func TestRetiringLinkIsKept(t *testing.T) {
	h := newHarness(t, "e1")
	h.r.RetireLink(h.now, "e1")
	h.ready()
	h.r.KeepLink(h.now, "e1")
	h.wait(time.Second)
	if got := h.states["e1"]; !got.Accepting {
		t.Errorf("state sent to the entry: %v", got)
	}
	if r := h.order("e1", "0000000000000001.0.0.0", 1000); len(r.Starts) != 1 || len(r.Disconnect) > 0 {
		t.Errorf("starts %v, closes %v", r.Starts, r.Disconnect)
	}
}
