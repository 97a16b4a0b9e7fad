package runner

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

const startMs = 1_700_000_000_000

func worker(startMs int64, change ...func(*Worker)) Worker {
	w := Worker{Incarnation: Incarnation{"w1", startMs}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Sequence: 1}
	for _, f := range change {
		f(&w)
	}
	return w
}

// newIncarnationHarness returns a harness with a worker that states when it started.
func newIncarnationHarness(t *testing.T, entries ...string) *harness {
	h := newHarness(t, entries...)
	h.r.HandleReport(h.now, worker(startMs))
	h.startMs = startMs
	h.poll()
	h.updates = map[string][]*pb.OrderNews{}
	return h
}

// restartWorker has the worker start again under its identifier and report itself.
func (h *harness) restartWorker(at int64) {
	h.running, h.endNumber, h.startMs = map[string]uint32{}, 0, at
	h.r.HandleReport(h.now, worker(at))
	h.ready()
}

// A delayed report of an earlier incarnation must not replace the current one.
func TestReportsAreOrderedByIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		report Worker
		want   bool
	}{
		"same incarnation":                      {worker(startMs), true},
		"same incarnation, overtaken":           {worker(startMs, func(w *Worker) { w.Sequence = 0 }), false},
		"earlier incarnation":                   {worker(startMs-1, func(w *Worker) { w.Sequence = 99 }), false},
		"earlier incarnation, another id":       {worker(startMs-1, func(w *Worker) { w.ID = "w0" }), false},
		"later incarnation, sequence restarted": {worker(startMs+1, func(w *Worker) { w.Sequence = 0 }), true},
		"later incarnation, another id":         {worker(startMs+1, func(w *Worker) { w.ID = "w2" }), true},
		"no start time":                         {worker(0, func(w *Worker) { w.Sequence = 99 }), false},
		"no start time, another id":             {worker(0, func(w *Worker) { w.ID = "w2" }), false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newIncarnationHarness(t, "e1")
			if got := h.r.HandleReport(h.now, c.report); got != c.want {
				t.Errorf("accepted: %v, want %v", got, c.want)
			}
			want := worker(startMs)
			if c.want {
				want = c.report
			}
			if w, _ := h.r.Worker(); w.Incarnation != want.Incarnation || w.Sequence != want.Sequence {
				t.Errorf("worker %v (report %d), want %v (%d)", w.Incarnation, w.Sequence, want.Incarnation, want.Sequence)
			}
		})
	}
}

// Another writer has sent a report with the highest number. The worker's own must not count as
// overtaken for good: a worker that drains would get tasks until it ends.
func TestFalseReportDoesNotSilenceWorkerForGood(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Sequence = math.MaxUint64; w.Capacity.CPUMillis = 64000 }))
	own := worker(startMs, func(w *Worker) { w.Sequence = 2; w.Draining = true })
	for range 2 * maxReportDelay / time.Second {
		h.r.HandleReport(h.now, own)
		own.Sequence++
		h.now = h.now.Add(time.Second)
	}
	if w, _ := h.r.Worker(); !w.Draining || w.Capacity != own.Capacity || w.Sequence != own.Sequence-1 {
		t.Errorf("worker %+v, want its report %d", w, own.Sequence-1)
	}
}

// Each incarnation numbers its ends anew: an end of the second incarnation must not be taken
// for one that was seen in the first.
func TestEndsOfLaterIncarnationAreHandled(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	for range 5 {
		h.begin("e1", "t1", 1000)
		h.end("t1", EndedDone)
	}
	h.restartWorker(startMs + 5000)
	h.poll()
	h.begin("e1", "t2", 1000)
	h.end("t2", EndedDone)
	h.wantNews("e1", 6, pb.OrderState_ORDER_STATE_DONE, "")
}

// A poll reaches another incarnation under the same identifier before that one has reported.
// Its list says nothing about the earlier incarnation's runs: they are lost with their lease.
func TestAnswerOfAnotherIncarnationEndsCurrentOne(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.wait(2 * startCrashWindow)
	h.poll()
	h.startMs = startMs + 1000
	h.running = map[string]uint32{}
	h.poll()
	renewed := h.now
	if _, known := h.r.Worker(); known {
		t.Error("the earlier incarnation is still current")
	}
	h.order("e1", "t2", 1000)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	if h.r.HandleReport(h.now, worker(0)) {
		t.Error("a report without start time was accepted")
	}
	h.wantLostAtExpiry(renewed, "e1", 1, ReasonCrashedLater)
}

