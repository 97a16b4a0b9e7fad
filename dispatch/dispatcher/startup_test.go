package dispatcher

import (
	"testing"
	"time"
)

// All machines have lost power. An entry is up again and callers arrive at once, a tenth of a
// second before the first agent has found it. Their jobs must be held rather than refused.
func TestNewEntryHoldsJobsUntilAgentsAreLinked(t *testing.T) {
	b := newFixture(t)
	b.d.startedAt = b.now
	first := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	b.advance(100 * time.Millisecond)
	b.attach("a", "a-1")
	orders := b.orders()
	if len(orders) != 1 {
		t.Fatalf("%d orders when an agent is linked, want 1", len(orders))
	}
	// More than fits the one agent that is linked so far.
	second := b.mustSubmit(tasks(5, 1000, 100*time.Millisecond))
	b.advance(50 * time.Millisecond)
	b.attach("b", "b-1")
	for len(b.orders()) > 0 {
		b.reportOrder(b.orders()[0], 3, "", 100*time.Millisecond)
	}
	b.wantAnswer(first, Completed, "")
	b.wantAnswer(second, Completed, "")
}

// An entry starts and no agent finds it. Its callers are told as soon as the startup period is
// over, not at their time limit.
func TestNewEntryWithoutAgentsRefusesAfterStartup(t *testing.T) {
	b := newFixture(t)
	b.d.startedAt = b.now
	long := b.mustSubmit(tasks(1, 1000, time.Second))
	b.advance(startupPeriod - 10*time.Millisecond)
	if _, ok := b.answers[long]; ok {
		t.Fatal("answered during the startup period")
	}
	b.advance(20 * time.Millisecond)
	b.wantAnswer(long, NotRun, ReasonNoWorkers)
	if _, refused := b.submit(tasks(1, 1000, time.Second)); refused == nil || refused.Reason != ReasonNoWorkers {
		t.Errorf("answer %+v, want not run for %q", refused, ReasonNoWorkers)
	}
}
