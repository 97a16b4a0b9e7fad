package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// fleet tells the entry of so many others that agents are linked to some only.
func (b *bed) fleet() {
	var entries []string
	for i := range 3 * subset.Told {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:1", i))
	}
	b.d.SetEntries(entries)
	b.ready()
}

// A job needs workers of a kind of which this entry has none, though the fleet has. Said
// to fit no worker, it would never be sent again; it is held until one of those that
// another entry has invited is linked.
func TestJobWaitsForAWorkerOfAnotherEntry(t *testing.T) {
	b := newBed(t, "a")
	b.fleet()
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	n := b.accepted(j)
	if len(b.wants) != 1 || b.wants[0].Label != "b" || b.wants[0].Size.CPUMillis != 1000 {
		t.Fatalf("asks for %+v", b.wants)
	}
	b.wait(30 * time.Millisecond)
	b.agents["guest-1"] = &fakeAgent{name: "guest", incarnation: "guest-1", capacity: 4000, clean: true, labels: []string{"b"}}
	b.attach("guest", "guest-1")
	if len(b.agents["guest-1"].orders) != 1 {
		t.Fatal("the invited worker got no order")
	}
	b.tell(b.sent()[0], 3, "", 100*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// No entry that is asked has such a worker. The caller hears soon that nothing has run,
// and may try again: an entry that knows a part of the workers can't say "never".
func TestJobIsRefusedWhenNoOtherEntryHelps(t *testing.T) {
	b := newBed(t, "a")
	b.fleet()
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	n := b.accepted(j)
	b.wait(askWithin + 10*time.Millisecond)
	b.wantAnswer(n, NotRun, ReasonNoWorkers)
	if b.answers[n].Permanent {
		t.Error("said to be of no use to try again")
	}
}

// All of an entry's own workers are taken while others are idle: callers happen to have
// been led to one door. It asks others for room, and seldom when they have none.
func TestEntryWithoutRoomAsksOthers(t *testing.T) {
	b := newBed(t, "a")
	b.fleet()
	b.accepted(tasks(4, 1000, 100*time.Millisecond))
	if len(b.wants) > 0 {
		t.Fatalf("asks with room of its own: %+v", b.wants)
	}
	for range 40 {
		b.submit(tasks(1, 1000, 100*time.Millisecond))
		b.wait(100 * time.Millisecond)
		b.report(b.agents["a-1"])
	}
	if n := len(b.wants); n < 3 || n > 6 {
		t.Errorf("asked %d times in 4 s in which nobody had room, want a few", n)
	}
	before := len(b.wants)
	for range 20 {
		b.d.Invited(b.wants[0], 2)
		b.submit(tasks(1, 1000, 100*time.Millisecond))
		b.wait(100 * time.Millisecond)
	}
	if n := len(b.wants) - before; n < 4 {
		t.Errorf("asked %d times in 2 s while others have room, want several", n)
	}
}

// A site of a few entries is a full mesh: what its entries can't do nobody can.
func TestEntryOfASmallSiteAsksNobody(t *testing.T) {
	b := newBed(t, "a")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.Steps[0].Requires = "b"
	if _, refused := b.submit(j); refused == nil || !refused.Permanent || len(b.wants) > 0 {
		t.Errorf("%+v, asked for %v", refused, b.wants)
	}
}

// A caller sends jobs with ever new labels that no worker has. What the entry remembers of
// its questions must not grow with them.
func TestQuestionsAreBounded(t *testing.T) {
	b := newBed(t, "a")
	b.fleet()
	for i := range 10 * maxWants {
		j := tasks(1, 1000, 100*time.Millisecond)
		j.Steps[0].Requires = fmt.Sprint("label-", i)
		b.submit(j)
	}
	if n := len(b.d.wants); n > maxWants {
		t.Errorf("%d questions are remembered, want at most %d", n, maxWants)
	}
}

// Another entry asks for workers. Those that are taken, or lack the label, must not be
// sent to it: it would get orders refused for its trouble.
func TestOnlyAgentsWithRoomAreInvited(t *testing.T) {
	b := newBed(t, "a", "b", "c")
	for name, labels := range map[string][]string{"a-1": {"x"}, "b-1": {"x"}, "c-1": nil} {
		b.agents[name].labels = labels
		b.report(b.agents[name])
	}
	b.agents["a-1"].used = 3500
	b.report(b.agents["a-1"])
	if n := b.d.Invite(b.now, "10.0.0.9:1", Want{Service: "s", Label: "x", Size: size.Size{CPUMillis: 1000}, Agents: 4}); n != 1 {
		t.Errorf("invited %d agents, want 1", n)
	}
	b.ready()
	if got := b.agents["b-1"].invitedBy; len(got) != 1 || got[0] != "10.0.0.9:1" {
		t.Errorf("the agent with room was invited by %v", got)
	}
}

// Entries come and go all day in a fleet. An agent is told when those that it chooses
// among change, and of no more than these.
func TestAgentsAreToldWhatConcernsThem(t *testing.T) {
	b := newBed(t, "a")
	b.fleet()
	a := b.agents["a-1"]
	if len(a.entries) != subset.Told {
		t.Fatalf("told %d entries, want %d", len(a.entries), subset.Told)
	}
	told := a.entries
	ranked := subset.Rank("a", b.d.entries)
	a.entries = nil
	b.d.SetEntries(ranked[:len(ranked)-1])
	b.ready()
	if a.entries != nil {
		t.Errorf("told %v when an entry went that it would not choose", a.entries)
	}
	b.d.SetEntries(ranked[1:])
	b.ready()
	if len(a.entries) != subset.Told || a.entries[0] == told[0] {
		t.Errorf("told %v when the first one went", a.entries)
	}
}
