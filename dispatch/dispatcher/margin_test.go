package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// Under a burst a task is offered to one worker after another, each of which refuses it after
// a little more than the predicted wait. Counted one by one, no wait is far from its prediction,
// and jobs would go on being admitted that all end late.
func TestWaitAtSeveralWorkersCountsAsOne(t *testing.T) {
	b := newFixture(t, "a", "b", "c", "d", "e", "f")
	b.mustSubmit(tasks(1, 1000, 900*time.Millisecond))
	for range 5 {
		b.advance(60 * time.Millisecond)
		b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaitTimeout, 0)
	}
	// Five samples of a fifth each have brought it most of the way.
	if got := b.d.waitMargins["q"].value(b.now); got < 100*time.Millisecond {
		t.Errorf("margin %v after a task was held up for 300 ms", got)
	}
}

// An agent reports a start a tenth of a second later, with other updates. That delay isn't
// part of the task's wait.
func TestDelayedStartReportIsNoWait(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(1, 1000, 900*time.Millisecond))
	b.advance(100 * time.Millisecond)
	b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_STARTED, "", 100*time.Millisecond)
	if got := b.d.waitMargins["q"].value(b.now); got != 0 {
		t.Errorf("margin %v", got)
	}
}

// All jobs of a queue are refused, so nothing shows that there is free capacity again. It must
// be tried before long, or one burst would shut it out for good.
func TestWaitMarginDecays(t *testing.T) {
	m := &waitMargin{last: 800 * time.Millisecond, updatedAt: time.Unix(1000, 0)}
	for after, want := range map[time.Duration]time.Duration{
		0: 800 * time.Millisecond, marginHalfLife: 400 * time.Millisecond, 3 * marginHalfLife: 100 * time.Millisecond,
	} {
		if got := m.value(m.updatedAt.Add(after)); got.Round(time.Millisecond) != want {
			t.Errorf("margin %v after %v, want %v", got, after, want)
		}
	}
	if got := (*waitMargin)(nil).value(m.updatedAt); got != 0 {
		t.Errorf("margin %v of a queue without recorded waits", got)
	}
}

// Urgent jobs start later than predicted. A late job admitted now would take capacity that the
// next urgent ones need, and make those late.
func TestNoLateWorkWhileTasksStartLate(t *testing.T) {
	b := newFixture(t, "a")
	late := func() bool { return b.d.admitsLate(b.now) }
	if !late() {
		t.Error("late work refused though no task has started late")
	}
	b.d.waitMargins["urgent"] = &waitMargin{last: 80 * time.Millisecond, updatedAt: b.now}
	if late() {
		t.Error("late work admitted while urgent jobs start late")
	}
	b.advance(3 * marginHalfLife)
	if !late() {
		t.Error("late work refused long after the last late start")
	}
}
