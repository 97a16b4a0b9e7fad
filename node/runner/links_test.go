package runner

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
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

// fakeEntry orders one task from an agent that takes orders. It keeps one link.
type fakeEntry struct {
	papayahoistv1connect.UnimplementedWorkServiceHandler
	incarnation string
	idle        bool // it orders nothing
	// news, if not nil, receives what the agent says of the order.
	news chan *pb.OrderNews
	// unresponsive: it acknowledges nothing.
	unresponsive atomic.Bool
	// attached counts the links that were opened.
	attached atomic.Int64

	mu       sync.Mutex
	replaced chan struct{} // closed when another link takes the place of the open one
}

// replaceLink ends the open link, if any. It returns a channel that is closed when the new one is
// replaced in turn.
func (e *fakeEntry) replaceLink() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replaced != nil {
		close(e.replaced)
	}
	e.replaced = make(chan struct{})
	return e.replaced
}

func (e *fakeEntry) Attach(_ context.Context, stream *connect.BidiStream[pb.WorkerFrame, pb.OrderFrame]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	e.attached.Add(1)
	hello := &pb.OrderFrame{Hello: &pb.EntryGreeting{Entry: "e", Incarnation: e.incarnation}, SentNs: time.Now().UnixNano()}
	if err := stream.Send(hello); err != nil {
		return err
	}
	seq := uint64(0)
	send := func(f *pb.OrderFrame) error {
		seq++
		f.Seq, f.SentNs = seq, time.Now().UnixNano()
		return stream.Send(f)
	}
	replaced, frames := e.replaceLink(), make(chan *pb.WorkerFrame)
	go func() {
		defer close(frames)
		for f, err := stream.Receive(); err == nil; f, err = stream.Receive() {
			select {
			case frames <- f:
			case <-replaced:
				return
			}
		}
	}()
	for ordered := e.idle; ; {
		var f *pb.WorkerFrame
		select {
		case f = <-frames:
		case <-replaced:
		}
		if f == nil {
			return nil
		}
		if !e.unresponsive.Load() {
			if err := send(&pb.OrderFrame{Ack: f.Seq}); err != nil {
				return err
			}
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

// serve serves the entry at an address. The function that it returns closes its listener and all
// connections, as if its process were killed. An entry that is to be served there again has an address
// from which no connection is made, so that its port isn't taken meanwhile.
func (e *fakeEntry) serve(t *testing.T, at string) (address string, kill func()) {
	l, err := net.Listen("tcp", at)
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
	ended            []runner.End
	started, stopped chan string
}

// finish ends all runs as done.
func (w *fakeWorker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range w.running {
		w.ended = append(w.ended, runner.End{Number: uint64(i + 1), Task: r.Task, Run: r.Run, Ending: runner.EndedDone})
	}
	w.running = nil
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
	case <-time.After(min(l.Wait, 20*time.Millisecond)):
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return runner.PollAnswer{Clock: time.Hour, Running: slices.Clone(w.running), Ended: slices.Clone(w.ended)}, runner.PollAnswered
}

// runAgent runs an agent beside a worker, linked to the entry at the address. The entry timeout is
// minutes.
func runAgent(t *testing.T, address string, w Worker) { runAgentWith(t, []string{address}, w) }

func runAgentWith(t *testing.T, addresses []string, w Worker) {
	runAgentWithLinks(t, addresses, w, dispatchlink.Options{})
}

func runAgentWithLinks(t *testing.T, addresses []string, w Worker, o dispatchlink.Options) *Runner {
	times, err := bounds.Derive(bounds.Params{ResendAfter: 10 * time.Minute, MaxLease: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	r := New(Options{
		Entries: addresses, Worker: w, Logger: slog.New(slog.DiscardHandler),
		Core: runner.Options{Agent: "a", Incarnation: "a1", Timeouts: times, Link: o.WithDefaults(), Token: 1},
	})
	go r.Run()
	t.Cleanup(r.Close)
	r.HandleReport(runner.Worker{Incarnation: runner.Incarnation{ID: "w"}, Service: "s", Capacity: size.Size{CPUMillis: 1000, MemoryMB: 1000}})
	return r
}

// receive returns what comes next on a channel.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: nothing in 20 s", what)
		panic("unreachable")
	}
}

// An entry's process is killed, and another one answers at its address. Nobody waits for the runs of
// the first, so they must not go on until the entry times out: its callers send their jobs elsewhere.
func TestRunsOfAnEndedEntryAreStoppedAtOnce(t *testing.T) {
	address, kill := (&fakeEntry{incarnation: "e1"}).serve(t, "127.0.0.2:0")
	w := newFakeWorker()
	runAgent(t, address, w)
	receive(t, "start", w.started)
	kill()
	(&fakeEntry{incarnation: "e2", idle: true}).serve(t, address)
	receive(t, "stop", w.stopped)
}

// An entry resets its link and refuses connections for a while, and its process lives. Guards against
// an agent that stops the entry's runs, for which callers wait.
func TestRunsOfAnEntryThatRefusesConnectionsGoOn(t *testing.T) {
	e := &fakeEntry{incarnation: "e1", news: make(chan *pb.OrderNews, 10)}
	address, refuse := e.serve(t, "127.0.0.2:0")
	w := newFakeWorker()
	runAgent(t, address, w)
	receive(t, "start", w.started)
	refuse()
	time.Sleep(200 * time.Millisecond) // some attempts are refused
	e.serve(t, address)
	w.finish()
	for {
		if n := receive(t, "end", e.news); n.State == pb.OrderState_ORDER_STATE_DONE {
			break
		}
	}
	if len(w.stopped) > 0 {
		t.Error("the run was stopped")
	}
}

// An agent is told two addresses of one entry, which keeps one link with an agent. Guards against
// links that replace each other for ever, so that orders are lost with them.
func TestEntryWithTwoAddressesKeepsOneLink(t *testing.T) {
	e := &fakeEntry{incarnation: "e1", idle: true}
	first, _ := e.serve(t, "127.0.0.2:0")
	second, _ := e.serve(t, "127.0.0.3:0")
	runAgentWith(t, []string{first, second}, newFakeWorker())
	settled := int64(0)
	for quiet := 0; quiet < 5; time.Sleep(100 * time.Millisecond) {
		n := e.attached.Load()
		if quiet++; n != settled || n == 0 {
			quiet, settled = 0, n
		}
		if n > 20 {
			t.Fatalf("%d links opened so far", n)
		}
	}
}