// A poll that was sent while an earlier incarnation was believed to be alive must not make the
// next one drop ends that the agent has not seen.
func TestPollOfUnresponsiveWorkerMarksNoEndsSeen(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.end("t1", EndedDone)
	l, _ := h.r.NextPoll(h.now, true)
	if l.LastEnd != 1 {
		t.Fatalf("seen %d, want 1", l.LastEnd)
	}
	h.failPolls()
	if l, _ = h.r.NextPoll(h.now, true); l.LastEnd != 0 {
		t.Errorf("a poll of an unresponsive worker marks ends up to %d as seen", l.LastEnd)
	}
}

// A start is unanswered when its worker crashes, and the next incarnation, which has the same
// identifier, carries it out late. If the run were reported as lost at once, the task would run
// twice at a time.
func TestUnansweredStartIsHeldUntilNextIncarnationRefusesIt(t *testing.T) {
	for name, c := range map[string]struct {
		carriedOut bool
		state      pb.OrderState
	}{
		"never carried out": {false, pb.OrderState_ORDER_STATE_LOST},
		"carried out late":  {true, pb.OrderState_ORDER_STATE_DONE},
	} {
		t.Run(name, func(t *testing.T) {
			h := newIncarnationHarness(t, "e1")
			r := h.order("e1", "t1", 1000)
			l, _ := h.r.NextPoll(h.now, true)
			renewed := h.now
			h.r.PollFailed(h.now, l, true)
			h.wait(100 * time.Millisecond)
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
			h.restartWorker(startMs + 1000)
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
			if c.carriedOut {
				h.running["t1"] = 1
			}
			l, _ = h.r.NextPoll(h.now, false)
			if l.Token <= r.Starts[0].Token {
				t.Errorf("token %d of the poll of the new incarnation doesn't fence a start with %d", l.Token, r.Starts[0].Token)
			}
			h.answer(l)
			if c.carriedOut {
				h.end("t1", EndedDone)
				h.wantNews("e1", 1, c.state, "")
				return
			}
			h.wantLostAtExpiry(renewed, "e1", 1, "")
		})
	}
}

// crash is a way in which an agent learns that its worker has ended.
type crash struct {
	happen func(h *harness)
	// reason is that of the lost runs, if it doesn't depend on when they began.
	reason string
}

var crashes = map[string]crash{
	"another incarnation answers": {func(h *harness) {
		l, _ := h.r.NextPoll(h.now, true)
		h.r.PollMisdirected(h.now, l)
		h.supersede("w2")
	}, ""},
	"the next incarnation reports after the lease has expired": {func(h *harness) {
		h.refuseFor(h.leaseExpiry() + 10*time.Millisecond)
		w := reportOf("w2", 1, false)
		w.StartUnixMs = 2 * h.startMs
		h.r.HandleReport(h.now, w)
		h.ready()
	}, "the lease has lapsed"},
}

// happenAndLose expects orders of an entry to be reported as lost, with their reasons unless the crash
// has its own, once the lease of their runs has expired and not before.
func (c crash) happenAndLose(h *harness, entry string, reasons map[uint64]string) {
	h.t.Helper()
	crashed := h.now
	c.happen(h)
	if c.reason == "" {
		h.waitLinked(crashed.Add(h.leaseExpiry() - 20*time.Millisecond).Sub(h.now))
		for order := range reasons {
			h.wantNoNews(entry, order, pb.OrderState_ORDER_STATE_LOST)
		}
		h.waitLinked(40 * time.Millisecond)
	}
	for order, reason := range reasons {
		h.wantNews(entry, order, pb.OrderState_ORDER_STATE_LOST, cmp.Or(c.reason, reason))
	}
}

// supersede has another incarnation report itself and answer the poll that follows.
func (h *harness) supersede(id string) {
	w := reportOf(id, 1, false)
	if h.startMs > 0 {
		h.startMs *= 2
		w.StartUnixMs = h.startMs
	}
	h.running, h.endNumber = map[string]uint32{}, 0
	h.r.HandleReport(h.now, w)
	h.poll()
}

// refuseFor has the worker refuse connections, while the entries go on sending frames.
func (h *harness) refuseFor(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		for _, e := range h.r.entries {
			h.frame(e.incarnation, &pb.OrderFrame{})
		}
		l, _ := h.r.NextPoll(h.now, true)
		h.r.PollFailed(h.now, l, true)
		h.wait(min(pollInterval, end.Sub(h.now)))
	}
}

// leaseExpiry returns how long after a call the runs on a worker that can't be reached may go on.
func (h *harness) leaseExpiry() time.Duration {
	return h.times.LeaseEndedAfter
}

// A worker with a new identifier in each incarnation refuses delayed calls to an earlier one,
// so the run need not be held until it returns.
func TestUnansweredStartIsLostWithUniqueIdentifier(t *testing.T) {
	for name, c := range crashes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.order("e1", "t1", 1000)
			c.happenAndLose(h, "e1", map[uint64]string{1: ReasonCrashedAtStart})
			if n := len(h.crashes["e1"]); n != 1 || !h.crashes["e1"][0].AtStart {
				t.Errorf("crashes %v, want that of t1 at its start", h.crashes["e1"])
			}
		})
	}
}

