package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// wantEnd checks that an entry has received one end, and no clean state before it.
func (h *harness) wantEnd(entry, task string, state pb.OrderState) {
	h.t.Helper()
	if got := h.ends[entry]; len(got) != 1 || got[0].Task != task || got[0].Worker != "w1" || got[0].State != state {
		h.t.Errorf("%s has received the ends %v, want one of %s as %v", entry, got, task, state)
	}
	if !h.states[entry].GetClean() {
		h.t.Errorf("%s has received no clean state", entry)
	}
}

// A run of an earlier process has ended before the next one polls, or ends while it is being stopped.
// Guards against ends that are acknowledged to the worker and that no entry hears of.
func TestEndsOfEarlierProcessesReachTheirEntries(t *testing.T) {
	for how, state := range map[Ending]pb.OrderState{
		EndedDone: pb.OrderState_ORDER_STATE_DONE, EndedFailed: pb.OrderState_ORDER_STATE_FAILED,
	} {
		t.Run(how.String(), func(t *testing.T) {
			h := newHarness(t)
			h.poll(End{Number: 1, Task: "old", Run: 3, Ending: how})
			h.link("e1")
			h.wantEnd("e1", "old", state)
		})
		t.Run(how.String()+" while it is being stopped", func(t *testing.T) {
			h := newHarness(t)
			h.running["old"] = 3
			h.poll()
			h.link("e1")
			h.end("old", how)
			h.wait(time.Second)
			h.wantEnd("e1", "old", state)
			h.link("e2")
			h.wantEnd("e2", "old", state)
		})
	}
}

// Runs of this process end and their lists are answered again. Guards against reporting them twice.
func TestEndsOfOwnRunsAreReportedOnce(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 100)
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	h.link("e2")
	if len(h.ends["e1"])+len(h.ends["e2"]) != 0 {
		t.Errorf("ends %v and %v of an own run", h.ends["e1"], h.ends["e2"])
	}
}

func (h *harness) link(entry string) {
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: entry, Incarnation: entry}, 1, h.now.UnixNano())
	h.ready()
}
