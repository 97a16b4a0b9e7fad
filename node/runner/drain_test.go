package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	dispatchlink "github.com/papayahoist/papayahoist/dispatch/link"
)

// Guards against an agent that ends, as planned, before its entry, which then runs the task again, has the last result.
func TestAgentIsDrainedOnceItsResultsAreAcknowledged(t *testing.T) {
	e := &fakeEntry{incarnation: "e1", news: make(chan *pb.OrderNews, 10)}
	address, _ := e.serve(t, "127.0.0.2:0")
	w := newFakeWorker()
	r := runAgentWithLinks(t, []string{address}, w, dispatchlink.Options{AckTimeout: time.Minute})
	receive(t, "start", w.started)
	e.unresponsive.Store(true)
	w.finish()
	for receive(t, "end", e.news).State != pb.OrderState_ORDER_STATE_DONE {
	}
	if r.Drained() {
		t.Error("drained before the result was acknowledged")
	}
	e.unresponsive.Store(false)
	r.Drain() // sends a frame
	for end := time.Now().Add(20 * time.Second); !r.Drained(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not drained after the result was acknowledged")
		}
	}
}
