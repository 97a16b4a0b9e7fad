package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// A link was opened slowly because all machines started at once: the entry answered a sixth of
// a second after the agent's request. The frame delay must not be overestimated by that time,
// or an order that took four milliseconds is refused as stale and the entry considers itself
// overloaded.
func TestSlowlyOpenedLinkMakesNoOrderStale(t *testing.T) {
	h := newHarness(t)
	requested := h.now
	h.now = h.now.Add(h.times.MaxOrderDelay - 3*time.Millisecond)
	h.r.LinkUp(h.now, requested, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, h.now.UnixNano())
	h.ready()
	h.now = h.now.Add(2 * time.Millisecond)
	h.frame("e1", &pb.OrderFrame{})
	sent := h.now
	h.now = h.now.Add(4 * time.Millisecond)
	h.r.Step(h.now, "e1", 1, &pb.OrderFrame{
		Seq: 2, Ack: h.acks["e1"], SentNs: sent.UnixNano(),
		Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}, LimitMs: 1000}},
	})
	if got := h.ready().Starts; len(got) != 1 {
		t.Errorf("%d starts, want that of the order; updates: %v", len(got), h.updates["e1"])
	}
}

// A link is delayed from its beginning: all frames arrive half a second late, by the same
// amount. Their entry has had its tasks run elsewhere by now.
func TestUniformlyDelayedFramesAreStale(t *testing.T) {
	h := newHarness(t, "e1")
	behind := h.now.Add(-h.times.MaxOrderDelay - time.Second)
	for range 3 {
		h.seq["e1"]++
		h.r.Step(h.now, "e1", 1, &pb.OrderFrame{Seq: h.seq["e1"], SentNs: behind.UnixNano()})
		h.now, behind = h.now.Add(time.Millisecond), behind.Add(time.Millisecond)
	}
	h.seq["e1"]++
	h.r.Step(h.now, "e1", 1, &pb.OrderFrame{
		Seq: h.seq["e1"], SentNs: behind.UnixNano(), Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	if got := h.ready().Starts; len(got) != 0 {
		t.Errorf("%d starts of stale orders", len(got))
	}
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonStaleOrder)
}

// The two clocks drift. An old clock difference must not make frames seem delayed, or on time,
// for ever.
func TestDelayBoundsExpire(t *testing.T) {
	var fd frameDelay
	now := time.Unix(1000, 0)
	remote := func(d time.Duration) int64 { return now.Add(d).UnixNano() }
	fd.update(now, now, remote(-time.Second)) // this clock is a second ahead
	if got := fd.of(now, remote(-time.Second)); got != 0 {
		t.Errorf("delay %v at first, want 0", got)
	}
	for range 5 {
		now = now.Add(delayPeriod)
		fd.update(now, now, remote(-900*time.Millisecond))
	}
	if got := fd.of(now, remote(-time.Second)); got != 100*time.Millisecond {
		t.Errorf("delay %v, want the one by the recent bounds", got)
	}
}

// A link is idle for minutes, with a heartbeat a second each way, the entry's up to 0.9 s after
// the agent's. The first order after that must not be considered stale because of that offset.
func TestIdleLinkMakesNoOrderStale(t *testing.T) {
	for _, phase := range []time.Duration{50, 300, 500, 900} {
		phase *= time.Millisecond
		h := newHarness(t, "e1")
		probes := 0
		for range 4 * int(delayPeriod/time.Second) {
			h.now = h.now.Add(time.Second)
			h.r.reportStateNow() // a frame, as the heartbeat is
			for _, f := range h.ready().Frames {
				if f.Frame.AnswerAtOnce {
					probes++
					h.frame("e1", &pb.OrderFrame{})
				}
			}
			h.now = h.now.Add(phase)
			h.frame("e1", &pb.OrderFrame{})
			h.now = h.now.Add(-phase)
		}
		h.now = h.now.Add(phase + 5*time.Millisecond)
		h.order("e1", "t1", 100)
		h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
		if got := h.started(); len(got) != 1 {
			t.Errorf("phase %v: started %v", phase, got)
		}
		if most := 4 * int(delayPeriod/probeInterval); probes == 0 || probes > most {
			t.Errorf("%d answers were requested, want 1 to %d", probes, most)
		}
	}
}
