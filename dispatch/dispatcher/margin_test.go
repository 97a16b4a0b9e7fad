package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// Under a burst a task is offered to one worker after another, each of which refuses it
// after a little more than it foretold. Its caller has waited for all of them. Counted one
// by one, no wait is far from what was foretold, and jobs go on being taken in that end
// late one and all.
func TestWaitAtSeveralWorkersCountsAsOne(t *testing.T) {
	b := newBed(t, "a", "b", "c", "d", "e", "f")
	b.accepted(tasks(1, 1000, 900*time.Millisecond))
	for range 5 {
		b.wait(60 * time.Millisecond)
		b.tell(b.sent()[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaited, 0)
	}
	// Five samples of a fifth each have brought it most of the way.
	if got := b.d.margins["q"].now(b.now); got < 100*time.Millisecond {
		t.Errorf("margin %v after a task was held up for 300 ms", got)
	}
}

// A run has begun and its agent tells so with other news, a tenth of a second later. The
// task had not waited for that long.
func TestStartToldLaterIsNoWait(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(1, 1000, 900*time.Millisecond))
	b.wait(100 * time.Millisecond)
	b.tell(b.sent()[0], pb.OrderState_ORDER_STATE_STARTED, "", 100*time.Millisecond)
	if got := b.d.margins["q"].now(b.now); got != 0 {
		t.Errorf("margin %v", got)
	}
}

// A queue is refused altogether, so nothing shows that there is room again. It must be
// tried before long, or one burst would shut it out for good.
func TestMarginIsForgotten(t *testing.T) {
	m := &margin{size: 800 * time.Millisecond, at: time.Unix(1000, 0)}
	for after, want := range map[time.Duration]time.Duration{
		0: 800 * time.Millisecond, marginHalf: 400 * time.Millisecond, 3 * marginHalf: 100 * time.Millisecond,
	} {
		if got := m.now(m.at.Add(after)); got.Round(time.Millisecond) != want {
			t.Errorf("margin %v after %v, want %v", got, after, want)
		}
	}
	if got := (*margin)(nil).now(m.at); got != 0 {
		t.Errorf("margin %v of a queue of which nothing has waited", got)
	}
}

// Urgent jobs start later than foretold. A job that can't be in time any more and is taken
// in all the same fills what the next urgent ones need, and makes those late.
func TestNoLateWorkWhileAnythingStartsLate(t *testing.T) {
	b := newBed(t, "a")
	late := func() bool { return b.d.takesLate(b.now) }
	if !late() {
		t.Error("no late work though nothing has started late")
	}
	b.d.margins["urgent"] = &margin{size: 80 * time.Millisecond, at: b.now}
	if late() {
		t.Error("late work though urgent jobs start late")
	}
	b.wait(3 * marginHalf)
	if !late() {
		t.Error("no late work though it is long ago that anything started late")
	}
}
