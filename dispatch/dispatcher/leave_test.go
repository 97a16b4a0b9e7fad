package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// An entry is told to stop and has four seconds for what it has in hand. A caller
// sends it a job of two seconds when one is left: the job would be cut off with its
// runs, and the caller would have to wait and send it again. It must be refused at
// once, so that it runs elsewhere.
func TestLeavingEntryRefusesWhatItCannotEnd(t *testing.T) {
	b := newBed(t, "a")
	b.d.Leave(b.now, b.now.Add(4*time.Second))
	job := tasks(1, 1000, 2*time.Second)
	job.TimeLimit = 9 * time.Second
	b.accepted(job)
	b.wait(3 * time.Second)
	_, refused := b.submit(job)
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonLeaving {
		t.Fatalf("answer %+v, want a refusal because the entry leaves", refused)
	}
	if refused.RetryAfter != minRetryAfter {
		t.Errorf("retry after %v; other entries have room at once", refused.RetryAfter)
	}
	short := tasks(1, 1000, 100*time.Millisecond)
	b.accepted(short)
}

// An entry is told to stop while a task hangs at a worker. At the end of its time the
// caller must get an answer, and the run must be stopped: a connection that breaks
// says nothing, and the run would go on until the agent notices.
func TestLeavingEntryAnswersBeforeItsTimeIsUp(t *testing.T) {
	b := newBed(t, "a")
	job := tasks(1, 1000, 100*time.Millisecond)
	job.TimeLimit = 9 * time.Second
	n := b.accepted(job)
	b.tell(b.sent()[0], pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.Leave(b.now, b.now.Add(4*time.Second))
	b.wait(4*time.Second + 10*time.Millisecond)
	if a, ok := b.answers[n]; !ok || a.Outcome != Unknown || a.Reason != ReasonLeaving {
		t.Errorf("answer %+v, %v; want unknown, as the entry leaves", a, ok)
	}
	if len(b.agents["a-1"].stops) != 1 {
		t.Errorf("stops %v, want one", b.agents["a-1"].stops)
	}
}
