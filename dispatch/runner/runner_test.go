package runner

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// bed is a runner with one worker of four cores and entries, on virtual time.
type bed struct {
	t       *testing.T
	r       *Runner
	now     time.Time
	times   bounds.Times
	seq     map[string]uint64
	orders  map[string]uint64
	last    Ready
	news    map[string][]*pb.OrderNews
	states  map[string]*pb.WorkerState
	acks    map[string]uint64
	endNo   uint64
	running map[string]uint32
	born    int64
}

func newBed(t *testing.T, entries ...string) *bed {
	times, err := bounds.Derive(bounds.Given{})
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{
		t: t, now: time.Unix(1000, 0), times: times, seq: map[string]uint64{}, orders: map[string]uint64{},
		news: map[string][]*pb.OrderNews{}, states: map[string]*pb.WorkerState{}, acks: map[string]uint64{}, running: map[string]uint32{},
	}
	b.r = New(Options{
		Agent: "agent-1", Incarnation: "a1", Times: times, Token: 1,
		Link: link.Options{AckDelay: 50 * time.Millisecond, AckTimeout: time.Minute, Heartbeat: time.Minute, HeartbeatTimeout: time.Hour},
	})
	b.r.Reported(b.now, Worker{Life: Life{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	b.look()
	for _, e := range entries {
		b.r.LinkUp(b.now, b.now, &pb.EntryGreeting{Entry: e, Incarnation: e}, 1, b.now.UnixNano())
	}
	b.ready()
	return b
}

func (b *bed) ready() Ready {
	b.last = b.r.Ready(b.now)
	for _, f := range b.last.Frames {
		b.news[f.Entry] = append(b.news[f.Entry], f.Frame.News...)
		b.acks[f.Entry] = f.Frame.Seq
		if f.Frame.State != nil {
			b.states[f.Entry] = f.Frame.State
		}
	}
	return b.last
}

// wait lets time pass in steps, so that nothing due is passed over.
func (b *bed) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(10*time.Millisecond, end.Sub(b.now)))
		b.r.Tick(b.now)
		b.ready()
	}
}

func (b *bed) frame(entry string, f *pb.OrderFrame) Ready {
	b.seq[entry]++
	f.Seq, f.Ack, f.SentNs = b.seq[entry], b.acks[entry], b.now.UnixNano()
	b.r.Step(b.now, entry, 1, f)
	return b.ready()
}

type orderOption func(*pb.Order)

func waits(ms uint32) orderOption      { return func(o *pb.Order) { o.WaitMs = ms } }
func urgency(p uint32) orderOption     { return func(o *pb.Order) { o.Priority = p } }
func expected(ms uint32) orderOption   { return func(o *pb.Order) { o.ExpectedMs = ms } }
func (b *bed) started() (out []string) { return names(b.last.Starts) }

func names(starts []Start) (out []string) {
	for _, s := range starts {
		out = append(out, fmt.Sprintf("%s/%d", s.Task, s.Run))
	}
	return out
}

func (b *bed) order(entry, task string, cpu uint32, options ...orderOption) Ready {
	b.orders[entry]++
	o := &pb.Order{Number: b.orders[entry], Task: task, Run: 1, Size: &pb.Size{CpuMillis: cpu, MemoryMb: 1}, ExpectedMs: 100, LimitMs: 10_000}
	for _, f := range options {
		f(o)
	}
	return b.frame(entry, &pb.OrderFrame{Orders: []*pb.Order{o}})
}

// begin orders a task and has the worker start it.
func (b *bed) begin(entry, task string, cpu uint32, options ...orderOption) Start {
	b.t.Helper()
	r := b.order(entry, task, cpu, options...)
	if len(r.Starts) != 1 {
		b.t.Fatalf("%s: %d starts, want 1", task, len(r.Starts))
	}
	b.accept(r.Starts[0])
	return r.Starts[0]
}

func (b *bed) accept(s Start) {
	b.running[s.Task] = s.Run
	b.r.StartAnswered(b.now, s, Started, b.clock(), "")
	b.ready()
}

func (b *bed) clock() time.Duration { return b.now.Sub(time.Unix(0, 0)) }

// look has the worker answer a look at once.
func (b *bed) look(ends ...End) {
	l, ok := b.r.NextLook(b.now, false)
	if !ok {
		b.t.Fatal("no worker is known")
	}
	b.answer(l, ends...)
}

