package runner

import (
	"testing"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Guards against an agent that ends, as planned, before its last result has reached the entry, which then runs the task again.
func TestResultIsUnackedUntilEntryHasReceivedIt(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.begin("e1", "0000000000000001.0.0.0", 1000)
	h.r.Drain(h.now)
	h.end(s.Task, EndedDone)
	if h.r.AllAcked() {
		t.Error("acknowledged before the entry has received it")
	}
	h.frame("e1", &pb.OrderFrame{})
	if !h.r.AllAcked() {
		t.Error("not acknowledged by the frame of the entry")
	}
}

// Guards against an agent that doesn't end for as long as an entry that can't be reached has not acknowledged its results.
func TestAllIsAckedWithoutLinks(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.begin("e1", "0000000000000001.0.0.0", 1000)
	h.r.Drain(h.now)
	h.end(s.Task, EndedDone)
	h.r.LinkDown(h.now, "e1", 1)
	if !h.r.AllAcked() {
		t.Error("waits for an entry that isn't linked")
	}
}
