package dispatcher

import (
	"testing"
	"time"
)

// A machine was suspended for seconds. Requests that were queued in its sockets meanwhile may
// be of callers that have gone elsewhere, and they are read before the ends of their
// connections.
func TestJobsAreHeldAfterSuspension(t *testing.T) {
	var w SuspensionDetector
	now, steady := time.Unix(5000, 0), 100*time.Second
	for _, c := range []struct {
		pass, awake time.Duration
		want        time.Duration
	}{
		{0, 0, 0},
		{10 * time.Second, 10 * time.Second, 0},
		{50 * time.Millisecond, 0, 0},
		{2 * time.Second, time.Millisecond, suspensionHold},
		{100 * time.Millisecond, 100 * time.Millisecond, suspensionHold},
		{time.Second, time.Second, 0},
	} {
		now, steady = now.Add(c.pass), steady+c.awake
		if got := w.Hold(now, steady); got != c.want {
			t.Errorf("after %v, awake for %v of it: %v, want %v", c.pass, c.awake, got, c.want)
		}
	}
}

// The process handled nothing for so long that callers may have sent their jobs to other
// entries. Their connections must be checked before anything else is handled.
func TestStallIsReportedWhileJobsAreOpen(t *testing.T) {
	b := newFixture(t, "a")
	if got := b.d.Stall(b.now.Add(time.Hour)); got != 0 {
		t.Errorf("without open jobs: a stall of %v", got)
	}
	b.mustSubmit(tasks(1, 1000, time.Second))
	for _, c := range []struct{ since, want time.Duration }{
		{0, 0},
		{b.times.MaxStall, 0},
		{b.times.MaxStall + 1, b.times.MaxStall + 1},
	} {
		if got := b.d.Stall(b.now.Add(c.since)); got != c.want {
			t.Errorf("%v after the last input: a stall of %v, want %v", c.since, got, c.want)
		}
	}
}