func (b *bed) answer(l Look, ends ...End) {
	s := Seen{Born: b.born, Clock: b.clock(), Ended: ends}
	for _, e := range ends {
		delete(b.running, e.Task)
	}
	for task, run := range b.running {
		s.Running = append(s.Running, Row{Task: task, Run: run, Percent: 50})
	}
	b.r.Looked(b.now, l, s)
	b.ready()
}

func (b *bed) end(task string, how Ending) {
	b.endNo++
	b.look(End{Number: b.endNo, Task: task, Run: b.running[task], How: how})
}

func (b *bed) wantNews(entry string, number uint64, want pb.OrderState, reason string) {
	b.t.Helper()
	for _, n := range b.news[entry] {
		if n.Number == number && n.State == want && (reason == "" || n.Reason == reason) {
			return
		}
	}
	b.t.Errorf("%s got no %v (%q) for order %d; news: %v", entry, want, reason, number, b.news[entry])
}

func (b *bed) wantNoNews(entry string, number uint64, states ...pb.OrderState) {
	b.t.Helper()
	for _, n := range b.news[entry] {
		for _, s := range states {
			if n.Number == number && n.State == s {
				b.t.Errorf("%s got %v for order %d", entry, s, number)
			}
		}
	}
}

func TestOrderRunsToItsEnd(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	b.wait(30 * time.Millisecond)
	b.end("t1", EndedDone)
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STARTED, "")
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	if !b.r.Drained() {
		t.Error("the run is still counted")
	}
}

// A worker starts whatever it is told to, whether it fits or not. Beyond its
// capacity everything on it slows down, so the agent must count, also what is only
// stopping.
func TestCapacityIsTakenUntilTheEndIsListed(t *testing.T) {
	b := newBed(t, "e1", "e2")
	b.begin("e1", "t1", 2500)
	b.order("e2", "t2", 2000)
	b.wantNews("e2", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonRoom)
	b.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	if len(b.last.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(b.last.Stops))
	}
	b.r.StopAnswered(b.now, b.last.Stops[0], b.clock())
	b.order("e2", "t3", 2000)
	b.wantNews("e2", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonRoom)
	b.end("t1", EndedStopped)
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STOPPED, "")
	b.begin("e2", "t4", 2000)
}

// Two orders wait, and the first one's time is over at the moment at which its end
// makes room for the second. The second was started and then refused as having
// waited too long: it ran, and its entry had it run elsewhere as well.
func TestOrderStartedByAnothersEndIsNotRefused(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t0", 3000)
	b.order("e1", "large", 3500, waits(100))
	b.order("e1", "small", 1000, waits(100))
	b.wait(100 * time.Millisecond)
	b.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonWaited)
	b.wantNoNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED)
}

// A start is not answered. The worker may have begun, and its answer be lost; a
// second run elsewhere would be one too many.
func TestLostAnswerOfAStartIsFoundByALook(t *testing.T) {
	b := newBed(t, "e1")
	s := b.order("e1", "t1", 1000).Starts[0]
	b.running["t1"] = 1
	if !b.unanswered(s).Look {
		t.Fatal("no look was asked for")
	}
	b.look()
	b.wait(2 * mentionWithin)
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STARTED, "")
}

// A start is not answered and was not carried out. It may be carried out seconds
// later, so it is refused to its entry only when the worker has answered a stop of
// that run.
func TestUnansweredStartIsFencedBeforeItIsRefused(t *testing.T) {
	b := newBed(t, "e1")
	s := b.order("e1", "t1", 1000).Starts[0]
	b.unanswered(s)
	b.look()
	b.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	if len(b.last.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(b.last.Stops))
	}
	b.look()
	b.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
	b.r.StopAnswered(b.now, stopOf(s), b.clock())
	b.look()
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonUnanswered)
}

// unanswered leaves a start without an answer, as often as it is sent.
func (b *bed) unanswered(s Start) Ready {
	b.t.Helper()
	for n := 1; ; n++ {
		b.r.StartAnswered(b.now, s, Unanswered, 0, "")
		r := b.ready()
		if len(r.Starts) == 0 {
			if n != maxSends {
				b.t.Errorf("the start was sent %d times, want %d", n, maxSends)
			}
			return r
		}
	}
}

