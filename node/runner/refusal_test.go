package runner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// refusingServer serves a handler at an address that can refuse connections for a while.
type refusingServer struct {
	t       *testing.T
	handler http.Handler
	address string
	server  *http.Server
}

func (s *refusingServer) listen() {
	s.t.Helper()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.address, s.server = l.Addr().String(), &http.Server{Handler: s.handler}
	go func() { _ = s.server.Serve(l) }()
	s.t.Cleanup(func() { _ = s.server.Close() })
}

// refuse closes the listener and all connections.
func (s *refusingServer) refuse() { _ = s.server.Close() }

// A worker's port has no listener for a while, its connections are closed, and its runs go on.
// Guards against an agent that reports them as lost while the worker runs them.
func TestRunsOfAWorkerThatRefusesConnectionsAreKept(t *testing.T) {
	ended := make(chan string, 1)
	worker := standin.NewWorker(standin.WorkerOptions{
		ID: "w", Service: "s", CPU: 1000, Memory: 1000, ClockRate: 1, MaxLease: time.Minute,
		RunTime: func(string) time.Duration { return 600 * time.Millisecond },
		OnStart: func(string, uint32, string) {}, OnEnd: func(_ string, _ uint32, how string) { ended <- how },
	})
	t.Cleanup(func() { worker.Close(func() {}) })
	server := &refusingServer{t: t, handler: worker}
	server.address = "127.0.0.2:0"
	server.listen()
	e := &fakeEntry{incarnation: "e1", news: make(chan *pb.OrderNews, 10)}
	address, _ := e.serve(t, "127.0.0.2:0")
	runAgent(t, address, adapter.NewWorker(server.address, 4))
	next := func() *pb.OrderNews {
		t.Helper()
		return receive(t, "news", e.news)
	}
	if n := next(); n.State != pb.OrderState_ORDER_STATE_STARTED {
		t.Fatalf("the agent reports %v, want a start", n)
	}
	server.refuse()
	if how := <-ended; how != "done" {
		t.Fatalf("the run has ended as %s", how)
	}
	server.listen()
	if n := next(); n.State != pb.OrderState_ORDER_STATE_DONE {
		t.Errorf("the agent reports %v, want the end as done", n)
	}
}

// incompleteWorker answers each poll at once and incompletely.
type incompleteWorker struct {
	*fakeWorker
	polls atomic.Int64
}

func (w *incompleteWorker) Poll(context.Context, runner.Poll) (runner.PollAnswer, runner.PollVerdict) {
	w.polls.Add(1)
	return runner.PollAnswer{Missing: "no clock"}, runner.PollAnswered
}

// A worker answers incompletely for a while. Guards against polls without a pause, each with a line in
// the log.
func TestIncompleteAnswersArePaced(t *testing.T) {
	address, _ := (&fakeEntry{incarnation: "e1", idle: true}).serve(t, "127.0.0.2:0")
	w := &incompleteWorker{fakeWorker: newFakeWorker()}
	runAgent(t, address, w)
	time.Sleep(500 * time.Millisecond)
	if n := w.polls.Load(); n > 60 {
		t.Errorf("%d polls in 500 ms", n)
	}
}
