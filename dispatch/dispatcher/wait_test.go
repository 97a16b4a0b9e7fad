package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
)

// At a load near the capacity two thirds of the room that comes free goes to more
// urgent work, which goes on arriving. A less urgent task that sees 50 ms of work ahead
// waits three times as long; taken for 50 ms, its job would end late.
func TestLessUrgentTaskIsPassedByWorkToCome(t *testing.T) {
	var m mix
	now := time.Unix(1000, 0)
	small := size.Size{CPUMillis: 1000}
	if got := m.passedBy(now, 1); got != 1 {
		t.Errorf("%v times without any work, want 1", got)
	}
	for range 10 {
		m.add(now, 0, small, 20*time.Millisecond)
		m.add(now, 1, small, 10*time.Millisecond)
		now = now.Add(150 * time.Millisecond)
	}
	for priority, want := range []float64{1, 3, maxPassed} {
		if got := m.passedBy(now, uint32(priority)); math.Abs(got-want) > 1e-9 {
			t.Errorf("priority %d: %v times, want %v", priority, got, want)
		}
	}
	if got := m.passedBy(now.Add(3*time.Second), 1); got != 1 {
		t.Errorf("%v times after three seconds without work, want 1", got)
	}
}

// The second of two steps must start in the time that the first one leaves it, not
// when the job as a whole would have had to.
func TestLaterStepHasItsOwnTime(t *testing.T) {
	b := newBed(t, "a")
	in := tasks(1, 1000, 100*time.Millisecond)
	in.Steps = append(in.Steps, Step{Count: 1, Size: in.Steps[0].Size, Estimated: 300 * time.Millisecond, After: []int{0}})
	j := b.d.jobs[b.accepted(in)]
	objective := 60*time.Millisecond + 640*time.Millisecond
	for step, want := range []time.Duration{objective - 400*time.Millisecond, objective - 300*time.Millisecond} {
		if got := (&task{job: j, step: step}).startBy().Sub(b.now); got != want {
			t.Errorf("step %d must start within %v, want %v", step, got, want)
		}
	}
}
