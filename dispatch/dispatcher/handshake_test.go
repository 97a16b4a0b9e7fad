package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// sendHandshake delivers an agent's handshake, even if the agent is no longer alive.
func (b *fixture) sendHandshake(name, incarnation string, epoch uint64) {
	b.d.LinkUp(b.now, &pb.AgentGreeting{Agent: name, Incarnation: incarnation, FailureDomain: "hall", Epoch: epoch})
	b.ready()
}

// loseLinkDuringRun has an agent run a long task and lose its link to the entry.
func (b *fixture) loseLinkDuringRun() *fakeAgent {
	job := tasks(1, 3000, 5*time.Second)
	job.TimeLimit = 30 * time.Second
	b.mustSubmit(job)
	o := b.orders()[0]
	at := b.holder(o)
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.LinkDown(b.now, at.incarnation, at.epoch)
	return at
}

// An agent requests a link, is killed, and another process takes its place. The first one's
// handshake arrives after the second one is linked. The task that the first one started still
// runs beside the second one, and must not be placed again because the old handshake doesn't
// list it.
func TestLateHandshakeOfEndedAgentIsIgnored(t *testing.T) {
	b := newFixture(t, "a", "other")
	at := b.loseLinkDuringRun()
	second := &fakeAgent{name: at.name, incarnation: at.name + "-2", capacity: 4000, used: 3000}
	b.agents[second.incarnation] = second
	b.attach(second.name, second.incarnation)
	b.sendHandshake(at.name, at.incarnation, at.epoch+1)
	b.advance(20 * time.Millisecond)
	if n := len(b.orders()); n != 1 {
		t.Errorf("%d orders of one task that still runs", n)
	}
	if b.d.Links() != 2 {
		t.Errorf("%d links, want those of the two live processes", b.d.Links())
	}
}

// The first frame of the earlier process can be as late as its handshake. That handshake came
// before the later process's, so it belongs to the process that has ended.
func TestLateFrameOfEndedAgentIsIgnored(t *testing.T) {
	b := newFixture(t, "other")
	b.sendHandshake("a", "a-1", 1)
	b.advance(10 * time.Millisecond)
	b.attach("a", "a-2")
	b.d.Step(b.now, "a-1", 1, &pb.WorkerFrame{Seq: 1, State: &pb.WorkerState{Worker: "w", Service: "s", Accepting: true}})
	r := b.d.Ready(b.now)
	if len(r.Close) != 1 || r.Close[0] != "a-1" {
		t.Errorf("links to close %v, want that of the ended process", r.Close)
	}
	if b.d.Links() != 2 {
		t.Errorf("%d links, want those of the two live processes", b.d.Links())
	}
}

// Nothing follows an agent's handshake. Its connection must be closed in the end, and must not
// count as a link.
func TestLinkWithoutFrameIsClosed(t *testing.T) {
	b := newFixture(t, "other")
	b.sendHandshake("a", "a-1", 1)
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

// An agent's greeting doesn't name this entry, whose orders have begun there. Guards against an
// entry that takes silence about an order for proof that it has never arrived.
func TestOrdersSurviveAGreetingThatDoesNotNameTheEntry(t *testing.T) {
	b := newFixture(t, "a", "other")
	at := b.loseLinkDuringRun()
	var met []*pb.MetEntry
	forgetful := func() (closed bool) {
		at.epoch++
		b.d.LinkUp(b.now, &pb.AgentGreeting{Agent: at.name, Incarnation: at.incarnation, FailureDomain: "hall", Epoch: at.epoch, Met: met})
		// The reply makes the agent know the entry again, though not its orders.
		met = []*pb.MetEntry{{Incarnation: "e1"}}
		b.d.Step(b.now, at.incarnation, at.epoch, &pb.WorkerFrame{Seq: 1, State: at.currentState()})
		return len(b.d.Ready(b.now).Close) == 1
	}
	if !forgetful() {
		t.Error("the link is not refused")
	}
	for end := b.now.Add(b.times.RunsEndedAfter - 20*time.Millisecond); b.now.Before(end); {
		b.advance(20 * time.Millisecond)
		if n := len(b.orders()); n != 1 || !forgetful() {
			t.Fatalf("%d orders of one task whose run may go on", n)
		}
	}
	b.advance(40 * time.Millisecond)
	if n := len(b.orders()); n != 2 {
		t.Errorf("%d orders, want another one once the run has ended", n)
	}
	if forgetful() {
		t.Error("the link is refused though nothing is left there")
	}
}

// An agent asks for another link while the earlier one still delivers orders to it: it knows the
// entry by two addresses. Guards against an entry that takes an order for lost with its link because
// the greeting, which was sent before, leaves it out.
func TestOrderThatArrivesAfterTheGreetingIsNotTakenForLost(t *testing.T) {
	b := newFixture(t, "a", "other")
	b.mustSubmit(tasks(1, 3000, time.Second))
	o := b.orders()[0]
	at := b.holder(o)
	link := func(seen uint64) {
		at.epoch++
		b.d.LinkUp(b.now, &pb.AgentGreeting{
			Agent: at.name, Incarnation: at.incarnation, FailureDomain: "hall", Epoch: at.epoch,
			Met: []*pb.MetEntry{{Incarnation: "e1", SeenOrder: o.Number - 1}},
		})
		at.seq, at.ack, at.seen = 0, 0, seen
		b.report(at)
	}
	link(o.Number)
	if n := len(b.orders()); n != 1 {
		t.Fatalf("%d orders of a task that runs", n)
	}
	link(o.Number - 1)
	if n := len(b.orders()); n != 2 {
		t.Errorf("%d orders, want another one: the first has not arrived by the agent's first frame", n)
	}
}
