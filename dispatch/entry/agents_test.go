package entry_test

import (
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
)

// A switch fails, and an agent behind it becomes unreachable. The entry must back
// off its dials, so that entries don't dial in lockstep. It must eventually remove
// the agent, whose instance may have been replaced under another name, and must
// serve it again if it does come back.
func TestUnreachableAgent(t *testing.T) {
	now := time.Unix(1000, 0)
	e := entry.New(entry.Options{
		Hello:    &pb.EntryHello{Entry: "e", Incarnation: benchHome},
		Started:  now,
		Contract: func(string) *pb.Contract { return nil },
		Random:   func() float64 { return 0.5 },
	})
	hello := &pb.AgentHello{Agent: "a", Incarnation: "1", Slots: 1}
	e.AgentAnnounced(now, hello, false, false)
	dials := 0
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			e.Tick(now)
			for _, d := range e.Ready(now).Dials {
				dials++
				e.LinkDown(now, "a", d.Hello.Epoch, false)
			}
		}
	}
	advance(15 * time.Second)
	// 250 ms doubling to 2 s, for 10 s; at a steady 250 ms it would be 40.
	if dials < 5 || dials > 10 {
		t.Errorf("%d dials in 10 s, want 5 to 10", dials)
	}
	if n := len(e.AgentStatuses()); n != 1 {
		t.Errorf("%d agents listed while the agent may come back, want 1", n)
	}
	advance(11 * time.Minute)
	if n := len(e.AgentStatuses()); n != 0 {
		t.Errorf("%d agents listed, want it removed", n)
	}
	dials = 0
	e.AgentAnnounced(now, hello, false, false)
	if dials += len(e.Ready(now).Dials); dials != 1 {
		t.Errorf("%d dials of the agent that came back, want 1", dials)
	}
}

// A job is cancelled and its answer is dropped, and only then does its task's result
// arrive. If the entry crashed on it, all its jobs would be lost.
func TestResultAfterAnswerWasDropped(t *testing.T) {
	b := newFixture(t, 1, contractOf("desk"))
	b.run = func(string, agent.Run) (time.Duration, *pb.TaskResult) {
		return 3 * time.Minute, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, RunMillis: 180_000}
	}
	id, refused := b.submit("desk", 1, nil)
	b.advance(100 * time.Millisecond)
	if refused != nil || len(b.running["agent-0"]) != 1 {
		t.Fatalf("refused %v, %d tasks run, want one", refused, len(b.running["agent-0"]))
	}
	b.entry.Cancel(b.now, id, "desk")
	b.settle()
	b.advance(entry.DefaultAnswerTTL + time.Second)
	if answer, known := b.entry.Fetch(id, "desk"); !known || answer.GetCode() != string(jobs.CodeNotFound) {
		t.Fatalf("answer %v, known %v, want it dropped while the task has not ended", answer, known)
	}
	b.advance(time.Minute)
	if _, known := b.entry.Fetch(id, "desk"); known {
		t.Error("the job is still known although its last task has ended")
	}
}

// The announcement of an agent's earlier process, which this entry has never seen, arrives
// after the later process has a link. If the entry took it for a restart, it would give up
// the tasks of the live process and ignore that process from then on.
func TestLateAnnouncementOfEndedProcess(t *testing.T) {
	for name, refused := range map[string]bool{"the live process answers at its address": true, "nothing answers at its address": false} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 1, contractOf("desk"))
			b.run = func(string, agent.Run) (time.Duration, *pb.TaskResult) {
				return 5 * time.Second, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, RunMillis: 5000}
			}
			id, _ := b.submit("desk", 1, nil)
			b.advance(100 * time.Millisecond)
			if len(b.running["agent-0"]) != 1 {
				t.Fatal("the task does not run")
			}
			b.entry.AgentAnnounced(b.now, &pb.AgentHello{Agent: "agent-0", Incarnation: "earlier", Slots: 8}, false, false)
			r := b.entry.Ready(b.now)
			if len(r.Answers) > 0 {
				t.Errorf("answered %v, want the job to wait for its task", r.Answers)
			}
			for _, d := range r.Dials {
				if d.Hello.AgentIncarnation != "earlier" {
					t.Fatalf("process %s is dialed, want the announced one to be asked first", d.Hello.AgentIncarnation)
				}
				b.entry.LinkDown(b.now, "agent-0", d.Hello.Epoch, refused)
			}
			b.entry.AgentAnnounced(b.now, &pb.AgentHello{Agent: "agent-0", Incarnation: "0", Slots: 8, MemoryBytes: 32 * gib}, false, false)
			b.advance(6 * time.Second)
			if a := b.answers[id]; a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
				t.Errorf("answer %v, want the result of the live process", a)
			}
			if n := b.entry.Links(); n != 1 {
				t.Errorf("%d links, want one to the live process", n)
			}
		})
	}
}

// An agent is restarted while its entry still has the link to the earlier process. If the
// entry kept that process once the later one has answered, jobs would wait for results that
// never come.
func TestRestartedAgentReplacesEarlierProcess(t *testing.T) {
	b := newFixture(t, 1, contractOf("desk"))
	id, _ := b.submit("desk", 1, nil)
	b.advance(50 * time.Millisecond)
	if len(b.running["agent-0"]) != 1 {
		t.Fatal("the task does not run")
	}
	hello := &pb.AgentHello{Agent: "agent-0", Incarnation: "later", Address: "10.0.0.2:1", Slots: 8, MemoryBytes: 32 * gib}
	b.agents["agent-0"], b.running["agent-0"] = agent.New(agent.Options{Hello: hello}), nil
	b.entry.AgentAnnounced(b.now, hello, false, false)
	b.settle()
	if a := b.answers[id]; a.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("answer %v, want outcome unknown", a)
	}
	next, _ := b.submit("desk", 1, nil)
	b.advance(time.Second)
	if a := b.answers[next]; a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		t.Errorf("answer %v of a job after the restart, want it complete", a)
	}
}
