package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// harness is a runner with entries and one worker of four cores, on virtual time.
type harness struct {
	t         *testing.T
	r         *Runner
	now       time.Time
	times     bounds.Timeouts
	seq       map[string]uint64
	orders    map[string]uint64
	last      Ready
	updates   map[string][]*pb.OrderNews
	crashes   map[string][]*pb.TaskCrash
	states    map[string]*pb.WorkerState
	ends      map[string][]*pb.RunEnd // received no later than the first clean state
	acks      map[string]uint64
	endNumber uint64
	running   map[string]uint32
	startMs   int64
}

func newHarness(t *testing.T, entries ...string) *harness {
	times, err := bounds.Derive(bounds.Params{})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		t: t, now: time.Unix(1000, 0), times: times, seq: map[string]uint64{}, orders: map[string]uint64{},
		updates: map[string][]*pb.OrderNews{}, crashes: map[string][]*pb.TaskCrash{}, states: map[string]*pb.WorkerState{}, ends: map[string][]*pb.RunEnd{}, acks: map[string]uint64{}, running: map[string]uint32{},
	}
	h.r = New(Options{
		Agent: "agent-1", Incarnation: "a1", Timeouts: times, Token: 1,
		Link: link.Options{AckDelay: 50 * time.Millisecond, AckTimeout: time.Minute, Heartbeat: time.Minute, HeartbeatTimeout: time.Hour},
	})
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	h.poll()
	for _, e := range entries {
		h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: e, Incarnation: e}, 1, h.now.UnixNano())
	}
	h.ready()
	return h
}

func (h *harness) ready() Ready {
	h.last = h.r.Ready(h.now)
	for _, f := range h.last.Frames {
		h.updates[f.Entry] = append(h.updates[f.Entry], f.Frame.News...)
		h.crashes[f.Entry] = append(h.crashes[f.Entry], f.Frame.Crashes...)
		if !h.states[f.Entry].GetClean() {
			h.ends[f.Entry] = append(h.ends[f.Entry], f.Frame.Ends...)
		}
		h.acks[f.Entry] = f.Frame.Seq
		if f.Frame.State != nil {
			h.states[f.Entry] = f.Frame.State
		}
	}
	return h.last
}

// wait lets time pass in steps, so that no timer is skipped.
func (h *harness) wait(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(10*time.Millisecond, end.Sub(h.now)))
		h.r.Tick(h.now)
		h.ready()
	}
}

func (h *harness) frame(entry string, f *pb.OrderFrame) Ready {
	h.seq[entry]++
	f.Seq, f.Ack, f.SentNs = h.seq[entry], h.acks[entry], h.now.UnixNano()
	h.r.Step(h.now, entry, 1, f)
	return h.ready()
}

type orderOption func(*pb.Order)

func waits(ms uint32) orderOption          { return func(o *pb.Order) { o.WaitMs = ms } }
func priority(p uint32) orderOption        { return func(o *pb.Order) { o.Priority = p } }
func expected(ms uint32) orderOption       { return func(o *pb.Order) { o.ExpectedMs = ms } }
func (h *harness) started() (out []string) { return names(h.last.Starts) }

func names(starts []Start) (out []string) {
	for _, s := range starts {
		out = append(out, fmt.Sprintf("%s/%d", s.Task, s.Run))
	}
	return out
}

func (h *harness) order(entry, task string, cpu uint32, options ...orderOption) Ready {
	h.orders[entry]++
	o := &pb.Order{Number: h.orders[entry], Task: task, Run: 1, Size: &pb.Size{CpuMillis: cpu, MemoryMb: 1}, ExpectedMs: 100, LimitMs: 10_000}
	for _, f := range options {
		f(o)
	}
	return h.frame(entry, &pb.OrderFrame{Orders: []*pb.Order{o}})
}

// begin orders a task and has the worker start it.
func (h *harness) begin(entry, task string, cpu uint32, options ...orderOption) Start {
	h.t.Helper()
	r := h.order(entry, task, cpu, options...)
	if len(r.Starts) != 1 {
		h.t.Fatalf("%s: %d starts, want 1", task, len(r.Starts))
	}
	h.accept(r.Starts[0])
	return r.Starts[0]
}

