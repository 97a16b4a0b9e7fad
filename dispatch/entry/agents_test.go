package entry_test

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/entry"
)

// A switch fails and an agent behind it can't be reached. The entry must not dial
// it at a steady rate, in step with all others, nor remember it for good when an
// instance with another name has taken its place; and when it does come back, it
// must be served again.
func TestUnreachableAgent(t *testing.T) {
	now := time.Unix(1000, 0)
	e := entry.New(entry.Options{
		Hello:    &pb.EntryHello{Entry: "e", Incarnation: benchHome},
		Started:  now,
		Contract: func(string) *pb.Contract { return nil },
		Random:   func() float64 { return 0.5 },
	})
	hello := &pb.AgentHello{Agent: "a", Incarnation: "1", Slots: 1}
	e.AgentSeen(now, hello, false, false)
	dials := 0
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			e.Tick(now)
			for _, d := range e.Ready(now).Dials {
				dials++
				e.LinkDown(now, "a", d.Hello.Epoch, false)
			}
		}
	}
	pass(15 * time.Second)
	// 250 ms doubling to 2 s, for 10 s; at a steady 250 ms it would be 40.
	if dials < 5 || dials > 10 {
		t.Errorf("%d dials in 10 s, want 5 to 10", dials)
	}
	if n := len(e.AgentStatuses()); n != 1 {
		t.Errorf("%d agents listed while the agent may come back, want 1", n)
	}
	pass(11 * time.Minute)
	if n := len(e.AgentStatuses()); n != 0 {
		t.Errorf("%d agents listed, want it forgotten", n)
	}
	dials = 0
	e.AgentSeen(now, hello, false, false)
	if dials += len(e.Ready(now).Dials); dials != 1 {
		t.Errorf("%d dials of the agent that came back, want 1", dials)
	}
}
