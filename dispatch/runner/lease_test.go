package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// A link is cut, reopens and is cut again before the entry has repeated the stops that were lost
// with it. The answer to the handshake must not prolong the runs.
func TestHandshakeDoesNotProlongRuns(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 100)
	began := h.now
	h.wait(h.times.EntryTimeout - 50*time.Millisecond)
	h.r.CloseLink(h.now, "e1")
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, h.now.UnixNano())
	h.ready()
	for h.now.Sub(began) < 2*h.times.EntryTimeout {
		h.wait(10 * time.Millisecond)
		if len(h.last.Stops) > 0 {
			break
		}
	}
	if got := h.now.Sub(began); got > h.times.EntryTimeout+10*time.Millisecond {
		t.Errorf("the run was stopped %v after the last frame, want %v", got, h.times.EntryTimeout)
	}
}