func (h *harness) accept(s Start) {
	h.running[s.Task] = s.Run
	h.r.StartAnswered(h.now, s, Started, h.clock(), "")
	h.ready()
}

func (h *harness) clock() time.Duration { return h.now.Sub(time.Unix(0, 0)) }

// poll has the worker answer a poll at once.
func (h *harness) poll(ends ...End) {
	l, ok := h.r.NextPoll(h.now, false)
	if !ok {
		h.t.Fatal("no worker is known")
	}
	h.answer(l, ends...)
}

func (h *harness) answer(l Poll, ends ...End) {
	s := PollAnswer{StartUnixMs: h.startMs, Clock: h.clock(), Ended: ends}
	for _, e := range ends {
		delete(h.running, e.Task)
	}
	for task, run := range h.running {
		s.Running = append(s.Running, ListedRun{Task: task, Run: run, Percent: 50})
	}
	h.r.PollAnswered(h.now, l, s)
	h.ready()
}

func (h *harness) end(task string, how Ending) {
	h.endNumber++
	h.poll(End{Number: h.endNumber, Task: task, Run: h.running[task], Ending: how})
}

func (h *harness) wantNews(entry string, number uint64, want pb.OrderState, reason string) {
	h.t.Helper()
	for _, n := range h.updates[entry] {
		if n.Number == number && n.State == want && (reason == "" || n.Reason == reason) {
			return
		}
	}
	h.t.Errorf("%s got no %v (%q) for order %d; updates: %v", entry, want, reason, number, h.updates[entry])
}

func (h *harness) wantNoNews(entry string, number uint64, states ...pb.OrderState) {
	h.t.Helper()
	for _, n := range h.updates[entry] {
		for _, s := range states {
			if n.Number == number && n.State == s {
				h.t.Errorf("%s got %v for order %d", entry, s, number)
			}
		}
	}
}

func TestOrderRunsToItsEnd(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.wait(30 * time.Millisecond)
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STARTED, "")
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	if !h.r.Drained() {
		t.Error("the run is still counted")
	}
}

// A worker starts any run that it is told to start, whether it fits or not, and everything on
// it slows down beyond its capacity. So the agent must count all runs, including those that are
// stopping.
func TestCapacityIsTakenUntilTheEndIsListed(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	h.begin("e1", "t1", 2500)
	h.order("e2", "t2", 2000)
	h.wantNews("e2", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	if len(h.last.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(h.last.Stops))
	}
	h.r.StopAnswered(h.now, h.last.Stops[0], h.clock())
	h.order("e2", "t3", 2000)
	h.wantNews("e2", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.end("t1", EndedStopped)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STOPPED, "")
	h.begin("e2", "t4", 2000)
}

// Two orders wait, and the wait of the first ends at the moment at which its removal lets the
// second start. The second must not also be refused as having waited too long: it would run
// here and elsewhere.
func TestOrderStartedByAnothersEndIsNotRefused(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 3000)
	h.order("e1", "large", 3500, waits(100))
	h.order("e1", "small", 1000, waits(100))
	h.wait(100 * time.Millisecond)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaitTimeout)
	h.wantNoNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED)
}

// A start is not answered. The worker may have started the run and its answer been lost, so a
// second run elsewhere would be a duplicate.
func TestLostAnswerOfStartIsResolvedByPoll(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.order("e1", "t1", 1000).Starts[0]
	h.running["t1"] = 1
	if !h.unanswered(s).Poll {
		t.Fatal("no poll was requested")
	}
	h.poll()
	h.wait(2 * maxNotifyDelay)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STARTED, "")
}

// A start is not answered and was not carried out. It may still be carried out seconds later,
// so it is refused to its entry only after the worker has answered a stop of that run.
func TestUnansweredStartIsFencedBeforeItIsRefused(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.order("e1", "t1", 1000).Starts[0]
	h.unanswered(s)
	h.poll()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	if len(h.last.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(h.last.Stops))
	}
	h.poll()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	h.r.StopAnswered(h.now, stopOf(s), h.clock())
	h.now = h.now.Add(h.times.StopTime - time.Millisecond)
	h.poll()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	h.now = h.now.Add(time.Millisecond)
	h.poll()
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonUnanswered)
}