// The order of one run is lost on its way to the worker. It is sent again there, and the
// task begins a moment later.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	b := newBed(t, "e1")
	s := b.order("e1", "t1", 1000).Starts[0]
	b.r.StartAnswered(b.now, s, Unanswered, 0, "")
	again := b.ready().Starts
	if len(again) != 1 || again[0].Task != s.Task || again[0].Run != s.Run {
		t.Fatalf("starts %v, want the same run", again)
	}
	b.accept(again[0])
	b.end("t1", EndedDone)
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	if b.r.room() != b.r.worker.Capacity {
		t.Errorf("room %v after the end", b.r.room())
	}
}

// The answer to a start is late, so it was sent twice. The second finds that the run has
// been there: it must not be taken for one that never began.
func TestStartSentTwiceIsNotTakenForRefused(t *testing.T) {
	for name, v := range map[string]StartVerdict{"old": OldRun, "refused": Refused, "nothing listens": Unsent} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "e1")
			s := b.order("e1", "t1", 1000).Starts[0]
			b.wait(startAgainAfter)
			if len(b.last.Starts) != 1 {
				t.Fatal("the start was not sent again")
			}
			b.r.StartAnswered(b.now, s, v, b.clock(), "")
			if !b.ready().Look {
				t.Error("no look was asked for")
			}
			b.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED)
			b.running["t1"] = 1
			b.end("t1", EndedDone)
			b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
		})
	}
}

// A start that nobody wants any more, or that may not start any more, is fenced and not sent
// again.
func TestUnansweredStartIsNotSentAgain(t *testing.T) {
	for name, change := range map[string]func(b *bed){
		"stopped":  func(b *bed) { b.frame("e1", &pb.OrderFrame{Stops: []uint64{1}}) },
		"draining": func(b *bed) { b.r.Reported(b.now, worker(0, func(w *Worker) { w.Draining = true })) },
		"mute":     func(b *bed) { b.now = b.now.Add(b.times.Silence) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "e1")
			s := b.order("e1", "t1", 1000).Starts[0]
			change(b)
			b.r.StartAnswered(b.now, s, Unanswered, 0, "")
			if got := b.ready().Starts; len(got) > 0 {
				t.Errorf("sent again: %v", got)
			}
		})
	}
}

// One look is lost on its way, of a worker that answers the others. Its orders must not be
// refused for that.
func TestOneLostLookIsNoSilence(t *testing.T) {
	b := newBed(t, "e1")
	lost, _ := b.r.NextLook(b.now, true)
	b.now = b.now.Add(100 * time.Millisecond)
	b.r.LookFailed(b.now, lost, false)
	if !b.ready().Look {
		t.Error("no look at once follows")
	}
	b.begin("e1", "t1", 1000)
	older, _ := b.r.NextLook(b.now, true)
	b.now = b.now.Add(time.Millisecond)
	b.look()
	b.r.LookFailed(b.now, older, false)
	b.begin("e1", "t2", 1000)
	b.look()
	b.silence()
	b.order("e1", "t3", 1000)
	b.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
}

// silence has looks fail until the worker counts as silent.
func (b *bed) silence() {
	for range silentAfter {
		l, _ := b.r.NextLook(b.now, false)
		b.r.LookFailed(b.now, l, false)
	}
	b.ready()
}

// stopOf is the stop that belongs to a start.
func stopOf(s Start) Stop { return Stop{Worker: s.Worker, Task: s.Task, Run: s.Run} }

// A stop is lost on its way. Without another one the run would go on until its end
// although its caller has left.
func TestUnansweredStopIsRepeated(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	b.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	stops := 0
	for range 20 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.r.Tick(b.now)
		stops += len(b.ready().Stops)
	}
	if stops == 0 {
		t.Error("the stop was not repeated")
	}
}

// An entry is cut off or frozen. Its callers send their jobs again to another entry,
// which starts the tasks anew; what runs for the first one must have ended by then.
func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	b := newBed(t, "e1", "e2")
	b.begin("e1", "t1", 1000)
	b.begin("e2", "t2", 1000)
	stopped := map[string]time.Duration{}
	began := b.now
	for range 100 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.r.Tick(b.now)
		for _, s := range b.ready().Stops {
			if stopped[s.Task] == 0 {
				stopped[s.Task] = b.now.Sub(began)
			}
		}
		if b.now.Sub(began)%(100*time.Millisecond) == 0 {
			b.frame("e2", &pb.OrderFrame{})
		}
	}
	if at := stopped["t1"]; at == 0 || at > b.times.Silence+10*time.Millisecond {
		t.Errorf("the silent entry's run was stopped after %v, want %v", at, b.times.Silence)
	}
	if at := stopped["t2"]; at != 0 {
		t.Errorf("the run of the entry that speaks was stopped after %v", at)
	}
}

