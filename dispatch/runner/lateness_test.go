package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// A link was opened slowly, when all machines began at once: its answer was made a sixth
// of a second after the agent asked. For twenty seconds each order seemed late by that
// time; with four milliseconds of its own it was refused, and the entry took itself for
// behind.
func TestLinkOpenedSlowlyMakesNoOrderLate(t *testing.T) {
	b := newBed(t)
	asked := b.now
	b.now = b.now.Add(b.times.MaxLate - 3*time.Millisecond)
	b.r.LinkUp(b.now, asked, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, b.now.UnixNano())
	b.ready()
	b.now = b.now.Add(2 * time.Millisecond)
	b.frame("e1", &pb.OrderFrame{})
	sent := b.now
	b.now = b.now.Add(4 * time.Millisecond)
	b.r.Step(b.now, "e1", 1, &pb.OrderFrame{
		Seq: 2, Ack: b.acks["e1"], SentNs: sent.UnixNano(),
		Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}, LimitMs: 1000}},
	})
	if got := b.ready().Starts; len(got) != 1 {
		t.Errorf("%d starts, want that of the order; news: %v", len(got), b.news["e1"])
	}
}

// A link is held up from its beginning on: all frames come half a second late, and alike.
// Their entry has had its tasks run elsewhere by now.
func TestFramesThatAreAllLateAreLate(t *testing.T) {
	b := newBed(t, "e1")
	behind := b.now.Add(-b.times.MaxLate - time.Second)
	for range 3 {
		b.seq["e1"]++
		b.r.Step(b.now, "e1", 1, &pb.OrderFrame{Seq: b.seq["e1"], SentNs: behind.UnixNano()})
		b.now, behind = b.now.Add(time.Millisecond), behind.Add(time.Millisecond)
	}
	b.seq["e1"]++
	b.r.Step(b.now, "e1", 1, &pb.OrderFrame{
		Seq: b.seq["e1"], SentNs: behind.UnixNano(), Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	if got := b.ready().Starts; len(got) != 0 {
		t.Errorf("%d starts of late orders", len(got))
	}
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonLate)
}

// The two clocks drift. A difference that held long ago must not make frames late, or seem
// in time, for ever.
func TestBoundsOfLatenessAreForgotten(t *testing.T) {
	var l lateness
	now := time.Unix(1000, 0)
	theirs := func(d time.Duration) int64 { return now.Add(d).UnixNano() }
	l.bound(now, now, theirs(-time.Second)) // this clock is a second ahead
	if got := l.of(now, theirs(-time.Second)); got != 0 {
		t.Errorf("late by %v at once", got)
	}
	for range 5 {
		now = now.Add(latenessPeriod)
		l.bound(now, now, theirs(-900*time.Millisecond))
	}
	if got := l.of(now, theirs(-time.Second)); got != 100*time.Millisecond {
		t.Errorf("late by %v, want what the bounds of late say", got)
	}
}

// A link is idle for minutes, with a heartbeat a second each way, the entry's half a second
// after the agent's. The first order after that must not seem late by it.
func TestIdleLinkMakesNoOrderLate(t *testing.T) {
	for _, phase := range []time.Duration{50, 300, 500, 900} {
		phase *= time.Millisecond
		b := newBed(t, "e1")
		asked := 0
		for range 4 * int(latenessPeriod/time.Second) {
			b.now = b.now.Add(time.Second)
			b.r.tellAtOnce() // a frame, as the heartbeat is
			for _, f := range b.ready().Frames {
				if f.Frame.AnswerAtOnce {
					asked++
					b.frame("e1", &pb.OrderFrame{})
				}
			}
			b.now = b.now.Add(phase)
			b.frame("e1", &pb.OrderFrame{})
			b.now = b.now.Add(-phase)
		}
		b.now = b.now.Add(phase + 5*time.Millisecond)
		b.order("e1", "t1", 100)
		b.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
		if got := b.started(); len(got) != 1 {
			t.Errorf("phase %v: started %v", phase, got)
		}
		if most := 4 * int(latenessPeriod/askEvery); asked == 0 || asked > most {
			t.Errorf("asked %d times, want %d at most", asked, most)
		}
	}
}