// unanswered leaves a start without an answer, as often as it is sent.
func (h *harness) unanswered(s Start) Ready {
	h.t.Helper()
	for n := 1; ; n++ {
		h.r.StartAnswered(h.now, s, Unanswered, 0, "")
		r := h.ready()
		if len(r.Starts) == 0 {
			if n != maxSends {
				h.t.Errorf("the start was sent %d times, want %d", n, maxSends)
			}
			return r
		}
	}
}

// A start is lost on its way to the worker. It is sent again there, and the task begins a
// moment later.
func TestUnansweredStartIsResent(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.order("e1", "t1", 1000).Starts[0]
	h.r.StartAnswered(h.now, s, Unanswered, 0, "")
	again := h.ready().Starts
	if len(again) != 1 || again[0].Task != s.Task || again[0].Run != s.Run {
		t.Fatalf("starts %v, want the same run", again)
	}
	h.accept(again[0])
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	if h.r.freeCapacity() != h.r.worker.Capacity {
		t.Errorf("free capacity %v after the end", h.r.freeCapacity())
	}
}

// The answer to a start is late, so the start is sent twice. The worker answers the second call
// that it knows the run: the run must not be considered never begun.
func TestResentStartIsNotTakenForRefused(t *testing.T) {
	for name, v := range map[string]StartVerdict{"old": OldRun, "refused": Refused, "nothing listens": Unsent} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			s := h.order("e1", "t1", 1000).Starts[0]
			h.wait(startResendAfter)
			if len(h.last.Starts) != 1 {
				t.Fatal("the start was not sent again")
			}
			h.r.StartAnswered(h.now, s, v, h.clock(), "")
			if !h.ready().Poll {
				t.Error("no poll was requested")
			}
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
			h.running["t1"] = 1
			h.end("t1", EndedDone)
			h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
		})
	}
}

// A start that is no longer wanted, or no longer permitted, is fenced and not sent again.
func TestUnansweredStartIsNotResent(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"stopped":         func(h *harness) { h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}}) },
		"draining":        func(h *harness) { h.r.HandleReport(h.now, worker(0, func(w *Worker) { w.Draining = true })) },
		"entry timed out": func(h *harness) { h.now = h.now.Add(h.times.EntryTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			s := h.order("e1", "t1", 1000).Starts[0]
			change(h)
			h.r.StartAnswered(h.now, s, Unanswered, 0, "")
			if got := h.ready().Starts; len(got) > 0 {
				t.Errorf("sent again: %v", got)
			}
		})
	}
}

// One poll is lost, of a worker that answers the others. The worker's orders must not be
// refused because of that.
func TestOneLostPollKeepsWorkerResponsive(t *testing.T) {
	h := newHarness(t, "e1")
	lost, _ := h.r.NextPoll(h.now, true)
	h.now = h.now.Add(100 * time.Millisecond)
	h.r.PollFailed(h.now, lost, false)
	if !h.ready().Poll {
		t.Error("no immediate poll follows")
	}
	h.begin("e1", "t1", 1000)
	older, _ := h.r.NextPoll(h.now, true)
	h.now = h.now.Add(time.Millisecond)
	h.poll()
	h.r.PollFailed(h.now, older, false)
	h.begin("e1", "t2", 1000)
	h.poll()
	h.failPolls()
	h.order("e1", "t3", 1000)
	h.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
}

// failPolls has polls fail until the worker is considered unresponsive.
func (h *harness) failPolls() {
	for range maxFailedPolls {
		l, _ := h.r.NextPoll(h.now, false)
		h.r.PollFailed(h.now, l, false)
	}
	h.ready()
}

// stopOf returns the stop that belongs to a start.
func stopOf(s Start) Stop { return Stop{Worker: s.Worker, Task: s.Task, Run: s.Run} }

// A stop is lost on its way. Without another one the run would go on until its end although its
// caller has left.
func TestUnansweredStopIsRepeated(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	stops := 0
	for range 20 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.r.Tick(h.now)
		stops += len(h.ready().Stops)
	}
	if stops == 0 {
		t.Error("the stop was not repeated")
	}
}

