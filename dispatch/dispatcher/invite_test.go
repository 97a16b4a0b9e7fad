package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// setFleet gives the entry so many others that agents link to a subset only.
func (b *fixture) setFleet() {
	var entries []string
	for i := range 3 * subset.Advertised {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:1", i))
	}
	b.d.SetEntries(entries)
	b.ready()
}

// A job needs a label that no worker of this entry has, though others in the fleet have it.
// Refused as fitting no worker, it would never be sent again; it is held until an agent that
// another entry has invited is linked.
func TestJobWaitsForAgentOfAnotherEntry(t *testing.T) {
	b := newFixture(t, "a")
	b.setFleet()
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	n := b.mustSubmit(j)
	if len(b.requests) != 1 || b.requests[0].Label != "b" || b.requests[0].Size.CPUMillis != 1000 {
		t.Fatalf("requested %+v", b.requests)
	}
	b.advance(30 * time.Millisecond)
	b.agents["guest-1"] = &fakeAgent{name: "guest", incarnation: "guest-1", capacity: 4000, clean: true, labels: []string{"b"}}
	b.attach("guest", "guest-1")
	if len(b.agents["guest-1"].orders) != 1 {
		t.Fatal("the invited worker got no order")
	}
	b.reportOrder(b.orders()[0], 3, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// No entry that is asked has such a worker. The caller is told soon that nothing has run, and
// may retry: an entry that sees a subset of the workers can't refuse for good.
func TestJobIsRefusedWithoutInvitedAgents(t *testing.T) {
	b := newFixture(t, "a")
	b.setFleet()
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	n := b.mustSubmit(j)
	b.advance(requestTimeout + 10*time.Millisecond)
	b.wantAnswer(n, NotRun, ReasonNoWorkers)
	if b.answers[n].Permanent {
		t.Error("the answer is permanent")
	}
}

// All of an entry's own workers are full while others are idle, because callers happen to use
// this entry. It asks other entries for agents, and rarely while they have none to offer.
func TestFullEntryRequestsAgents(t *testing.T) {
	b := newFixture(t, "a")
	b.setFleet()
	b.mustSubmit(tasks(4, 1000, 100*time.Millisecond))
	if len(b.requests) > 0 {
		t.Fatalf("requested agents with free capacity of its own: %+v", b.requests)
	}
	for range 40 {
		b.submit(tasks(1, 1000, 100*time.Millisecond))
		b.advance(100 * time.Millisecond)
		b.report(b.agents["a-1"])
	}
	if n := len(b.requests); n < 3 || n > 6 {
		t.Errorf("%d requests in 4 s without free capacity elsewhere, want a few", n)
	}
	before := len(b.requests)
	for range 20 {
		b.d.RecordInvitations(b.requests[0], 2)
		b.submit(tasks(1, 1000, 100*time.Millisecond))
		b.advance(100 * time.Millisecond)
	}
	if n := len(b.requests) - before; n < 4 {
		t.Errorf("%d requests in 2 s with free capacity elsewhere, want several", n)
	}
}

// A site of a few entries is a full mesh, so other entries have no further agents.
func TestEntryOfSmallSiteRequestsNoAgents(t *testing.T) {
	b := newFixture(t, "a")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	if _, refused := b.submit(j); refused == nil || !refused.Permanent || len(b.requests) > 0 {
		t.Errorf("answer %+v, requested %v", refused, b.requests)
	}
}

// A caller sends jobs with ever new labels that no worker has. The recorded requests must stay
// bounded.
func TestRecordedRequestsAreBounded(t *testing.T) {
	b := newFixture(t, "a")
	b.setFleet()
	for i := range 10 * maxRequestKeys {
		j := tasks(1, 1000, 100*time.Millisecond)
		j.Steps[0].Requires = fmt.Sprint("label-", i)
		b.submit(j)
	}
	if n := len(b.d.requests); n > maxRequestKeys {
		t.Errorf("%d requests are recorded, want at most %d", n, maxRequestKeys)
	}
}

// Another entry requests workers. Those that are full or lack the label must not be invited:
// they would only refuse its orders.
func TestOnlyAgentsWithFreeCapacityAreInvited(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	for name, labels := range map[string][]string{"a-1": {"x"}, "b-1": {"x"}, "c-1": nil} {
		b.agents[name].labels = labels
		b.report(b.agents[name])
	}
	b.agents["a-1"].used = 3500
	b.report(b.agents["a-1"])
	if n := b.d.InviteAgents(b.now, "10.0.0.9:1", AgentRequest{Service: "s", Label: "x", Size: size.Size{CPUMillis: 1000}, MaxAgents: 4}); n != 1 {
		t.Errorf("invited %d agents, want 1", n)
	}
	b.ready()
	if got := b.agents["b-1"].invitedBy; len(got) != 1 || got[0] != "10.0.0.9:1" {
		t.Errorf("the agent with free capacity was invited by %v", got)
	}
}

// Entries come and go frequently in a fleet. An agent is notified only of the entries among
// which it chooses, and only when these change.
func TestAgentsAreNotifiedOfRelevantEntries(t *testing.T) {
	b := newFixture(t, "a")
	b.setFleet()
	a := b.agents["a-1"]
	if len(a.entries) != subset.Advertised {
		t.Fatalf("notified of %d entries, want %d", len(a.entries), subset.Advertised)
	}
	first := a.entries
	ranked := subset.Rank("a", b.d.entries)
	a.entries = nil
	b.d.SetEntries(ranked[:len(ranked)-1])
	b.ready()
	if a.entries != nil {
		t.Errorf("notified of %v after the loss of an entry that it would not choose", a.entries)
	}
	b.d.SetEntries(ranked[1:])
	b.ready()
	if len(a.entries) != subset.Advertised || a.entries[0] == first[0] {
		t.Errorf("notified of %v after the loss of its first choice", a.entries)
	}
}
