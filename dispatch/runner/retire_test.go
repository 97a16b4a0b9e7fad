package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// A fleet grows, and an agent closes its link to an entry that has an order on the way
// to it. The order must be refused as not run, what runs must end and be told, and the
// link must stay open until then: an entry whose link breaks under an order holds its
// task back for over a second.
func TestLinkIsClosedWhenNothingIsLeftOnIt(t *testing.T) {
	b := newBed(t, "e1", "e2")
	s := b.begin("e1", "0000000000000001.0.0.0", 1000)
	b.r.Retire(b.now, "e1")
	if r := b.ready(); len(r.Closed) > 0 {
		t.Fatal("closed with a run that goes on")
	}
	if got := b.states["e1"]; got.Accepting || got.Held != HeldRetiring {
		t.Errorf("told the entry %v", got)
	}
	if r := b.order("e1", "0000000000000002.0.0.0", 1000); len(r.Starts) > 0 {
		t.Error("an order that was on its way was started")
	}
	if n := b.news["e1"][len(b.news["e1"])-1]; n.State != pb.OrderState_ORDER_STATE_REFUSED || n.Reason != ReasonHeld {
		t.Errorf("its entry was told %v", n)
	}
	if r := b.order("e2", "0000000000000003.0.0.0", 1000); len(r.Starts) != 1 {
		t.Error("an order of the other entry was not started")
	}
	b.end(s.Task, EndedDone)
	if r := b.ready(); len(r.Closed) > 0 {
		t.Error("closed before the end of the run was acknowledged")
	}
	if r := b.frame("e1", &pb.OrderFrame{}); len(r.Closed) != 1 || r.Closed[0] != "e1" {
		t.Errorf("closes %v, want the link to e1", r.Closed)
	}
}

// The entry has not heard yet that its agent leaves it. An order may be on its way until
// it has acknowledged that.
func TestLinkIsNotClosedUnheard(t *testing.T) {
	b := newBed(t, "e1")
	before := b.acks["e1"]
	b.r.Retire(b.now, "e1")
	b.ready()
	b.acks["e1"] = before
	if r := b.frame("e1", &pb.OrderFrame{}); len(r.Closed) > 0 {
		t.Error("closed before the entry had heard of it")
	}
}

// Another entry came and went, and the agent keeps the link that it had begun to close.
func TestRetiringLinkIsKept(t *testing.T) {
	b := newBed(t, "e1")
	b.r.Retire(b.now, "e1")
	b.ready()
	b.r.Keep(b.now, "e1")
	b.wait(time.Second)
	if got := b.states["e1"]; !got.Accepting {
		t.Errorf("told the entry %v", got)
	}
	if r := b.order("e1", "0000000000000001.0.0.0", 1000); len(r.Starts) != 1 || len(r.Closed) > 0 {
		t.Errorf("starts %v, closes %v", r.Starts, r.Closed)
	}
}
