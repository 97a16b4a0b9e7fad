package entry_test

import (
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
)

func refuseStart() (time.Duration, *pb.TaskResult) {
	return 0, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Error: "endpoint: connection refused"}
}

// Every endpoint refuses to begin a task, because of its payload. The caller must be
// answered promptly, and the task must not be sent around between entry and agents
// until its deadline.
func TestTaskRefusedByEveryEndpoint(t *testing.T) {
	b := newFixture(t, 4, contractOf("desk"))
	attempts := 0
	b.run = func(string, agent.Run) (time.Duration, *pb.TaskResult) {
		attempts++
		return refuseStart()
	}
	id, refused := b.submit("desk", 1, nil)
	if refused != nil {
		t.Fatal(refused)
	}
	b.advance(time.Second)
	answer := b.answers[id]
	if answer.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN || answer.GetCode() != string(jobs.CodeUnavailable) {
		t.Errorf("answer %v, want not run, unavailable", answer)
	}
	if attempts > 16 {
		t.Errorf("%d attempts at one task, want at most 16", attempts)
	}
}

// The service of one endpoint is down while its agent is alive, so its slots are
// always free. The jobs must still be served by the other endpoints.
func TestEndpointDown(t *testing.T) {
	b := newFixture(t, 4, contractOf("desk"))
	attempts := 0
	defaultRun := b.run
	b.run = func(name string, r agent.Run) (time.Duration, *pb.TaskResult) {
		if name != "agent-0" {
			return defaultRun(name, r)
		}
		attempts++
		return refuseStart()
	}
	const submitted = 60
	ids := make([]string, 0, submitted)
	for range submitted {
		id, refused := b.submit("desk", 4, nil)
		if refused != nil {
			t.Fatal(refused)
		}
		ids = append(ids, id)
		b.advance(50 * time.Millisecond)
	}
	b.advance(2 * time.Second)
	for _, id := range ids {
		if answer := b.answers[id]; answer.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
			t.Errorf("job %s: %v", id, answer)
		}
	}
	if attempts > submitted {
		t.Errorf("%d attempts at the endpoint that is down, for %d jobs", attempts, submitted)
	}
}

// A task runs past its job's deadline and past the time for which the answer is
// kept, and only then does its result arrive. The entry has dropped the job's
// payloads by then and must not crash on the result, which would lose all its jobs.
func TestResultAfterItsJobWasDropped(t *testing.T) {
	b := newFixture(t, 1, contractOf("desk"))
	b.run = func(string, agent.Run) (time.Duration, *pb.TaskResult) {
		return entry.DefaultAnswerTTL + 30*time.Second, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, RunMillis: 1}
	}
	id, refused := b.submit("desk", 1, func(j *pb.Job) { j.TimeoutMs = 1000 })
	if refused != nil {
		t.Fatal(refused)
	}
	b.advance(entry.DefaultAnswerTTL + time.Minute)
	if answer := b.answers[id]; answer.GetOutcome() != pb.Outcome_OUTCOME_FAILED {
		t.Errorf("answer %v, want failed", answer)
	}
	if len(b.running["agent-0"]) != 0 {
		t.Error("the task has not ended")
	}
}
