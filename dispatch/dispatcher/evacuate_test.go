package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// attachIn links an agent in a failure domain.
func (b *fixture) attachIn(domain, name string) *fakeAgent {
	a := &fakeAgent{name: name, incarnation: name + "-1", capacity: 4000, clean: true, domain: domain}
	b.agents[a.incarnation] = a
	return b.attach(name, a.incarnation)
}

func (b *fixture) evacuate(revision uint64, domains ...string) {
	b.d.SetEvacuations(b.now, &pb.Evacuations{Revision: revision, Domains: domains})
	b.ready()
}

// An operator evacuates a domain. From then on its workers get no orders, even before their
// agents are notified, and jobs go to the others. Restored, they are used again.
func TestEvacuatedDomainGetsNoOrders(t *testing.T) {
	b := newFixture(t)
	shed, hall := b.attachIn("shed", "a"), b.attachIn("hall", "b")
	b.evacuate(5, "shed")
	for range 4 {
		b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	}
	if len(shed.orders) != 0 || len(hall.orders) != 4 {
		t.Errorf("%d orders in the evacuated domain and %d in the other, want 0 and 4", len(shed.orders), len(hall.orders))
	}
	b.evacuate(4)
	if shed.evacuations.GetRevision() != 5 {
		t.Errorf("notified of revision %d, want the newest, 5", shed.evacuations.GetRevision())
	}
	b.evacuate(6)
	b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	if len(shed.orders) != 1 {
		t.Error("the domain gets no orders after it was restored")
	}
}

// Tasks wait at an agent for free capacity when its domain is evacuated. The agent refuses
// them, and they go to workers elsewhere at once. That refusal must not exclude the worker
// after its domain is restored.
func TestWaitingWorkLeavesEvacuatedDomain(t *testing.T) {
	b := newFixture(t)
	shed := b.attachIn("shed", "a")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	hall := b.attachIn("hall", "b")
	b.evacuate(5, "shed")
	b.reportOrder(shed.orders[0], pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonNotAccepting, 0)
	if len(hall.orders) != 1 {
		t.Fatal("the task was not placed elsewhere")
	}
	b.reportOrder(hall.orders[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// Runs in the domain continue to their end, and their callers get the answer.
func TestRunsInEvacuatedDomainContinue(t *testing.T) {
	b := newFixture(t)
	shed := b.attachIn("shed", "a")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	b.reportOrder(shed.orders[0], pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.evacuate(5, "shed")
	if len(shed.stops) != 0 {
		t.Error("a run was stopped")
	}
	b.reportOrder(shed.orders[0], pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// All domains with workers are evacuated. Nothing can be served until an operator restores
// one, so a caller is refused at once, and the reason says why.
func TestJobIsRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	b := newFixture(t)
	b.attachIn("shed", "a")
	b.attachIn("hall", "b")
	b.evacuate(5, "hall", "shed", "no such domain")
	_, refused := b.submit(tasks(1, 1000, 100*time.Millisecond))
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonEvacuated || refused.RetryAfter < maxRetryAfter {
		t.Errorf("answer %+v, want not run with a long RetryAfter", refused)
	}
}

// An agent requests a link, and a domain is evacuated before its first frame confirms the
// reply, which held the older list.
func TestAgentLinkedDuringEvacuationIsNotified(t *testing.T) {
	b := newFixture(t)
	a := &fakeAgent{name: "a", incarnation: "a-1", capacity: 4000, clean: true, domain: "shed", epoch: 1}
	b.agents["a-1"] = a
	f := b.d.LinkUp(b.now, &pb.AgentGreeting{Agent: "a", Incarnation: "a-1", FailureDomain: "shed", Epoch: 1})
	if f.Hello.Evacuations != nil {
		t.Errorf("answered with %v before any evacuation", f.Hello.Evacuations)
	}
	b.evacuate(5, "shed")
	b.report(a)
	if a.evacuations.GetRevision() != 5 {
		t.Error("the agent was not notified")
	}
}

// An agent learned of an evacuation from an entry that has ended. The next entry reads a list
// without the domain, so its own view doesn't change. Unless it notifies the agent anyway, the
// worker stays idle for ever.
func TestEntryThatMissedEvacuationNotifiesAgents(t *testing.T) {
	b := newFixture(t)
	shed := b.attachIn("shed", "a")
	b.evacuate(9)
	if shed.evacuations.GetRevision() != 9 {
		t.Error("the agent was not notified that its domain isn't evacuated")
	}
}
