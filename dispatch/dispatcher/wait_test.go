package dispatcher

import (
	"math"
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Near capacity two thirds of the released capacity goes to more urgent work, which keeps
// arriving. A less urgent task behind 50 ms of work waits three times as long; with a predicted
// wait of 50 ms, its job would end late.
func TestLessUrgentTaskIsOvertakenByArrivingWork(t *testing.T) {
	var m urgencyMix
	now := time.Unix(1000, 0)
	small := size.Size{CPUMillis: 1000}
	if got := m.overtakeFactor(now, 1); got != 1 {
		t.Errorf("%v times without any work, want 1", got)
	}
	for range 10 {
		m.add(now, 0, small, 20*time.Millisecond)
		m.add(now, 1, small, 10*time.Millisecond)
		now = now.Add(150 * time.Millisecond)
	}
	for priority, want := range []float64{1, 3, maxOvertakeFactor} {
		if got := m.overtakeFactor(now, uint32(priority)); math.Abs(got-want) > 1e-9 {
			t.Errorf("priority %d: %v times, want %v", priority, got, want)
		}
	}
	if got := m.overtakeFactor(now.Add(3*time.Second), 1); got != 1 {
		t.Errorf("%v times after three seconds without work, want 1", got)
	}
}

// The second of two steps must start in the time that the first one leaves it, not when the
// job as a whole would have had to start.
func TestLaterStepHasItsOwnLatestStart(t *testing.T) {
	b := newFixture(t, "a")
	in := tasks(1, 1000, 100*time.Millisecond)
	in.Steps = append(in.Steps, Step{Count: 1, Size: in.Steps[0].Size, Estimated: 300 * time.Millisecond, After: []int{0}})
	j := b.d.jobs[b.mustSubmit(in)]
	objective := 60*time.Millisecond + 640*time.Millisecond
	for step, want := range []time.Duration{objective - 400*time.Millisecond, objective - 300*time.Millisecond} {
		if got := (&task{job: j, step: step}).startBy().Sub(b.now); got != want {
			t.Errorf("step %d must start within %v, want %v", step, got, want)
		}
	}
}

// A worker is full and stays so: twelve entries send it work, and this one's report of it is a
// tenth of a second old. If released capacity were assumed free since, each entry would send it
// a job that misses its objective.
func TestOldReportPromisesNoFreeCapacity(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(4, 1000, 100*time.Millisecond))
	a := b.d.agent("a-1")
	a.state.Frees = make([]uint32, len(forecast.Horizons))
	for i, h := range forecast.Horizons {
		if h >= 100*time.Millisecond {
			a.state.Frees[i] = 4000
		}
	}
	a.state.Room, a.state.SeenOrder = &pb.Room{}, b.d.lastOrder
	a.recomputeFree()
	small := b.newTask(false).demand(b.now)
	for range 3 {
		if got := a.expectedWait(small); got != 100*time.Millisecond {
			t.Errorf("wait %v with a report of %v, want 100 ms", got, b.now.Sub(a.stateAt))
		}
		b.now = b.now.Add(40 * time.Millisecond)
	}
}

// Orders of long jobs wait at a worker for seconds before they must start. A job of the same
// priority that must start much earlier goes first there; if they counted as ahead of it,
// nearly all short jobs would be refused while long ones wait.
func TestQueuedWorkThatStartsMuchLaterDelaysNobody(t *testing.T) {
	for name, c := range map[string]struct {
		startWithin time.Duration // of the queued work
		admitted    bool
	}{
		"must start earlier":              {50 * time.Millisecond, false},
		"must start about the same time":  {forecast.StartBound(110 * time.Millisecond), false},
		"must start a little later":       {400 * time.Millisecond, false},
		"must start much later":           {800 * time.Millisecond, true},
		"may wait for minutes":            {forecast.Never, true},
		"an agent that doesn't report it": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, "a")
			a := b.d.agent("a-1")
			a.state.Room = &pb.Room{}
			a.state.Frees = slices.Repeat([]uint32{1000}, len(forecast.Horizons))
			a.state.Queued = []*pb.QueuedWork{{CpuMillis: 200_000, StartWithinMs: uint32(c.startWithin.Milliseconds())}}
			a.recomputeFree()
			// Its objective is 60 ms + 1.6 x 100 ms.
			if _, refused := b.submit(tasks(1, 1000, 100*time.Millisecond)); (refused == nil) != c.admitted {
				t.Errorf("answer %+v, want admitted %v", refused, c.admitted)
			}
		})
	}
}