// A cut holds a frame up for seconds and delivers it when it heals. The entry has
// given its order up, and the caller's next attempt may be running elsewhere.
func TestOrderThatArrivesLateIsRefused(t *testing.T) {
	b := newBed(t, "e1")
	b.frame("e1", &pb.OrderFrame{})
	sent := b.now
	b.now = b.now.Add(b.times.MaxLate + time.Millisecond)
	b.seq["e1"]++
	b.r.Step(b.now, "e1", 1, &pb.OrderFrame{
		Seq: b.seq["e1"], SentNs: sent.UnixNano(),
		Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	b.ready()
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonLate)
}

// An agent is restarted while its worker runs tasks of the process before. Their
// sizes are not known, so anything started beside them could overload the worker.
func TestNothingStartsBesideRunsOfAnEarlierProcess(t *testing.T) {
	b := newBed(t)
	b.running["old"] = 3
	b.look()
	if len(b.last.Stops) != 1 || b.last.Stops[0].Task != "old" {
		t.Fatalf("stops: %v, want one of the old run", b.last.Stops)
	}
	b.r.LinkUp(b.now, b.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, b.now.UnixNano())
	b.ready()
	if s := b.states["e1"]; s.Accepting || s.Clean {
		t.Errorf("accepting %v and clean %v beside a run of an earlier process", s.Accepting, s.Clean)
	}
	b.order("e1", "t1", 100)
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
	b.end("old", EndedStopped)
	b.wait(time.Second)
	if s := b.states["e1"]; !s.Accepting || !s.Clean {
		t.Errorf("accepting %v and clean %v after the end of the old run", s.Accepting, s.Clean)
	}
}

// The answers of two looks overtake each other. The older one lists a run whose end
// the newer one has shown; taking it for a foreign run would close the worker.
func TestAnswerOfAnOlderLookRevivesNothing(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	older, _ := b.r.NextLook(b.now, false)
	b.end("t1", EndedDone)
	b.running["t1"] = 1
	b.answer(older)
	delete(b.running, "t1")
	b.order("e1", "t2", 100)
	b.wantNoNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED)
}

// A worker goes dark. Its lease ends what it runs, at the latest when that has
// lapsed on its own, slow clock; only then may the tasks run elsewhere.
func TestRunsOnADarkWorkerAreLostWhenTheLeaseHasLapsed(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	b.silence()
	began := b.now
	for !b.r.Drained() && b.now.Sub(began) < 5*time.Second {
		if b.now.Sub(began)%(100*time.Millisecond) == 0 {
			b.frame("e1", &pb.OrderFrame{})
		}
		b.now = b.now.Add(10 * time.Millisecond)
		b.r.NextLook(b.now, true) // looks go on
		b.r.Tick(b.now)
		b.ready()
	}
	if took := b.now.Sub(began); took < bounds.Lapse(b.times.Lease) || took > time.Second+b.times.Lease {
		t.Errorf("lost after %v; the lease lapses after %v", took, bounds.Lapse(b.times.Lease))
	}
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "")
	b.order("e1", "t2", 100)
	b.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
}

// A worker says that it will leave. An order that arrives after that would be cut
// off with it.
func TestDrainingWorkerTakesNothing(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t0", 3500)
	b.order("e1", "waits", 3500, waits(500))
	b.r.Reported(b.now, Worker{Life: Life{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Draining: true, Sequence: 9})
	b.ready()
	b.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
	b.order("e1", "t2", 100)
	b.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonHeld)
	if !b.r.Reported(b.now, Worker{Life: Life{ID: "w1"}, Sequence: 10, Draining: true}) {
		t.Error("a later report was not taken in")
	}
	if b.r.Reported(b.now, Worker{Life: Life{ID: "w1"}, Sequence: 8}) {
		t.Error("a report that was overtaken was taken in")
	}
}

