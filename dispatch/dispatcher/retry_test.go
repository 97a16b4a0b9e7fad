package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// Callers refused together return together if they are all told the same number of seconds.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	const draws = 120
	for _, c := range []struct{ wait, least, most time.Duration }{
		{0, time.Second, 2 * time.Second},
		{700 * time.Millisecond, time.Second, 2 * time.Second},
		{2500 * time.Millisecond, 3 * time.Second, 6 * time.Second},
		{time.Hour, 30 * time.Second, 60 * time.Second},
	} {
		draw := 0
		d := New(Options{Random: func() float64 { draw++; return float64(draw-1) / draws }})
		seen := map[time.Duration]int{}
		for range draws {
			seen[d.retryAfter(c.wait)]++
		}
		for after := c.least; after <= c.most; after += time.Second {
			if seen[after] == 0 {
				t.Errorf("wait %v: nobody returns after %v", c.wait, after)
			}
			delete(seen, after)
		}
		if len(seen) > 0 {
			t.Errorf("wait %v: callers return after %v, want whole seconds from %v to %v", c.wait, seen, c.least, c.most)
		}
	}
}

// The only worker has taken no orders for half a second. Callers that are told to return much
// later miss its return.
func TestCallersReturnSoonAfterAShortOutage(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(1, 1000, 500*time.Millisecond))
	b.agents["a-1"].held = runner.HeldUnresponsive
	b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_LOST, "", 0)
	b.advance(700 * time.Millisecond)
	_, refused := b.submit(tasks(1, 1000, 500*time.Millisecond))
	if refused == nil || refused.Reason != ReasonOverload || refused.RetryAfter > 2*time.Second {
		t.Errorf("answer %+v, want a refusal with a RetryAfter of two seconds at most", refused)
	}
}
