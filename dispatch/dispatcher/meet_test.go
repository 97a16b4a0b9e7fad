package dispatcher

import (
	"testing"
	"time"
)

// All machines have lost power. An entry is back and callers come at once, a tenth of a
// second before the first agent has found it. Refused, they would have nothing, with
// idle workers about to be met.
func TestNewEntryHoldsJobsUntilItHasMetItsAgents(t *testing.T) {
	b := newBed(t)
	b.d.begunAt = b.now
	first := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	b.wait(100 * time.Millisecond)
	b.attach("a", "a-1")
	orders := b.sent()
	if len(orders) != 1 {
		t.Fatalf("%d orders when an agent is met, want 1", len(orders))
	}
	// More than the one agent that is met so far has room for.
	second := b.accepted(tasks(5, 1000, 100*time.Millisecond))
	b.wait(50 * time.Millisecond)
	b.attach("b", "b-1")
	for len(b.sent()) > 0 {
		b.tell(b.sent()[0], 3, "", 100*time.Millisecond)
	}
	b.wantAnswer(first, Completed, "")
	b.wantAnswer(second, Completed, "")
}

// An entry begins and no agent finds it. Its callers hear so as soon as that is known,
// not at the end of their time.
func TestNewEntryWithoutAgentsRefusesWhenItKnows(t *testing.T) {
	b := newBed(t)
	b.d.begunAt = b.now
	long := b.accepted(tasks(1, 1000, time.Second))
	b.wait(meetWithin - 10*time.Millisecond)
	if _, ok := b.answers[long]; ok {
		t.Fatal("answered before it could know")
	}
	b.wait(20 * time.Millisecond)
	b.wantAnswer(long, NotRun, ReasonNoWorkers)
	if _, refused := b.submit(tasks(1, 1000, time.Second)); refused == nil || refused.Reason != ReasonNoWorkers {
		t.Errorf("answer %+v, want not run for %q", refused, ReasonNoWorkers)
	}
}