// A report was held up by a cut and arrives after its sender has crashed and a new
// life of the worker answers at the same address.
func TestReportOfAnEndedLifeNamesNoWorker(t *testing.T) {
	b := newBed(t, "e1")
	if b.r.Reported(b.now, Worker{Life: Life{ID: "w0"}, Service: "s", Sequence: 70}) {
		t.Error("the report was taken in")
	}
	if w, _ := b.r.Worker(); w.ID != "w1" {
		t.Errorf("worker %s, want w1", w.ID)
	}
}

// The load is above the capacity and stamps wait at each worker. A gauge check that
// was refused for their sake would be late, although it goes first.
func TestUrgentOrderPassesThoseThatWait(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t0", 3000, expected(50))
	for i := range 4 {
		b.order("e1", fmt.Sprint("stamp", i), 2000, urgency(1), waits(100))
	}
	b.order("e1", "gauge", 2000, urgency(0), waits(100))
	b.wait(20 * time.Millisecond)
	b.endNo++
	b.look(End{Number: b.endNo, Task: "t0", Run: 1, How: EndedDone})
	if got := b.started(); len(got) == 0 || got[0] != "gauge/1" {
		t.Errorf("started %v, want the gauge check first", got)
	}
}

// Two jobs of a queue wait. The one that came later has the shorter task and so must
// start later; by how long their callers wait it would go first and make the other one
// late.
func TestOrderThatMustStartSoonerGoesFirst(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t0", 4000, expected(50))
	startBy := func(ms int32) orderOption { return func(o *pb.Order) { o.StartByMs = ms } }
	limit := func(ms uint32) orderOption { return func(o *pb.Order) { o.LimitMs = ms } }
	b.order("e1", "later", 4000, waits(500), startBy(90), limit(1000))
	b.order("e1", "sooner", 4000, waits(500), startBy(60), limit(9000))
	b.wait(10 * time.Millisecond)
	b.endNo++
	b.look(End{Number: b.endNo, Task: "t0", Run: 1, How: EndedDone})
	if got := b.started(); len(got) != 1 || got[0] != "sooner/1" {
		t.Errorf("started %v, want the one that must start sooner", got)
	}
}

// A task stands still on a sick worker. Its progress shows it after one look, long
// before its time is over.
func TestStandstillIsReported(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	for range 4 {
		b.wait(20 * time.Millisecond)
		l, _ := b.r.NextLook(b.now, false)
		b.r.Looked(b.now, l, Seen{Clock: b.clock(), Running: []Row{{Task: "t1", Run: 1, Percent: 0}}})
		b.ready()
	}
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_STALLED, "")
}

// A link is lost with the news of an end on it. The entry would wait for the run
// until its job's time is over.
func TestNewsOfALostLinkIsToldAgain(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t1", 1000)
	b.end("t1", EndedDone)
	b.news["e1"] = nil
	b.r.LinkDown(b.now, "e1", 1)
	b.wait(50 * time.Millisecond)
	// The agent may have forgotten what it met at which address; the greeting must not
	// depend on it, or the entry takes orders that have run for never received.
	if g := b.r.Greeting(2); len(g.Met) != 1 || g.Met[0].Incarnation != "e1" || g.Met[0].SeenOrder != 1 {
		t.Errorf("greeting: %v, want order 1 of e1 seen", g)
	}
	b.r.LinkUp(b.now, b.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, b.now.UnixNano())
	b.ready()
	b.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
}

// An agent freezes with an order in its queue. Its entry has had the task run
// elsewhere by the time the agent wakes; the first thing that the agent hears is
// that runs have ended, which makes room for the order.
func TestQueuedOrderOfAnEntryNotHeardFromIsNotStarted(t *testing.T) {
	b := newBed(t, "e1")
	b.begin("e1", "t0", 3500)
	b.order("e1", "t1", 3500, waits(60_000))
	b.now = b.now.Add(b.times.Silence + time.Second)
	b.end("t0", EndedLapsed)
	if got := b.started(); len(got) != 0 {
		t.Errorf("started %v after the entry's silence", got)
	}
	b.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, "")
}