// A worker refuses connections, which one that lives may do for a while. Guards against an agent
// that takes it for ended, and whose entry starts the task elsewhere beside the run.
func TestRunsOfARefusingWorkerAreKeptUntilTheirLeaseExpires(t *testing.T) {
	for name, phase := range map[string]func(h *harness){
		"running":      func(h *harness) { h.begin("e1", "t1", 1000); h.wait(2 * startCrashWindow); h.poll() },
		"just started": func(h *harness) { h.begin("e1", "t1", 1000) },
		"start sent":   func(h *harness) { h.order("e1", "t1", 1000) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			phase(h)
			h.refuseFor(h.leaseExpiry() - 10*time.Millisecond)
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, pb.OrderState_ORDER_STATE_REFUSED)
			h.order("e1", "t2", 1000)
			h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
			h.refuseFor(20 * time.Millisecond)
			h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "the lease has lapsed")
		})
	}
}

// A worker refuses connections for longer than a lease, and answers again. Guards against tasks that
// are refused for good since they seem to have crashed it.
func TestRefusalForLongerThanALeaseIsNoCrash(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.refuseFor(h.leaseExpiry() + 20*time.Millisecond)
	h.end("t1", EndedLapsed)
	crashes["another incarnation answers"].happen(h)
	if len(h.crashes["e1"]) > 0 {
		t.Errorf("crashes %v", h.crashes["e1"])
	}
}

// A worker refuses connections for less than a lease. Its runs must go on and its ends be reported.
func TestRunsSurviveARefusal(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.begin("e1", "t2", 1000)
	h.refuseFor(h.times.Lease / 2)
	h.end("t1", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
	if l, _ := h.r.NextPoll(h.now, true); l.Until != h.clock()+h.times.Lease || l.LastEnd != h.endNumber {
		t.Errorf("the next poll requests a lease until %v and marks ends up to %d as seen, want %v and %d", l.Until, l.LastEnd, h.clock()+h.times.Lease, h.endNumber)
	}
	h.begin("e1", "t3", 1000)
	h.wantNoNews("e1", 2, pb.OrderState_ORDER_STATE_LOST)
}

// The worker never returns: runs held for its next incarnation must not stay for ever.
func TestUnansweredStartIsLostAfterTimeout(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.order("e1", "t1", 1000)
	l, _ := h.r.NextPoll(h.now, true)
	h.r.PollFailed(h.now, l, true)
	h.wait(h.leaseExpiry() + unfencedTimeout + 10*time.Millisecond)
	if len(h.r.runs) > 0 {
		t.Error("the run is still held")
	}
}

// Answers to calls that were made to an earlier incarnation arrive after the worker has
// restarted.
func TestAnswersOfEarlierIncarnationAreIgnored(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	l, _ := h.r.NextPoll(h.now, true)
	h.restartWorker(startMs + 1000)
	h.poll()
	h.begin("e1", "t1", 1000)
	h.r.PollAnswered(h.now, l, PollAnswer{StartUnixMs: startMs, Clock: time.Hour, Ended: []End{{Number: 9, Task: "t1", Run: 1, Ending: EndedFailed}}})
	h.r.PollFailed(h.now, l, true)
	h.r.StartAnswered(h.now, Start{Worker: l.Worker, Task: "t1", Run: 1}, Misdirected, time.Hour, "")
	h.ready()
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_FAILED, pb.OrderState_ORDER_STATE_LOST)
	if next, _ := h.r.NextPoll(h.now, false); next.Until > h.clock()+h.times.Lease {
		t.Errorf("lease until %v, by the clock of an earlier incarnation; the worker's clock shows %v", next.Until, h.clock())
	}
}

// A leave message names no incarnation. One of an earlier incarnation must not end the current
// one.
func TestDelayedLeaveOfEarlierIncarnation(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.r.HandleLeave(h.now, "w1")
	if _, known := h.r.Worker(); !known {
		t.Error("a worker that isn't draining was considered gone")
	}
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Draining = true }))
	h.r.HandleLeave(h.now, "w1")
	if _, known := h.r.Worker(); known {
		t.Error("a draining worker's leave was not handled")
	}
}

