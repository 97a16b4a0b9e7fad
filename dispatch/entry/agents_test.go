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