// An agent freezes while it opens a link. The entry's greeting and an order behind it
// lie in its socket meanwhile, and look as fresh as each other when it wakes.
func TestOrderBehindALateGreetingIsRefused(t *testing.T) {
	b := newBed(t)
	sent := b.now
	b.now = b.now.Add(2 * time.Second)
	up := b.r.LinkUp(b.now, sent.Add(-time.Millisecond), &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 1, sent.UnixNano())
	b.r.Step(b.now, "e1", 1, &pb.OrderFrame{
		Seq: 1, SentNs: sent.UnixNano(), Orders: []*pb.Order{{Number: 1, Task: "t1", Run: 1, Size: &pb.Size{CpuMillis: 100}}},
	})
	if got := b.ready().Starts; up || len(got) != 0 {
		t.Errorf("link up %v with starts %v, want the link refused", up, got)
	}
}

// An agent was restarted, and the worker's answers are lost while a run of the
// process before goes on. That run's lease was renewed by a process that is gone, up
// to the moment of its end; taking the run for over at once would let its task run
// elsewhere beside it.
func TestRunOfAnEarlierProcessIsLostOnlyAfterALease(t *testing.T) {
	b := newBed(t, "e1")
	b.r.renewed, b.r.clock = time.Time{}, 0
	b.running["old"] = 1
	b.look()
	b.silence()
	began := b.now
	for !b.r.Drained() && b.now.Sub(began) < 5*time.Second {
		b.now = b.now.Add(10 * time.Millisecond)
		b.r.Tick(b.now)
		b.ready()
	}
	if took := b.now.Sub(began); took < bounds.Lapse(b.times.Lease) {
		t.Errorf("lost after %v; the lease may last %v", took, bounds.Lapse(b.times.Lease))
	}
}

// Three orders wait: one taken in though it is late, one of the urgent, one of the less
// urgent queue. Were the late one first by its urgency, a burst would make late all that
// comes after it.
func TestLateOrdersWaitBehindThoseInTime(t *testing.T) {
	late := func(o *pb.Order) { o.StartByMs = -1 }
	b := newBed(t, "e1")
	for i := range 2 {
		b.begin("e1", fmt.Sprintf("j%d.0.0.0", i), 2000)
	}
	b.order("e1", "late.0.0.0", 2000, waits(900), urgency(0), late)
	b.order("e1", "less.0.0.0", 2000, waits(900), urgency(2), func(o *pb.Order) { o.StartByMs = 300 })
	b.order("e1", "urgent.0.0.0", 2000, waits(900), urgency(0), func(o *pb.Order) { o.StartByMs = 300 })
	for i, want := range []string{"urgent.0.0.0", "less.0.0.0", "late.0.0.0"} {
		b.now = b.now.Add(10 * time.Millisecond)
		b.look(End{Number: uint64(i + 1), Task: []string{"j0.0.0.0", "j1.0.0.0", "urgent.0.0.0"}[i], Run: 1, How: EndedDone})
		if got := b.started(); len(got) != 1 || got[0] != want+"/1" {
			t.Fatalf("started %v, want %s", got, want)
		}
		b.accept(b.last.Starts[0])
	}
	if got := b.states["e1"].Queued; len(got) != 0 {
		t.Errorf("still waiting %v", got)
	}
}

// Two short urgent tasks with time to spare wait, and a long one of the least urgent queue
// whose start is due. Behind the two it would end late, and its caller with it, for
// nothing: they would be in time all the same. When one of them is due as well, it goes
// first.
func TestLessUrgentOrderGoesAheadWhileTheUrgentHaveTime(t *testing.T) {
	for name, c := range map[string]struct {
		urgentBy int32
		want     string
	}{
		"time to spare": {300, "long.0.0.0/1"},
		"due":           {110, "urgent.0.0.0/1"},
	} {
		t.Run(name, func(t *testing.T) {
			startBy := func(ms int32) orderOption { return func(o *pb.Order) { o.StartByMs = ms } }
			b := newBed(t, "e1")
			for i := range 2 {
				b.begin("e1", fmt.Sprintf("j%d.0.0.0", i), 2000)
			}
			b.order("e1", "urgent.0.0.0", 2000, waits(900), urgency(0), startBy(c.urgentBy))
			b.order("e1", "long.0.0.0", 2000, waits(900), urgency(2), expected(900), startBy(60))
			b.now = b.now.Add(20 * time.Millisecond)
			b.look(End{Number: 1, Task: "j0.0.0.0", Run: 1, How: EndedDone})
			if got := b.started(); len(got) != 1 || got[0] != c.want {
				t.Errorf("started %v, want %s", got, c.want)
			}
		})
	}
}
