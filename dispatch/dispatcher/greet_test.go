package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// greet has an agent's greeting arrive, which the agent need not be alive to see.
func (b *bed) greet(name, incarnation string, epoch uint64) {
	b.d.LinkUp(b.now, &pb.AgentGreeting{Agent: name, Incarnation: incarnation, FailureDomain: "hall", Epoch: epoch})
	b.ready()
}

// An agent asks for a link, is killed, and another process takes its place. The
// network delivers the first one's greeting only after the second one is linked. The
// first one is gone: the task that it has started still runs beside the second one,
// and must not be placed anew because of what an old greeting doesn't know of.
func TestLateGreetingOfAnEndedAgentChangesNothing(t *testing.T) {
	b := newBed(t, "a", "other")
	job := tasks(1, 3000, 5*time.Second)
	job.TimeLimit = 30 * time.Second
	b.accepted(job)
	o := b.sent()[0]
	at := b.at(o)
	b.tell(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.LinkDown(b.now, at.incarnation, at.epoch)
	second := &fakeAgent{name: at.name, incarnation: at.name + "-2", capacity: 4000, used: 3000}
	b.agents[second.incarnation] = second
	b.attach(second.name, second.incarnation)
	b.greet(at.name, at.incarnation, at.epoch+1)
	b.wait(20 * time.Millisecond)
	if n := len(b.sent()); n != 1 {
		t.Errorf("%d orders of one task that still runs", n)
	}
	if b.d.Links() != 2 {
		t.Errorf("%d links, want those of the living two", b.d.Links())
	}
}

// The first frame of the earlier process can be as late as its greeting. It was
// greeted before the later one, so it is the one that has ended.
func TestLateFrameOfAnEndedAgentChangesNothing(t *testing.T) {
	b := newBed(t, "other")
	b.greet("a", "a-1", 1)
	b.wait(10 * time.Millisecond)
	b.attach("a", "a-2")
	b.d.Step(b.now, "a-1", 1, &pb.WorkerFrame{Seq: 1, State: &pb.WorkerState{Worker: "w", Service: "s", Accepting: true}})
	r := b.d.Ready(b.now)
	if len(r.Close) != 1 || r.Close[0] != "a-1" {
		t.Errorf("links to close %v, want that of the ended process", r.Close)
	}
	if b.d.Links() != 2 {
		t.Errorf("%d links, want those of the living two", b.d.Links())
	}
}

// An agent's greeting is the last that comes of it. Its connection must not be kept
// for ever, nor may it count as a link.
func TestLinkWithoutAFrameIsClosed(t *testing.T) {
	b := newBed(t, "other")
	b.greet("a", "a-1", 1)
	if b.d.Links() != 1 {
		t.Errorf("%d links, want that of the other agent alone", b.d.Links())
	}
	next := b.d.Next()
	b.now = b.now.Add(b.d.opts.Link.HeartbeatTimeout)
	if next.After(b.now) {
		t.Errorf("next tick at %v, want one by %v", next, b.now)
	}
	b.d.Tick(b.now)
	if r := b.d.Ready(b.now); len(r.Close) != 1 || r.Close[0] != "a-1" {
		t.Errorf("links to close %v", r.Close)
	}
}