// Queued orders are checked against the worker's reduced capacity.
func TestShrunkWorkerRefusesQueuedOrdersThatNoLongerFit(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.begin("e1", "t0", 3000)
	h.order("e1", "large", 3500, waits(500))
	h.order("e1", "small", 1500, waits(500))
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Capacity.CPUMillis = 3200 }))
	h.ready()
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.wantNoNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED)
	if got := h.states["e1"].Capacity.CpuMillis; got != 3200 {
		t.Errorf("the entry received a capacity of %d", got)
	}
	h.order("e1", "other", 300)
	h.wantNews("e1", 4, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.end("t0", EndedDone)
	if got := h.started(); len(got) != 1 || got[0] != "small/1" {
		t.Errorf("started %v, want small", got)
	}
}

// The capacity falls below what is running: the runs go on and count until their ends are
// listed, and nothing starts beside them.
func TestRunsBeyondShrunkCapacityContinue(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.begin("e1", "t0", 3000)
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Capacity.CPUMillis = 1000 }))
	h.ready()
	if len(h.last.Stops) > 0 {
		t.Error("a run was stopped")
	}
	h.order("e1", "t1", 500)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Capacity = size.Size{} }))
	h.order("e1", "t2", 500)
	h.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.end("t0", EndedDone)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
}

// Capacity that is restored is used as soon as the worker reports it.
func TestGrownWorkerStartsQueuedOrders(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.begin("e1", "t0", 3000)
	h.order("e1", "t1", 3000, waits(500))
	h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Capacity.CPUMillis = 6000 }))
	h.ready()
	if got := h.started(); len(got) != 1 || got[0] != "t1/1" {
		t.Errorf("started %v, want t1", got)
	}
}

// A worker crashes. All entries, including those that link later, must receive the tasks that
// ran on it, whichever entry ordered them: another entry may be sent the job that crashed it.
func TestCrashIsReportedToAllEntries(t *testing.T) {
	for name, c := range crashes {
		t.Run(name, func(t *testing.T) { crashIsReportedToAllEntries(t, c) })
	}
}

func crashIsReportedToAllEntries(t *testing.T, c crash) {
	h := newIncarnationHarness(t, "e1", "e2")
	h.begin("e1", "long", 1000)
	h.wait(2 * startCrashWindow)
	h.poll()
	h.begin("e1", "crashes", 1000)
	h.wait(2 * startCrashWindow) // until it is noticed
	c.happenAndLose(h, "e1", map[uint64]string{1: ReasonCrashedLater, 2: ReasonCrashedAtStart})
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e3", Incarnation: "e3"}, 1, h.now.UnixNano())
	h.ready()
	for _, e := range []string{"e1", "e2", "e3"} {
		for _, c := range h.crashes[e] {
			if culprit := c.Task == "crashes"; c.Worker != (Incarnation{"w1", startMs}).String() || c.AtStart != culprit || c.Alone != culprit {
				t.Errorf("%s received %v", e, c)
			}
		}
		if n := len(h.crashes[e]); n != 2 {
			t.Errorf("%s received %d tasks, want 2", e, n)
		}
	}
}

// A worker that was asked to leave ends during its runs: no task is to blame.
func TestEndOfDrainingWorkerIsNoCrash(t *testing.T) {
	for name, c := range crashes {
		t.Run(name, func(t *testing.T) {
			h := newIncarnationHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Draining = true }))
			c.happenAndLose(h, "e1", map[uint64]string{1: ""})
			if len(h.r.crashes) > 0 {
				t.Errorf("crashes %v", h.r.crashes)
			}
		})
	}
}

// Several starts were in flight when the worker crashed. It is unknown which of them arrived,
// so none is reported as a crash, except a single one without other recent starts.
func TestStartInFlightIsNoCrashBesideOthers(t *testing.T) {
	for _, c := range []struct{ unanswered, begun, reported, alone int }{
		{1, 0, 1, 1}, {2, 0, 0, 0}, {1, 1, 1, 1}, {2, 2, 2, 0},
	} {
		h := newIncarnationHarness(t, "e1")
		for i := range c.begun {
			h.begin("e1", fmt.Sprint("begun", i), 100)
		}
		for i := range c.unanswered {
			h.order("e1", fmt.Sprint("sent", i), 100)
		}
		reported, alone := h.r.crashReports(), 0
		for _, m := range reported {
			if m.Alone {
				alone++
			}
		}
		if len(reported) != c.reported || alone != c.alone {
			t.Errorf("%+v: reported %v", c, reported)
		}
	}
}

// A report of another sender states a start time for a worker that states none. Because of it,
// the worker's own reports must not be rejected for ever.
func TestWorkerWithoutStartTimeOutlivesFalseReport(t *testing.T) {
	h := newHarness(t, "e1")
	h.r.HandleReport(h.now, worker(startMs))
	h.poll()
	if !h.r.HandleReport(h.now, worker(0)) {
		t.Fatal("its own report is not accepted")
	}
	h.poll()
	h.begin("e1", "t1", 1000)
}