// An entry is partitioned or frozen. Its callers send their jobs again to another entry, which
// starts the tasks anew; the runs of the first entry must have ended by then.
func TestRunsOfUnresponsiveEntryAreStopped(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	h.begin("e1", "t1", 1000)
	h.begin("e2", "t2", 1000)
	stopped := map[string]time.Duration{}
	began := h.now
	for range 100 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.r.Tick(h.now)
		for _, s := range h.ready().Stops {
			if stopped[s.Task] == 0 {
				stopped[s.Task] = h.now.Sub(began)
			}
		}
		if h.now.Sub(began)%(100*time.Millisecond) == 0 {
			h.frame("e2", &pb.OrderFrame{})
		}
	}
	if at := stopped["t1"]; at == 0 || at > h.times.EntryTimeout+10*time.Millisecond {
		t.Errorf("the unresponsive entry's run was stopped after %v, want %v", at, h.times.EntryTimeout)
	}
	if at := stopped["t2"]; at != 0 {
		t.Errorf("the run of the responsive entry was stopped after %v", at)
	}
}

// A network cut delays a frame by seconds and delivers it when it heals. The entry has
// abandoned its order, and the caller's next attempt may be running elsewhere.
func TestStaleOrderIsRefused(t *testing.T) {
	h := newHarness(t, "e1")
	h.frame("e1", &pb.OrderFrame{})
	sent := h.now
	h.now = h.now.Add(h.times.MaxOrderDelay + time.Millisecond)
	h.seq["e1"]++
	h.r.Step(h.now, "e1", 1, &pb.OrderFrame{
		Seq: h.seq["e1"], SentNs: sent.UnixNano(),
		Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	h.ready()
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonStaleOrder)
}

// An agent is restarted while its worker runs tasks of the previous process. Their sizes are
// unknown, so anything started beside them could overload the worker.
func TestNothingStartsBesideOrphanedRuns(t *testing.T) {
	h := newHarness(t)
	h.running["old"] = 3
	h.poll()
	if len(h.last.Stops) != 1 || h.last.Stops[0].Task != "old" {
		t.Fatalf("stops: %v, want one of the old run", h.last.Stops)
	}
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, h.now.UnixNano())
	h.ready()
	if s := h.states["e1"]; s.Accepting || s.Clean {
		t.Errorf("accepting %v and clean %v beside a run of an earlier process", s.Accepting, s.Clean)
	}
	h.order("e1", "t1", 100)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.end("old", EndedStopped)
	h.wait(time.Second)
	if s := h.states["e1"]; !s.Accepting || !s.Clean {
		t.Errorf("accepting %v and clean %v after the end of the old run", s.Accepting, s.Clean)
	}
}

// The answers of two polls overtake each other. The older one lists a run whose end the newer
// one has reported. If it were taken for an orphaned run, the worker would accept no more
// orders.
func TestAnswerOfOlderPollRevivesNothing(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	older, _ := h.r.NextPoll(h.now, false)
	h.end("t1", EndedDone)
	h.running["t1"] = 1
	h.answer(older)
	delete(h.running, "t1")
	h.order("e1", "t2", 100)
	h.wantNoNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED)
}

// A worker becomes unresponsive. Its lease ends its runs, at the latest when it has lapsed on
// the worker's own, slow clock; only then may the tasks run elsewhere.
func TestRunsOnUnresponsiveWorkerAreLostWhenLeaseLapses(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.failPolls()
	began := h.now
	for !h.r.Drained() && h.now.Sub(began) < 5*time.Second {
		if h.now.Sub(began)%(100*time.Millisecond) == 0 {
			h.frame("e1", &pb.OrderFrame{})
		}
		h.now = h.now.Add(10 * time.Millisecond)
		h.r.NextPoll(h.now, true) // polls go on
		h.r.Tick(h.now)
		h.ready()
	}
	if took := h.now.Sub(began); took < bounds.LeaseExpiry(h.times.Lease) || took > time.Second+h.times.Lease {
		t.Errorf("lost after %v; the lease lapses after %v", took, bounds.LeaseExpiry(h.times.Lease))
	}
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "")
	h.order("e1", "t2", 100)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
}

