package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Work waits for room while forty agents are linked. Telling each of them so, and
// again when it no longer waits, would cost eighty messages for one task.
func TestFewAgentsAreToldThatWorkWaits(t *testing.T) {
	b := newBed(t)
	for i := range 40 {
		b.attach(fmt.Sprintf("a%d", i), fmt.Sprintf("a%d-1", i))
	}
	b.wait(100 * time.Millisecond)
	stuck := &job{queue: queue(), steps: []step{{Step: Step{Requires: "what no worker has"}}}}
	stuck.waiting = []*task{{job: stuck}}
	frames := 0
	count := func() {
		r := b.d.Ready(b.now)
		frames += len(r.Frames)
	}
	b.d.waitlist("s").jobs = []*job{stuck}
	count()
	if frames != eagerAgents {
		t.Errorf("%d frames, want %d", frames, eagerAgents)
	}
	told := frames
	b.d.waitlist("s").jobs = nil
	frames = 0
	count()
	if frames != told {
		t.Errorf("%d agents were told that no work waits, %d that it does", frames, told)
	}
}

// An agent that an input did not concern must still be noticed when it falls silent.
func TestUntouchedAgentFallsSilent(t *testing.T) {
	b := newBed(t, "a", "b")
	b.wait(10 * time.Millisecond)
	silence := b.d.opts.Link.HeartbeatTimeout
	for range 4 {
		b.now = b.now.Add(silence / 3)
		b.report(b.agents["a-1"])
		b.d.Tick(b.now)
		b.ready()
	}
	if b.d.Links() != 1 {
		t.Errorf("%d links, want that of the agent that still reports", b.d.Links())
	}
}

// All workers are full, and jobs are refused. None waits, but the next ones come within
// moments, and each must find the room that has come free since. When no more are refused,
// reports come as seldom as before.
func TestRoomIsToldAtOnceAfterARefusal(t *testing.T) {
	b := newBed(t, "a")
	a := b.agents["a-1"]
	a.used = a.capacity
	b.report(a)
	if _, refused := b.submit(tasks(1, 1000, 10*time.Millisecond)); refused == nil || refused.Reason != ReasonOverload {
		t.Fatalf("answer %+v, want a refusal for want of room", refused)
	}
	if !a.eager {
		t.Error("the agent was not asked to tell of room at once")
	}
	b.wait(eagerAfter + 50*time.Millisecond)
	b.report(a)
	if a.eager {
		t.Error("the agent still tells of each change")
	}
}