// A worker restarts under its identifier and reports itself before its end was noticed.
// Entries must be able to tell the two incarnations apart, or they go on treating the new
// one as slow or failing.
func TestStateNamesTheIncarnation(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.wait(time.Second)
	before := h.states["e1"].Worker
	h.restartWorker(startMs + 5000)
	h.poll()
	h.wait(time.Second)
	if after := h.states["e1"].Worker; before == "" || after == "" || after == before {
		t.Errorf("worker %q after the restart, %q before, want two names", after, before)
	}
}

// A run was reported as lost while its worker was alive, and the worker lists it or its end later.
// Nothing else in the logs shows that the conclusion was wrong.
func TestRunFoundAfterItWasReportedAsLostIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		found func(*harness)
		want  string
	}{
		"running": {func(h *harness) { h.poll() }, "is running"},
		"ended":   {func(h *harness) { h.end("t1", EndedDone) }, "has ended as done"},
		"lapsed":  {func(h *harness) { h.end("t1", EndedLapsed) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			got := ""
			h.r.opts.OnDecision = func(d Decision) {
				if d.Event == "lost_run_found" {
					got = d.Reason
				}
			}
			h.begin("e1", "t1", 1000)
			h.r.handleSuperseded(h.now, "test")
			h.waitLinked(h.leaseExpiry())
			h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
			c.found(h)
			if got != c.want {
				t.Errorf("logged %q, want %q", got, c.want)
			}
		})
	}
}

// A report of another incarnation arrives while the current one, which has runs, doesn't answer.
// Guards against an agent that takes a late report of an ended incarnation for that of a new one,
// and reports the runs of a live worker as lost.
func TestReportOfAnotherIncarnationIsCheckedBeforeRunsAreLost(t *testing.T) {
	const lost = pb.OrderState_ORDER_STATE_LOST
	for name, c := range map[string]struct {
		then func(h *harness, l Poll)
		want pb.OrderState
	}{
		"it has ended": {func(h *harness, l Poll) {
			h.r.PollMisdirected(h.now, l)
			h.wantNoNews("e1", 1, lost)
			h.end("t1", EndedDone)
		}, pb.OrderState_ORDER_STATE_DONE},
		"it is the new one": {func(h *harness, l Poll) {
			h.running = map[string]uint32{}
			renewed := h.now
			h.answer(l)
			h.wantLostAtExpiry(renewed, "e1", 1, "")
		}, lost},
		"neither answers": {func(h *harness, l Poll) {
			h.refuseFor(h.leaseExpiry() - 100*time.Millisecond)
			h.wantNoNews("e1", 1, lost)
			h.refuseFor(120 * time.Millisecond)
			if w, ok := h.r.Worker(); !ok || w.ID != "w0" {
				h.t.Errorf("worker %v, want the one that has reported", w)
			}
		}, lost},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			h.failPolls()
			report := Worker{Incarnation: Incarnation{ID: "w0"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}}
			h.r.HandleReport(h.now, report)
			if !h.ready().Poll {
				t.Error("no immediate poll follows")
			}
			h.wantNoNews("e1", 1, lost)
			l, _ := h.r.NextPoll(h.now, true)
			if l.Worker != report.Incarnation || l.Until != 0 {
				t.Errorf("poll of %v with a lease until %v, want one of w0 without", l.Worker, l.Until)
			}
			c.then(h, l)
			h.wantNews("e1", 1, c.want, "")
		})
	}
}

// A worker says that it leaves while a run is left. Guards against an agent that reports the run as
// lost while it goes on, and against one that renews its lease.
func TestRunsOfALeavingWorkerGoOnUntilTheyEnd(t *testing.T) {
	for name, c := range map[string]struct {
		then func(h *harness)
		want pb.OrderState
	}{
		"the run ends":     {func(h *harness) { h.end("t1", EndedDone) }, pb.OrderState_ORDER_STATE_DONE},
		"the worker ends":  {func(h *harness) { h.refuseFor(h.leaseExpiry() + 10*time.Millisecond) }, pb.OrderState_ORDER_STATE_LOST},
		"the lease lapses": {func(h *harness) { h.end("t1", EndedLapsed) }, pb.OrderState_ORDER_STATE_LOST},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			h.r.HandleLeave(h.now, "w1")
			h.ready()
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
			h.order("e1", "t2", 1000)
			h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
			if l, ok := h.r.NextPoll(h.now, true); !ok || l.Until != 0 {
				t.Errorf("poll %v with a lease until %v, want one without", ok, l.Until)
			}
			c.then(h)
			h.wantNews("e1", 1, c.want, "")
			if _, known := h.r.Worker(); known {
				t.Error("the worker is still known")
			}
		})
	}
}

