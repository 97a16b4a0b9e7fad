package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// full makes a worker report that it is taken, and that all of it comes free after the
// given time.
func (b *bed) full(a *fakeAgent, until time.Duration) {
	a.used = a.capacity
	s := a.stateNow()
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

// A worker is lost in a burst, and for a moment the rest has no room for anything in
// time. Refused, every caller of that moment would have nothing; taken in, each has its
// answer a little late. An answer later than three times its objective would be of no
// use, so what can't be earlier is refused at once.
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
			b := newBed(t, "a")
			b.full(b.agents["a-1"], c.free)
			// The objective is 60 + 1.6 x 100 ms: to start within 120, of use within 560.
			n, refused := b.submit(tasks(2, 1000, 100*time.Millisecond))
			if (refused != nil) != c.refused {
				t.Fatalf("refused %+v, want %v", refused, c.refused)
			}
			if c.refused {
				if refused.Outcome != NotRun || refused.Reason != ReasonOverload || refused.RetryAfter < time.Second {
					t.Errorf("answer %+v, want not run, with a time to come back", refused)
				}
				return
			}
			if got := b.d.jobs[n].late; got != c.late {
				t.Errorf("late %v, want %v", got, c.late)
			}
			for _, o := range b.sent() {
				if got := o.StartByMs < 0; got != c.late {
					t.Errorf("order to start by %d ms, want late %v", o.StartByMs, c.late)
				}
			}
		})
	}
}

// A job that can be in time comes behind many that can't. It waits only for its like;
// behind all of them it would be late as well, and so would everyone after the burst.
func TestLateWorkDelaysNoneThatIsInTime(t *testing.T) {
	b := newBed(t, "a")
	a := b.d.agent("a-1")
	a.state.Room = &pb.Room{}
	a.state.Frees = make([]uint32, len(forecast.Horizons))
	for i := range a.state.Frees {
		a.state.Frees[i] = 1000
	}
	a.state.Queued = []*pb.QueuedWork{{CpuMillis: 20_000, Late: true}}
	a.renewFree()
	small := tasks(1, 1000, time.Second).Steps[0].Size
	if got := a.wait(small, 0, false); got != forecast.Horizons[0] {
		t.Errorf("wait %v of a task in time, want %v", got, forecast.Horizons[0])
	}
	if got := a.wait(small, 0, true); got <= forecast.Horizons[0] {
		t.Errorf("wait %v of a late task, want it behind those that wait", got)
	}
}

// An order that waited at a worker longer than foretold comes back, and no other worker
// is expected to start it while its answer is of use. Kept on, its caller would hear at
// the end of its time what is known now.
func TestJobThatNoWorkerCanStartInItsUseIsGivenUp(t *testing.T) {
	b := newBed(t, "a", "b")
	n := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	o := b.sent()[0]
	b.wait(60 * time.Millisecond)
	for _, a := range b.agents {
		a.used = 5000
		b.report(a)
	}
	if _, ok := b.answers[n]; ok {
		t.Fatal("answered while its order waits")
	}
	b.tell(o, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaited, 0)
	b.wantAnswer(n, NotRun, ReasonHeld)
}

// A worker is expected to start a task in 100 ms. An order that may wait there a quarter
// of the objective would be refused at once and sent again, to all workers in turn, until
// its time is over.
func TestOrderMayWaitTwiceAsLongAsForetold(t *testing.T) {
	b := newBed(t, "a")
	b.full(b.agents["a-1"], 100*time.Millisecond)
	b.accepted(tasks(1, 1000, 100*time.Millisecond))
	if got := b.sent()[0].WaitMs; got != 200 {
		t.Errorf("may wait %d ms, want twice the 100 ms foretold", got)
	}
}

// A small entry has more to do than its processor can: it's 150 ms behind. A job that
// comes now could still end before its answer is of no use; but each one taken in puts
// all others further behind, and most callers would wait for an error.
func TestEntryThatIsBehindRefusesAtOnce(t *testing.T) {
	b := newBed(t, "a")
	b.d.lag.take(b.now, 150*time.Millisecond)
	if _, refused := b.submit(tasks(1, 1000, 100*time.Millisecond)); refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonBusy {
		t.Errorf("answer %+v, want not run for %q", refused, ReasonBusy)
	}
	b.accepted(tasks(1, 1000, 900*time.Millisecond)) // it may wait longer
}

// A small entry's frames leave late under a burst, though its timers fire in time: two
// agents refuse orders as too late. Taking in more, it would lose its links and all that
// runs. One agent alone may have been cut off for a moment, which is no reason to refuse.
func TestOrdersLateAtTwoAgentsShowThatTheEntryIsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		agents  []string
		refused bool
	}{
		"two agents": {[]string{"a-1", "b-1"}, true},
		"one agent":  {[]string{"a-1", "a-1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "a", "b", "c")
			b.accepted(tasks(9, 1000, 100*time.Millisecond))
			for _, a := range c.agents {
				b.tell(b.agents[a].orders[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonLate, 0)
			}
			_, refused := b.submit(tasks(1, 500, 100*time.Millisecond))
			if got := refused != nil && refused.Reason == ReasonBusy; got != c.refused {
				t.Errorf("answer %+v, want refused %v", refused, c.refused)
			}
		})
	}
}