// A worker announces that it will leave. An order that arrives after that would be aborted with
// it.
func TestDrainingWorkerAcceptsNoOrders(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 3500)
	h.order("e1", "waits", 3500, waits(500))
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Draining: true, Sequence: 9})
	h.ready()
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.order("e1", "t2", 100)
	h.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	if !h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Sequence: 10, Draining: true}) {
		t.Error("a later report was not accepted")
	}
	if h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Sequence: 8}) {
		t.Error("an overtaken report was accepted")
	}
}

// A report is delayed by a network cut and arrives after its sender has crashed and a new
// incarnation of the worker answers at the same address.
func TestReportOfEndedIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, "e1")
	if h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w0"}, Service: "s", Sequence: 70}) {
		t.Error("the report was accepted")
	}
	if w, _ := h.r.Worker(); w.ID != "w1" {
		t.Errorf("worker %s, want w1", w.ID)
	}
}

// The load is above the capacity, and orders of certificate stamps are queued at each worker. A
// gauge check that was refused because of them would be late, although it has priority.
func TestHigherPriorityOrderOvertakesQueued(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 3000, expected(50))
	for i := range 4 {
		h.order("e1", fmt.Sprint("stamp", i), 2000, priority(1), waits(100))
	}
	h.order("e1", "gauge", 2000, priority(0), waits(100))
	h.wait(20 * time.Millisecond)
	h.endNumber++
	h.poll(End{Number: h.endNumber, Task: "t0", Run: 1, Ending: EndedDone})
	if got := h.started(); len(got) == 0 || got[0] != "gauge/1" {
		t.Errorf("started %v, want the gauge check first", got)
	}
}

// Two jobs of a queue wait. The later one has the shorter task and so may start later. Ordered
// by their callers' deadlines, it would run first and make the other one late.
func TestOrderThatMustStartSoonerHasPriority(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 4000, expected(50))
	startBy := func(ms int32) orderOption { return func(o *pb.Order) { o.StartByMs = ms } }
	limit := func(ms uint32) orderOption { return func(o *pb.Order) { o.LimitMs = ms } }
	h.order("e1", "later", 4000, waits(500), startBy(90), limit(1000))
	h.order("e1", "sooner", 4000, waits(500), startBy(60), limit(9000))
	h.wait(10 * time.Millisecond)
	h.endNumber++
	h.poll(End{Number: h.endNumber, Task: "t0", Run: 1, Ending: EndedDone})
	if got := h.started(); len(got) != 1 || got[0] != "sooner/1" {
		t.Errorf("started %v, want the one that must start sooner", got)
	}
}

// A task stands still on a sick worker. Its progress must show this after one poll, long before
// its deadline.
func TestStalledRunIsReported(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	for range 4 {
		h.wait(20 * time.Millisecond)
		l, _ := h.r.NextPoll(h.now, false)
		h.r.PollAnswered(h.now, l, PollAnswer{Clock: h.clock(), Running: []ListedRun{{Task: "t1", Run: 1, Percent: 0}}})
		h.ready()
	}
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STALLED, "")
}

// A link is lost with the update of a run's end in flight. Unless it is sent again, the entry
// waits for the run until its job's deadline.
func TestUpdatesOfLostLinkAreSentAgain(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.end("t1", EndedDone)
	h.updates["e1"] = nil
	h.r.LinkDown(h.now, "e1", 1)
	h.wait(50 * time.Millisecond)
	// The greeting must list the entry whichever addresses the agent remembers, or the entry
	// assumes that orders that have run were never received.
	if g := h.r.Greeting(2); len(g.Met) != 1 || g.Met[0].Incarnation != "e1" || g.Met[0].SeenOrder != 1 {
		t.Errorf("greeting: %v, want order 1 of e1 seen", g)
	}
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, h.now.UnixNano())
	h.ready()
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
}

