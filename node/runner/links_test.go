package runner

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	dispatchlink "github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// fakeEntry orders one task from an agent that takes orders.
type fakeEntry struct {
	papayahoistv1connect.UnimplementedWorkServiceHandler
	// news, if not nil, receives what the agent says of the order.
	news chan *pb.OrderNews
}

func (e *fakeEntry) Attach(_ context.Context, stream *connect.BidiStream[pb.WorkerFrame, pb.OrderFrame]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	hello := &pb.OrderFrame{Hello: &pb.EntryGreeting{Entry: "e", Incarnation: "e1"}, SentNs: time.Now().UnixNano()}
	if err := stream.Send(hello); err != nil {
		return err
	}
	seq := uint64(0)
	send := func(f *pb.OrderFrame) error {
		seq++
		f.Seq, f.SentNs = seq, time.Now().UnixNano()
		return stream.Send(f)
	}
	for ordered := false; ; {
		f, err := stream.Receive()
		if err != nil {
			return err
		}
		if err := send(&pb.OrderFrame{Ack: f.Seq}); err != nil {
			return err
		}
		for _, n := range f.News {
			if e.news != nil {
				e.news <- n
			}
		}
		if ordered || !f.State.GetAccepting() {
			continue
		}
		ordered = true
		order := &pb.Order{Number: 1, Task: "t", Run: 1, Size: &pb.Size{CpuMillis: 100}, ExpectedMs: 1000}
		if err := send(&pb.OrderFrame{Orders: []*pb.Order{order}, Ack: f.Seq}); err != nil {
			return err
		}
	}
}

// serve serves the entry on a free port. The function that it returns ends it, as if its process
// were killed.
func (e *fakeEntry) serve(t *testing.T) (address string, kill func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(papayahoistv1connect.NewWorkServiceHandler(e))
	s := rpc.NewServer(mux, nil)
	go func() { _ = s.Serve(l) }()
	kill = func() { _ = s.Close() }
	t.Cleanup(kill)
	return l.Addr().String(), kill
}

// fakeWorker starts what it is told to, and runs it until it is stopped.
type fakeWorker struct {
	mu               sync.Mutex
	running          []runner.ListedRun
	started, stopped chan string
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{started: make(chan string, 1), stopped: make(chan string, 1)}
}

func (w *fakeWorker) Start(_ context.Context, s runner.Start) (runner.StartVerdict, time.Duration, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = append(w.running, runner.ListedRun{Task: s.Task, Run: s.Run})
	w.started <- s.Task
	return runner.Started, time.Hour, ""
}

func (w *fakeWorker) Stop(_ context.Context, s runner.Stop) (bool, time.Duration) {
	select {
	case w.stopped <- s.Task:
	default: // sent again
	}
	return true, time.Hour
}

func (w *fakeWorker) Poll(ctx context.Context, l runner.Poll) (runner.PollAnswer, runner.PollVerdict) {
	select {
	case <-time.After(l.Wait):
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return runner.PollAnswer{Clock: time.Hour, Running: append([]runner.ListedRun(nil), w.running...)}, runner.PollAnswered
}

// An entry's process is killed. Nothing listens at its address any more, so nobody waits for its
// runs, and they must not go on until the entry times out: its callers send their jobs elsewhere.
func TestRunsOfAnEndedEntryAreStoppedAtOnce(t *testing.T) {
	// The entry timeout is minutes.
	times, err := bounds.Derive(bounds.Params{ResendAfter: 10 * time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	address, kill := (&fakeEntry{}).serve(t)
	w := newFakeWorker()
	r := New(Options{
		Entries: []string{address}, Worker: w, Logger: slog.New(slog.DiscardHandler),
		Core: runner.Options{Agent: "a", Incarnation: "a1", Timeouts: times, Link: dispatchlink.Options{}.WithDefaults(), Token: 1},
	})
	go r.Run()
	t.Cleanup(r.Close)
	r.HandleReport(runner.Worker{Incarnation: runner.Incarnation{ID: "w"}, Service: "s", Capacity: size.Size{CPUMillis: 1000, MemoryMB: 1000}})
	wait := func(what string, from <-chan string) {
		t.Helper()
		select {
		case <-from:
		case <-time.After(20 * time.Second):
			t.Fatalf("the run is not %s", what)
		}
	}
	wait("started", w.started)
	kill()
	wait("stopped", w.stopped)
}
