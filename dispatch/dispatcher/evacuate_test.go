package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// in links an agent of a failure domain.
func (b *bed) in(domain, name string) *fakeAgent {
	a := &fakeAgent{name: name, incarnation: name + "-1", capacity: 4000, clean: true, domain: domain}
	b.agents[a.incarnation] = a
	return b.attach(name, a.incarnation)
}

func (b *bed) evacuate(revision uint64, domains ...string) {
	b.d.SetEvacuations(b.now, &pb.Evacuations{Revision: revision, Domains: domains})
	b.ready()
}

// An operator evacuates a domain. From that moment its workers get nothing, also before
// their agents have heard of it, and jobs go to the others; when it is restored they are
// used again.
func TestEvacuatedDomainGetsNoOrders(t *testing.T) {
	b := newBed(t)
	shed, hall := b.in("shed", "a"), b.in("hall", "b")
	b.evacuate(5, "shed")
	for range 4 {
		b.accepted(tasks(1, 1000, 100*time.Millisecond))
	}
	if len(shed.orders) != 0 || len(hall.orders) != 4 {
		t.Errorf("%d orders in the evacuated domain and %d in the other, want 0 and 4", len(shed.orders), len(hall.orders))
	}
	b.evacuate(4)
	if shed.evacuations.GetRevision() != 5 {
		t.Errorf("told revision %d, want the newest, 5", shed.evacuations.GetRevision())
	}
	b.evacuate(6)
	b.accepted(tasks(1, 1000, 100*time.Millisecond))
	if len(shed.orders) != 1 {
		t.Error("the domain gets nothing after it was restored")
	}
}

// Tasks wait at an agent for room when its domain is evacuated. The agent gives them back,
// and they go to workers elsewhere at once; as a place where the task was refused, the
// worker would be passed over after it is restored.
func TestWorkThatWaitsMovesAtOnce(t *testing.T) {
	b := newBed(t)
	shed := b.in("shed", "a")
	n := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	hall := b.in("hall", "b")
	b.evacuate(5, "shed")
	b.tell(shed.orders[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonHeld, 0)
	if len(hall.orders) != 1 {
		t.Fatal("the task was not placed elsewhere")
	}
	b.tell(hall.orders[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// What runs in the domain goes on to its end, and its caller gets the answer.
func TestRunsInAnEvacuatedDomainEnd(t *testing.T) {
	b := newBed(t)
	shed := b.in("shed", "a")
	n := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	b.tell(shed.orders[0], pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.evacuate(5, "shed")
	if len(shed.stops) != 0 {
		t.Error("a run was stopped")
	}
	b.tell(shed.orders[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// Every domain is evacuated, or the only one with workers. Nothing can be served until an
// operator restores one, so a caller hears so at once, and the log says why.
func TestJobIsRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	b := newBed(t)
	b.in("shed", "a")
	b.in("hall", "b")
	b.evacuate(5, "hall", "shed", "no such domain")
	_, refused := b.submit(tasks(1, 1000, 100*time.Millisecond))
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonEvacuated || refused.RetryAfter < maxRetryAfter {
		t.Errorf("answer %+v, want not run, and to come back later", refused)
	}
}

// An agent asks for a link, and a domain is evacuated before its first frame shows that it
// has taken the answer. The answer held the older list.
func TestAgentLinkedMeanwhileIsToldOfTheEvacuation(t *testing.T) {
	b := newBed(t)
	a := &fakeAgent{name: "a", incarnation: "a-1", capacity: 4000, clean: true, domain: "shed", epoch: 1}
	b.agents["a-1"] = a
	f := b.d.LinkUp(b.now, &pb.AgentGreeting{Agent: "a", Incarnation: "a-1", FailureDomain: "shed", Epoch: 1})
	if f.Hello.Evacuations != nil {
		t.Errorf("answered with %v before any evacuation", f.Hello.Evacuations)
	}
	b.evacuate(5, "shed")
	b.report(a)
	if a.evacuations.GetRevision() != 5 {
		t.Error("the agent was not told")
	}
}

// An entry begins after its predecessor had told an agent of an evacuation, and reads a
// list that holds the domain no more. For this entry nothing has changed; for the agent
// the domain is still evacuated, and its worker idle for ever.
func TestEntryThatMissedAnEvacuationEndsIt(t *testing.T) {
	b := newBed(t)
	shed := b.in("shed", "a")
	b.evacuate(9)
	if shed.evacuations.GetRevision() != 9 {
		t.Error("the agent was not told that its domain isn't evacuated")
	}
}