// An agent freezes with an order in its queue. Its entry has had the task run elsewhere by the
// time the agent resumes; the first input that the agent handles is the end of other runs,
// which frees the capacity for the order.
func TestQueuedOrderOfUnresponsiveEntryIsNotStarted(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 3500)
	h.order("e1", "t1", 3500, waits(60_000))
	h.now = h.now.Add(h.times.EntryTimeout + time.Second)
	h.end("t0", EndedLapsed)
	if got := h.started(); len(got) != 0 {
		t.Errorf("started %v after the entry had timed out", got)
	}
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, "")
}

// An agent freezes while it opens a link. The entry's greeting and an order behind it wait in
// its socket meanwhile, and both seem equally recent when it resumes.
func TestOrderBehindDelayedGreetingIsRefused(t *testing.T) {
	h := newHarness(t)
	sent := h.now
	h.now = h.now.Add(2 * time.Second)
	up := h.r.LinkUp(h.now, sent.Add(-time.Millisecond), &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, sent.UnixNano())
	h.r.Step(h.now, "e1", 1, &pb.OrderFrame{
		Seq: 1, SentNs: sent.UnixNano(), Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	if got := h.ready().Starts; up || len(got) != 0 {
		t.Errorf("link up %v with starts %v, want the link refused", up, got)
	}
}

// An agent was restarted, and the worker's answers are lost while a run of the previous process
// goes on. That process renewed the run's lease up to the moment of its own end. If the run
// were considered ended at once, its task could run twice at a time.
func TestOrphanedRunIsLostOnlyAfterLeaseLapses(t *testing.T) {
	h := newHarness(t, "e1")
	h.r.leaseRenewedAt, h.r.clock = time.Time{}, 0
	h.running["old"] = 1
	h.poll()
	h.failPolls()
	began := h.now
	for !h.r.Drained() && h.now.Sub(began) < 5*time.Second {
		h.now = h.now.Add(10 * time.Millisecond)
		h.r.Tick(h.now)
		h.ready()
	}
	if took := h.now.Sub(began); took < bounds.LeaseExpiry(h.times.Lease) {
		t.Errorf("lost after %v; the lease may last %v", took, bounds.LeaseExpiry(h.times.Lease))
	}
}

// Three orders wait: a late one and one in time of the highest priority, and one of a lower
// priority. If the late one ran first because of its priority, a burst would make all later
// orders late.
func TestLateOrdersWaitBehindOrdersInTime(t *testing.T) {
	late := func(o *pb.Order) { o.StartByMs = -1 }
	h := newHarness(t, "e1")
	for i := range 2 {
		h.begin("e1", fmt.Sprintf("j%d.0.0.0", i), 2000)
	}
	h.order("e1", "late.0.0.0", 2000, waits(900), priority(0), late)
	h.order("e1", "less.0.0.0", 2000, waits(900), priority(2), func(o *pb.Order) { o.StartByMs = 300 })
	h.order("e1", "urgent.0.0.0", 2000, waits(900), priority(0), func(o *pb.Order) { o.StartByMs = 300 })
	for i, want := range []string{"urgent.0.0.0", "less.0.0.0", "late.0.0.0"} {
		h.now = h.now.Add(10 * time.Millisecond)
		h.poll(End{Number: uint64(i + 1), Task: []string{"j0.0.0.0", "j1.0.0.0", "urgent.0.0.0"}[i], Run: 1, Ending: EndedDone})
		if got := h.started(); len(got) != 1 || got[0] != want+"/1" {
			t.Fatalf("started %v, want %s", got, want)
		}
		h.accept(h.last.Starts[0])
	}
	if got := h.states["e1"].Queued; len(got) != 0 {
		t.Errorf("still waiting %v", got)
	}
}

// Two orders wait: a short one of the highest priority with time to spare, and a long one of
// the lowest priority whose start is due. Behind the short one, the long one would miss its
// objective for nothing, since the short one would be in time anyway. If the short one is due
// as well, it has priority.
func TestLowerPriorityOrderOvertakesWhileHigherHasTime(t *testing.T) {
	for name, c := range map[string]struct {
		urgentBy int32
		want     string
	}{
		"time to spare": {300, "long.0.0.0/1"},
		"due":           {110, "urgent.0.0.0/1"},
	} {
		t.Run(name, func(t *testing.T) {
			startBy := func(ms int32) orderOption { return func(o *pb.Order) { o.StartByMs = ms } }
			h := newHarness(t, "e1")
			for i := range 2 {
				h.begin("e1", fmt.Sprintf("j%d.0.0.0", i), 2000)
			}
			h.order("e1", "urgent.0.0.0", 2000, waits(900), priority(0), startBy(c.urgentBy))
			h.order("e1", "long.0.0.0", 2000, waits(900), priority(2), expected(900), startBy(60))
			h.now = h.now.Add(20 * time.Millisecond)
			h.poll(End{Number: 1, Task: "j0.0.0.0", Run: 1, Ending: EndedDone})
			if got := h.started(); len(got) != 1 || got[0] != c.want {
				t.Errorf("started %v, want %s", got, c.want)
			}
		})
	}
}

// Entries must be able to tell the queued work that precedes a short job from that which
// doesn't.
func TestQueuedWorkIsReportedByTimeToStart(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t0", 4000, expected(50))
	for i, ms := range []int32{3000, 40, 30, 300} {
		h.order("e1", fmt.Sprint("t", i+1), 1000, waits(5000), func(o *pb.Order) { o.StartByMs = ms })
	}
	h.wait(time.Second)
	var got []string
	for _, q := range h.states["e1"].Queued {
		got = append(got, fmt.Sprint(q.CpuMillis, " within ", q.StartWithinMs))
	}
	want := []string{"2000 within 50", "1000 within 400", "1000 within 60000"}
	if !slices.Equal(got, want) {
		t.Errorf("queued %v, want %v", got, want)
	}
}

// An entry is taken for ended, and is linked again. Guards against an agent that has forgotten its
// orders, which the entry then takes for orders that have never arrived.
func TestOrdersOfAnEntryTakenForEndedAreRemembered(t *testing.T) {
	h := newHarness(t, "e1")
	s := h.begin("e1", "t1", 1000)
	h.r.LinkDown(h.now, "e1", 1)
	h.r.EntryEnded(h.now, "e1", "refused")
	if r := h.ready(); len(r.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(r.Stops))
	}
	g := h.r.Greeting(2)
	if len(g.Met) != 1 || g.Met[0].Incarnation != "e1" || g.Met[0].SeenOrder != 1 {
		t.Errorf("the greeting says %v, want order 1 of e1 as seen", g.Met)
	}
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, h.now.UnixNano())
	h.r.StopAnswered(h.now, stopOf(s), h.clock())
	h.end("t1", EndedStopped)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STOPPED, "")
	h.r.LinkDown(h.now, "e1", 2)
	h.r.EntryEnded(h.now, "e1", "ended")
	h.wait(entryRetention + time.Second)
	if len(h.r.entries) > 0 {
		t.Error("an entry without link or runs is remembered for ever")
	}
}