// The worker lists a run that was reported as lost. Guards against an agent that lets it go on, beside
// the run that was ordered in its place, and starts others in its capacity.
func TestRunListedAfterItWasReportedAsLostIsStopped(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 3000)
	older, _ := h.r.NextPoll(h.now, true)
	h.r.handleSuperseded(h.now, "test")
	h.waitLinked(h.leaseExpiry())
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w1"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	h.answer(older)
	if len(h.last.Stops) > 0 {
		t.Error("a run is stopped because of a poll that was sent before its end was reported")
	}
	h.poll()
	if len(h.last.Stops) != 1 || h.last.Stops[0].Task != "t1" {
		t.Errorf("stops %v, want one of t1", h.last.Stops)
	}
	if l, _ := h.r.NextPoll(h.now, true); l.Until != 0 {
		t.Errorf("the lease is renewed until %v", l.Until)
	}
	h.order("e1", "t2", 2000)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNotAccepting)
	h.end("t1", EndedStopped)
	h.begin("e1", "t3", 2000)
}

// A late report of an ended incarnation is followed by an answer of the current one, which then
// falls silent. Guards against an agent that goes on asking the ended incarnation only.
func TestWorkerThatAnswersAfterALateReportIsPolledOn(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	inFlight, _ := h.r.NextPoll(h.now, true)
	h.failPolls()
	h.r.HandleReport(h.now, Worker{Incarnation: Incarnation{ID: "w0"}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}})
	h.answer(inFlight)
	if l, _ := h.r.NextPoll(h.now, true); l.Worker.ID != "w1" {
		t.Errorf("poll of %v, want one of w1", l.Worker)
	}
	h.failPolls()
	h.refuseFor(h.leaseExpiry() + 20*time.Millisecond)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "")
}

func reportOf(id string, sequence uint64, draining bool) Worker {
	return Worker{Incarnation: Incarnation{ID: id}, Service: "s", Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000}, Sequence: sequence, Draining: draining}
}

// The next incarnation has reported, and then the current one is found to have ended. Guards against
// an agent that has forgotten the report and knows no worker until the next one.
func TestNextIncarnationIsKnownOnceTheCurrentOneHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(h *harness, l Poll, s Start)
	}{
		"it answers after a poll was misdirected": {nil, func(h *harness, l Poll, _ Start) {
			h.r.PollMisdirected(h.now, l)
			h.supersede("w2")
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
		}},
		"it answers after a start was misdirected": {nil, func(h *harness, _ Poll, s Start) {
			h.r.StartAnswered(h.now, s, Misdirected, 0, "")
			h.supersede("w2")
			h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
		}},
		"its lease has expired after it announced its end": {
			func(h *harness, _ Poll, _ Start) { h.r.HandleLeave(h.now, "w1") },
			func(h *harness, _ Poll, _ Start) { h.refuseFor(h.leaseExpiry() + 20*time.Millisecond) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			h.order("e1", "t2", 1000)
			s := h.last.Starts[0]
			if c.before != nil {
				c.before(h, Poll{}, s)
			}
			h.failPolls()
			l, _ := h.r.NextPoll(h.now, true)
			h.r.HandleReport(h.now, reportOf("w2", 1, false))
			c.after(h, l, s)
			h.ready()
			if w, known := h.r.Worker(); !known || w.ID != "w2" {
				t.Errorf("worker %v, known %v, want w2", w, known)
			}
			h.waitLinked(h.leaseExpiry())
			h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "")
		})
	}
}

// The next incarnation reports, says that it leaves, and only then answers. Guards against starts on a
// worker that leaves.
func TestNextIncarnationThatLeavesGetsNoWork(t *testing.T) {
	for name, leaves := range map[string]func(h *harness){
		"an older report arrives late": func(h *harness) { h.r.HandleReport(h.now, reportOf("w2", 3, false)) },
		"it announces its end":         func(h *harness) { h.r.HandleLeave(h.now, "w2") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.begin("e1", "t1", 1000)
			h.failPolls()
			h.r.HandleReport(h.now, reportOf("w2", 5, name != "it announces its end"))
			l, _ := h.r.NextPoll(h.now, true)
			leaves(h)
			h.running = map[string]uint32{}
			h.answer(l)
			h.order("e1", "t2", 1000)
			if got := h.started(); len(got) > 0 {
				t.Errorf("started %v", got)
			}
		})
	}
}

// A worker announces its end, and the last start on it is refused. Guards against an agent that polls
// the worker for ever.
func TestLeavingWorkerIsForgottenAfterItsLastStartIsRefused(t *testing.T) {
	h := newHarness(t, "e1")
	h.order("e1", "t1", 1000)
	s := h.last.Starts[0]
	h.r.HandleLeave(h.now, "w1")
	h.r.StartAnswered(h.now, s, Refused, h.clock(), "late")
	h.ready()
	if _, known := h.r.Worker(); known {
		t.Error("the worker is still known")
	}
}

