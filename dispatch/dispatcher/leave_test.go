package dispatcher

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// An entry shuts down and has four seconds for its open jobs. A caller sends it a job of two
// seconds when one is left. Admitted, the job would be cut off with its runs, and the caller
// would have to wait and send it again. It must be refused at once, so that it runs elsewhere.
func TestEntryThatShutsDownRefusesJobsThatOutlastIt(t *testing.T) {
	b := newFixture(t, "a")
	b.d.Drain(b.now, b.now.Add(4*time.Second))
	job := tasks(1, 1000, 2*time.Second)
	job.TimeLimit = 9 * time.Second
	b.mustSubmit(job)
	b.advance(3 * time.Second)
	_, refused := b.submit(job)
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonShuttingDown {
		t.Fatalf("answer %+v, want a refusal because the entry shuts down", refused)
	}
	if refused.RetryAfter != minRetryAfter {
		t.Errorf("retry after %v, though other entries have free capacity", refused.RetryAfter)
	}
	short := tasks(1, 1000, 100*time.Millisecond)
	b.mustSubmit(short)
}

// An entry shuts down while a task hangs at a worker. At the end of its time the caller must
// get an answer, and the run must be stopped: a broken connection tells the caller nothing, and
// the run would go on until the agent notices.
func TestEntryThatShutsDownAnswersBeforeItEnds(t *testing.T) {
	b := newFixture(t, "a")
	job := tasks(1, 1000, 100*time.Millisecond)
	job.TimeLimit = 9 * time.Second
	n := b.mustSubmit(job)
	b.reportOrder(b.orders()[0], pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.Drain(b.now, b.now.Add(4*time.Second))
	b.advance(4*time.Second + 10*time.Millisecond)
	if a, ok := b.answers[n]; !ok || a.Outcome != Unknown || a.Reason != ReasonShuttingDown {
		t.Errorf("answer %+v, %v; want unknown, as the entry shuts down", a, ok)
	}
	if len(b.agents["a-1"].stops) != 1 {
		t.Errorf("stops %v, want one", b.agents["a-1"].stops)
	}
}
