package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// setFull has a worker report that it is full, and that all of its capacity is released after
// the given time.
func (b *fixture) setFull(a *fakeAgent, until time.Duration) {
	a.used = a.capacity
	s := a.currentState()
	s.Frees = nil
	for _, h := range forecast.Horizons {
		cpu := uint32(0)
		if h >= until {
			cpu = uint32(a.capacity)
		}
		s.Frees = append(s.Frees, cpu)
	}
	a.seq++
	b.d.Step(b.now, a.incarnation, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: s})
	b.ready()
}

// A worker is lost in a burst, and for a moment the others can't start anything in time. Jobs
// of that moment are admitted late rather than refused. An answer later than three times its
// objective would be of no use, so jobs that can't end before that are refused at once.
func TestBurstIsServedLateRatherThanRefused(t *testing.T) {
	for name, c := range map[string]struct {
		free          time.Duration
		refused, late bool
	}{
		"in time": {free: 100 * time.Millisecond},
		"late":    {free: 350 * time.Millisecond, late: true},
		"no use":  {free: 700 * time.Millisecond, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, "a")
			b.setFull(b.agents["a-1"], c.free)
			// The objective is 60 ms + 1.6 x 100 ms: to meet it, tasks must start within 120 ms; to
			// be of use, within 560 ms.
			n, refused := b.submit(tasks(2, 1000, 100*time.Millisecond))
			if (refused != nil) != c.refused {
				t.Fatalf("refused %+v, want %v", refused, c.refused)
			}
			if c.refused {
				if refused.Outcome != NotRun || refused.Reason != ReasonOverload || refused.RetryAfter < time.Second {
					t.Errorf("answer %+v, want not run with a RetryAfter", refused)
				}
				return
			}
			if got := b.d.jobs[n].late; got != c.late {
				t.Errorf("late %v, want %v", got, c.late)
			}
			for _, o := range b.orders() {
				if got := o.StartByMs < 0; got != c.late {
					t.Errorf("order to start by %d ms, want late %v", o.StartByMs, c.late)
				}
			}
		})
	}
}

// A job that can meet its objective arrives behind many late ones. It must wait only for other
// jobs on time: behind the late ones it would be late as well, and so would all jobs after the
// burst.
func TestLateWorkDoesNotDelayWorkOnTime(t *testing.T) {
	b := newFixture(t, "a")
	a := b.d.agent("a-1")
	a.state.Room = &pb.Room{}
	a.state.Frees = make([]uint32, len(forecast.Horizons))
	for i := range a.state.Frees {
		a.state.Frees[i] = 1000
	}
	a.state.Queued = []*pb.QueuedWork{{CpuMillis: 20_000, Late: true}}
	a.recomputeFree()
	if got := a.expectedWait(b.newTask(false).demand(b.now)); got != forecast.Horizons[0] {
		t.Errorf("wait %v of a task on time, want %v", got, forecast.Horizons[0])
	}
	if got := a.expectedWait(b.newTask(true).demand(b.now)); got <= forecast.Horizons[0] {
		t.Errorf("wait %v of a late task, want it behind those queued", got)
	}
}

// An order that waited at a worker longer than predicted is refused, and no other worker is
// expected to start the task while its answer is of use. The caller must be told at once and
// not at its time limit.
func TestJobWithoutUsefulStartIsAbandoned(t *testing.T) {
	b := newFixture(t, "a", "b")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	o := b.orders()[0]
	b.advance(60 * time.Millisecond)
	for _, a := range b.agents {
		a.used = 5000
		b.report(a)
	}
	if _, ok := b.answers[n]; ok {
		t.Fatal("answered while its order waits")
	}
	b.reportOrder(o, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaitTimeout, 0)
	b.wantAnswer(n, NotRun, ReasonNoFreeWorker)
}

// A worker is expected to start a task in 100 ms. With a limit of a quarter of the objective,
// the order would be refused at once and offered to all workers in turn until its time is over.
func TestOrderMayWaitTwiceAsLongAsPredicted(t *testing.T) {
	b := newFixture(t, "a")
	b.setFull(b.agents["a-1"], 100*time.Millisecond)
	b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	if got := b.orders()[0].WaitMs; got != 200 {
		t.Errorf("may wait %d ms, want twice the 100 ms predicted", got)
	}
}

// A small entry has more to do than its CPU can, and lags by 150 ms. A job that arrives now
// could still end while its answer is of use, but each one admitted delays all others further,
// and most callers would wait for an error.
func TestLaggingEntryRefusesAtOnce(t *testing.T) {
	b := newFixture(t, "a")
	b.d.timerLag.observe(b.now, 150*time.Millisecond)
	if _, refused := b.submit(tasks(1, 1000, 100*time.Millisecond)); refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonLagging {
		t.Errorf("answer %+v, want not run for %q", refused, ReasonLagging)
	}
	b.mustSubmit(tasks(1, 1000, 900*time.Millisecond)) // it may wait longer
}

// A small entry's frames leave late under a burst though its timers fire in time: two agents
// refuse orders as stale. If it admitted more, it would lose its links and all runs. One agent
// alone may have been cut off for a moment, which is no reason to refuse.
func TestStaleOrdersAtTwoAgentsIndicateLaggingEntry(t *testing.T) {
	for name, c := range map[string]struct {
		agents  []string
		refused bool
	}{
		"two agents": {[]string{"a-1", "b-1"}, true},
		"one agent":  {[]string{"a-1", "a-1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, "a", "b", "c")
			b.mustSubmit(tasks(9, 1000, 100*time.Millisecond))
			for _, a := range c.agents {
				b.reportOrder(b.agents[a].orders[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonStaleOrder, 0)
			}
			_, refused := b.submit(tasks(1, 500, 100*time.Millisecond))
			if got := refused != nil && refused.Reason == ReasonLagging; got != c.refused {
				t.Errorf("answer %+v, want refused %v", refused, c.refused)
			}
		})
	}
}