// Calls are answered as misdirected while the incarnation that they name lives. Guards against an
// agent that takes it for ended, so that its tasks are started elsewhere beside its runs.
func TestMisdirectedCallsEndNoRun(t *testing.T) {
	const lost, refused = pb.OrderState_ORDER_STATE_LOST, pb.OrderState_ORDER_STATE_REFUSED
	for name, call := range map[string]func(h *harness){
		"poll": func(h *harness) {
			l, _ := h.r.NextPoll(h.now, true)
			h.r.PollMisdirected(h.now, l)
		},
		"start": func(h *harness) {
			h.order("e1", "t2", 1000)
			h.running["t2"] = 1
			h.r.StartAnswered(h.now, h.last.Starts[0], Misdirected, 0, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1", "e2")
			h.begin("e1", "t1", 1000)
			call(h)
			h.ready()
			h.wantNoNews("e1", 1, lost)
			if l, _ := h.r.NextPoll(h.now, true); l.Until != 0 {
				t.Errorf("lease until %v requested of a worker that may have ended", l.Until)
			}
			h.order("e2", "t3", 1000)
			if got := h.started(); len(got) > 0 {
				t.Errorf("started %v", got)
			}
			h.poll()
			h.end("t1", EndedDone)
			h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_DONE, "")
			h.wantNoNews("e1", 2, lost, refused)
		})
	}
}

// Calls are answered as misdirected and no other incarnation reports. Guards against runs that are
// waited for for good.
func TestRunsOfAMisdirectedWorkerAreLostOnceTheirLeaseHasExpired(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	misdirect := func(d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.frame("e1", &pb.OrderFrame{})
			l, _ := h.r.NextPoll(h.now, true)
			h.r.PollMisdirected(h.now, l)
			h.wait(10 * time.Millisecond)
		}
	}
	misdirect(h.leaseExpiry() - 20*time.Millisecond)
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
	misdirect(60 * time.Millisecond)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "the lease has lapsed")
}

// waitLinked lets time pass while the entries go on sending frames.
func (h *harness) waitLinked(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		for _, e := range h.r.entries {
			h.frame(e.incarnation, &pb.OrderFrame{})
		}
		h.wait(min(pollInterval, end.Sub(h.now)))
	}
}

// wantLostAtExpiry expects an order to be reported as lost once a lease that was renewed at the given
// time has certainly expired, and not before.
func (h *harness) wantLostAtExpiry(renewed time.Time, entry string, number uint64, reason string) {
	h.t.Helper()
	h.waitLinked(renewed.Add(h.leaseExpiry() - 20*time.Millisecond).Sub(h.now))
	h.wantNoNews(entry, number, pb.OrderState_ORDER_STATE_LOST)
	h.waitLinked(40 * time.Millisecond)
	h.wantNews(entry, number, pb.OrderState_ORDER_STATE_LOST, reason)
}

// newSupersededHarness returns a harness with t1 on a worker whose lease was just renewed, and whose next
// incarnation has answered then.
func newSupersededHarness(t *testing.T, keepsID bool, before func(h *harness)) *harness {
	h, id := newHarness(t, "e1", "e2"), "w2"
	if keepsID {
		h, id = newIncarnationHarness(t, "e1", "e2"), "w1"
	}
	h.begin("e1", "t1", 3000)
	h.poll()
	if before != nil {
		before(h)
	}
	l, ok := h.r.NextPoll(h.now, true)
	if ok {
		h.r.PollMisdirected(h.now, l)
	}
	h.supersede(id)
	h.poll()
	return h
}

// Another incarnation answers while runs of the earlier one go on. Guards against an agent that takes
// them for ended before their lease has expired, so that their tasks are started elsewhere beside them.
func TestRunsOfASupersededIncarnationAreKeptUntilTheirLeaseExpires(t *testing.T) {
	const lost = pb.OrderState_ORDER_STATE_LOST
	for name, c := range map[string]struct {
		keepsID bool
		before  func(h *harness)
	}{
		"new identifier":  {},
		"same identifier": {keepsID: true},
		"it has drained": {before: func(h *harness) {
			h.r.HandleReport(h.now, reportOf("w1", 2, true))
			h.poll()
		}},
		"it has announced its end": {before: func(h *harness) { h.r.HandleLeave(h.now, "w1") }},
		"same identifier, it has drained": {keepsID: true, before: func(h *harness) {
			h.r.HandleReport(h.now, worker(startMs, func(w *Worker) { w.Sequence, w.Draining = 2, true }))
			h.poll()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSupersededHarness(t, c.keepsID, c.before)
			h.waitLinked(h.leaseExpiry() - 20*time.Millisecond)
			h.wantNoNews("e1", 1, lost)
			h.order("e2", "t1", 1000)
			h.wantNews("e2", 1, pb.OrderState_ORDER_STATE_REFUSED, ReasonAlreadyRunning)
			h.waitLinked(40 * time.Millisecond)
			h.wantNews("e1", 1, lost, "")
			h.begin("e2", "t1", 1000)
		})
	}
}