// An answer to a poll lacks its lists. Guards against an agent that takes the runs that it doesn't
// list for ended, so that their tasks are started elsewhere beside them.
func TestIncompleteAnswerEndsNoRun(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	for range 2 * maxFailedPolls {
		l, _ := h.r.NextPoll(h.now, true)
		h.r.PollAnswered(h.now, l, PollAnswer{Clock: h.clock(), Missing: "no list of runs"})
		h.ready()
		h.wait(10 * time.Millisecond)
	}
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, pb.OrderState_ORDER_STATE_STOPPED)
	if l, _ := h.r.NextPoll(h.now, true); l.Until != 0 {
		t.Errorf("lease until %v requested of a worker that gives no complete answer", l.Until)
	}
	h.order("e1", "t2", 1000)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
}

// An earlier process's runs go on, and the first answer to the next process lacks its lists. Guards
// against an agent that says that no run is left.
func TestIncompleteAnswerShowsNoIdleWorker(t *testing.T) {
	h := newRecalledHarness(t, "e1")
	l, _ := h.r.NextPoll(h.now, false)
	h.r.PollAnswered(h.now, l, PollAnswer{Missing: "no list of runs"})
	h.ready()
	h.order("e1", "t1", 1000)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	if h.states["e1"].Clean {
		t.Error("the worker counts as idle")
	}
}

