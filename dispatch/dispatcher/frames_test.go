package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Work waits for free capacity while forty agents are linked. Asking each of them for immediate
// reports, and again to end them, would cost eighty messages for one task.
func TestFewAgentsAreExpedited(t *testing.T) {
	b := newFixture(t)
	for i := range 40 {
		b.attach(fmt.Sprintf("a%d", i), fmt.Sprintf("a%d-1", i))
	}
	b.advance(100 * time.Millisecond)
	stuck := &job{queue: queue(), steps: []step{{Step: Step{Requires: "what no worker has"}}}}
	stuck.waiting = []*task{{job: stuck}}
	frames := 0
	count := func() {
		r := b.d.Ready(b.now)
		frames += len(r.Frames)
	}
	b.d.waitlist("s").jobs = []*job{stuck}
	count()
	if frames != expediteAgents {
		t.Errorf("%d frames, want %d", frames, expediteAgents)
	}
	expedited := frames
	b.d.waitlist("s").jobs = nil
	frames = 0
	count()
	if frames != expedited {
		t.Errorf("%d agents were asked to end immediate reports, %d to start them", frames, expedited)
	}
}

// During a burst every agent gets orders. If each of them then reported every change of its
// state at once, a small entry would spend its CPU on reports.
func TestOrdersDoNotExpediteAllAgents(t *testing.T) {
	b := newFixture(t)
	for i := range 2 * expediteAgents {
		b.attach(fmt.Sprintf("a%d", i), fmt.Sprintf("a%d-1", i))
	}
	b.advance(100 * time.Millisecond)
	b.d.waitlist("s").refusedAt = b.now
	for range 2 * expediteAgents {
		if _, refused := b.submit(tasks(4, 1000, 100*time.Millisecond)); refused != nil {
			t.Fatalf("refused: %+v", refused)
		}
	}
	expedited, ordered := 0, 0
	for _, a := range b.agents {
		if a.expedite {
			expedited++
		}
		if len(a.orders) > 0 {
			ordered++
		}
	}
	if ordered <= expediteAgents {
		t.Fatalf("%d agents have orders, want more than %d", ordered, expediteAgents)
	}
	if expedited != expediteAgents {
		t.Errorf("%d agents report immediately, want %d", expedited, expediteAgents)
	}
}

// An agent that is lost while it reports immediately must not count against the limit.
func TestLostAgentIsNotCountedAsExpedited(t *testing.T) {
	b := newFixture(t, "a", "b")
	b.d.waitlist("s").refusedAt = b.now
	b.submit(tasks(4, 1000, 100*time.Millisecond))
	if b.d.expedited != 2 {
		t.Fatalf("%d agents report immediately, want 2", b.d.expedited)
	}
	a := b.agents["a-1"]
	b.d.LinkDown(b.now, a.incarnation, a.epoch)
	if b.d.expedited != 1 {
		t.Errorf("%d agents count as reporting immediately, want 1", b.d.expedited)
	}
}

// An agent that no input touched must still time out.
func TestUntouchedAgentTimesOut(t *testing.T) {
	b := newFixture(t, "a", "b")
	b.advance(10 * time.Millisecond)
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

// All workers are full, and jobs are refused. None waits, but the next ones arrive soon, and
// need the capacity released since. When no more are refused, the normal report interval
// applies again.
func TestReportsAreExpeditedAfterRefusal(t *testing.T) {
	b := newFixture(t, "a")
	a := b.agents["a-1"]
	a.used = a.capacity
	b.report(a)
	if _, refused := b.submit(tasks(1, 1000, 10*time.Millisecond)); refused == nil || refused.Reason != ReasonOverload {
		t.Fatalf("answer %+v, want a refusal for lack of free capacity", refused)
	}
	if !a.expedite {
		t.Error("the agent was not asked for immediate reports")
	}
	b.advance(expediteAfterRefusal + 50*time.Millisecond)
	b.report(a)
	if a.expedite {
		t.Error("immediate reports have not ended")
	}
}