// A run on an earlier incarnation is stopped by its entry. Guards against a run that is reported as
// ended though nothing can stop it, and against a stop that is sent to the next incarnation.
func TestStoppedRunOfASupersededIncarnationEndsWithItsLease(t *testing.T) {
	h := newSupersededHarness(t, false, nil)
	h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	h.waitLinked(h.leaseExpiry() - 20*time.Millisecond)
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, pb.OrderState_ORDER_STATE_STOPPED)
	if len(h.last.Stops) > 0 {
		t.Errorf("stops %v", h.last.Stops)
	}
	h.waitLinked(40 * time.Millisecond)
	h.wantNews("e1", 1, pb.OrderState_ORDER_STATE_LOST, "")
}

// An agent finds a run of its predecessor, and then another incarnation answers. Guards against entries
// that are told that nothing of the predecessor's is left while the run goes on.
func TestOrphanedRunOfASupersededIncarnationIsLeftUntilItsLeaseExpires(t *testing.T) {
	h := newHarness(t, "e1")
	h.running["t9"] = 1
	h.poll()
	h.supersede("w2")
	h.failPolls()
	h.supersede("w3")
	h.waitLinked(h.leaseExpiry() - 40*time.Millisecond)
	if h.states["e1"].Clean {
		t.Error("reported as clean")
	}
	h.waitLinked(60*time.Millisecond + defaultReportInterval)
	if !h.states["e1"].Clean {
		t.Error("not reported as clean after the lease")
	}
}

// The runs of an earlier incarnation are waited for. Guards against a new one that gets no work, or
// whose lease isn't renewed, meanwhile.
func TestNextIncarnationIsUsedWhileRunsOfTheEarlierOneAreWaitedFor(t *testing.T) {
	for name, keepsID := range map[string]bool{"new identifier": false, "same identifier": true} {
		t.Run(name, func(t *testing.T) {
			h := newSupersededHarness(t, keepsID, nil)
			h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
			h.waitLinked(h.leaseExpiry() / 2)
			h.poll()
			h.begin("e2", "t2", 4000)
			if l, _ := h.r.NextPoll(h.now, true); l.Until != h.clock()+h.times.Lease {
				t.Errorf("lease until %v requested, want %v", l.Until, h.clock()+h.times.Lease)
			}
			h.order("e2", "t3", 1000)
			h.wantNews("e2", 2, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
			h.waitLinked(h.leaseExpiry())
			h.end("t2", EndedDone)
			h.begin("e2", "t4", 4000)
		})
	}
}

// The superseded incarnation answers again. Guards against an agent that doesn't take note of the ends
// of its runs, or doesn't count those that go on.
func TestSupersededIncarnationThatAnswersAgainKeepsItsRuns(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 3000)
	h.begin("e1", "t2", 1000)
	h.failPolls()
	h.supersede("w2")
	h.failPolls()
	h.r.HandleReport(h.now, reportOf("w1", 9, false))
	h.running = map[string]uint32{"t1": 1, "t2": 1}
	h.poll()
	h.end("t2", EndedDone)
	h.wantNews("e1", 2, pb.OrderState_ORDER_STATE_DONE, "")
	h.order("e1", "t3", 2000)
	h.wantNews("e1", 3, pb.OrderState_ORDER_STATE_REFUSED, ReasonNoCapacity)
	h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	if len(h.last.Stops) != 1 || h.last.Stops[0].Worker.ID != "w1" {
		t.Errorf("stops %v, want one of t1 at w1", h.last.Stops)
	}
}

// A worker starts again twice under its identifier, and the second incarnation hasn't been polled. Guards
// against taking for ended a late start that the second one has carried out, and may go on with.
func TestUnfencedRunOfAnIncarnationThatWasNeverPolled(t *testing.T) {
	h := newIncarnationHarness(t, "e1")
	h.order("e1", "t1", 1000)
	renewed := h.now
	h.restartWorker(2 * startMs)
	h.waitLinked(renewed.Add(h.leaseExpiry() + 20*time.Millisecond).Sub(h.now))
	third := h.now
	h.restartWorker(3 * startMs)
	h.poll()
	h.poll()
	h.waitLinked(third.Add(h.leaseExpiry() - 20*time.Millisecond).Sub(h.now))
	h.wantNoNews("e1", 1, pb.OrderState_ORDER_STATE_LOST)
}