// The answers to two requests for a link arrive in the opposite order: the agent knows the entry by
// two addresses. Guards against orders that start on the earlier link after the entry has been told
// on the later one which orders have arrived.
func TestEarlierLinkIsNotUsedAfterALaterOne(t *testing.T) {
	h := newHarness(t, "e1")
	greeting := &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}
	if !h.r.LinkUp(h.now, h.now, greeting, 3, h.now.UnixNano()) {
		t.Fatal("the later link is not used")
	}
	h.ready()
	if h.r.LinkUp(h.now, h.now, greeting, 2, h.now.UnixNano()) {
		t.Error("the earlier link is used")
	}
	h.r.LinkDown(h.now, "e1", 3)
	if h.r.LinkUp(h.now, h.now, greeting, 2, h.now.UnixNano()) {
		t.Error("the earlier link is used once the later one is lost")
	}
}

// listEnd has the worker list the end of a run that it doesn't list as running.
func (h *harness) listEnd(task string, how Ending) {
	h.running[task] = 1
	h.end(task, how)
}

// A worker's answer lists a run neither as running nor as ended. Guards against an agent that takes it
// for ended, so that its task is started elsewhere beside it.
func TestRunThatIsNotListedIsStoppedBeforeItCountsAsEnded(t *testing.T) {
	const lost, stopped = pb.OrderState_ORDER_STATE_LOST, pb.OrderState_ORDER_STATE_STOPPED
	for name, c := range map[string]struct {
		then func(h *harness)
		want pb.OrderState
	}{
		"its end as stopped follows": {func(h *harness) { h.listEnd("t1", EndedStopped) }, stopped},
		"its end as done follows":    {func(h *harness) { h.listEnd("t1", EndedDone) }, pb.OrderState_ORDER_STATE_DONE},
		"no end follows": {func(h *harness) {
			h.poll()
			h.wantNoNews("e1", 1, lost, stopped)
			h.wait(h.times.StopTime)
			h.poll()
		}, lost},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			delete(h.running, "t1")
			h.poll()
			h.wantNoNews("e1", 1, lost, stopped)
			if len(h.last.Stops) != 1 {
				t.Fatalf("stops %v, want one of t1", h.last.Stops)
			}
			h.r.StopAnswered(h.now, h.last.Stops[0], h.clock())
			h.ready()
			c.then(h)
			h.wantNews("e1", 1, c.want, "")
		})
	}
}

// A start without an answer was carried out, its stop is answered and takes its time, and one answer
// doesn't list the run. Guards against an agent that says that it never began.
func TestFencedRunThatIsNotListedMayStillBeStopping(t *testing.T) {
	h := newHarness(t, "e1")
	h.order("e1", "t1", 1000)
	s := h.last.Starts[0]
	h.unanswered(s)
	h.poll()
	if len(h.last.Stops) != 1 {
		t.Fatalf("stops %v, want one of t1", h.last.Stops)
	}
	h.r.StopAnswered(h.now, h.last.Stops[0], h.clock())
	h.ready()
	h.wait(h.times.StopTime - time.Millisecond)
	h.poll()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, pb.OrderState_ORDER_STATE_LOST)
	h.wait(time.Millisecond)
	h.poll()
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonUnanswered)
}

// A restarted agent stops a run of the process before it, and an answer doesn't list that run. Guards
// against an agent that says that no run is left.
func TestOrphanedRunThatIsNotListedMayStillBeStopping(t *testing.T) {
	h := newRecalledHarness(t, "e1")
	h.running["t1"] = 1
	h.poll()
	if len(h.last.Stops) != 1 {
		t.Fatalf("stops %v, want one of t1", h.last.Stops)
	}
	stop := h.last.Stops[0]
	delete(h.running, "t1")
	clean := func() bool { return h.r.state(h.now, h.r.entries[0]).Clean }
	h.poll()
	if clean() {
		t.Error("the worker counts as idle before the stop was answered")
	}
	h.r.StopAnswered(h.now, stop, h.clock())
	h.ready()
	h.wait(h.times.StopTime)
	h.poll()
	if !clean() {
		t.Error("the worker doesn't count as idle after the stop")
	}
}
