package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// fixture is a dispatcher with scripted agents, on virtual time.
type fixture struct {
	t        *testing.T
	d        *Dispatcher
	now      time.Time
	times    bounds.Timeouts
	agents   map[string]*fakeAgent // by incarnation
	answers  map[uint64]Answer
	jobs     int
	requests []AgentRequest
}

type fakeAgent struct {
	name, incarnation string
	worker            string // empty: one that all processes of the agent are beside
	epoch, seq, ack   uint64
	capacity, used    int64
	orders            []*pb.Order // received and not ended
	stops             []uint64
	releases          int64 // CPU reported as soon released
	seen              uint64
	clean             bool
	labels            []string
	entries           []string // last received
	invitedBy         []string
	expedite          bool
	held              string          // why it takes no orders; empty: it takes them
	domain            string          // empty: that of the entry
	evacuations       *pb.Evacuations // last received
}

func newFixture(t *testing.T, agents ...string) *fixture {
	times, err := bounds.Derive(bounds.Params{})
	if err != nil {
		t.Fatal(err)
	}
	b := &fixture{t: t, now: time.Unix(1000, 0), times: times, agents: map[string]*fakeAgent{}, answers: map[uint64]Answer{}}
	b.d = New(Options{
		Entry: "entry-1", Incarnation: "e1", FailureDomain: "hall", Timeouts: times,
		Link: link.Options{AckDelay: 50 * time.Millisecond, AckTimeout: time.Minute, Heartbeat: time.Minute, HeartbeatTimeout: time.Hour},
	})
	// Its startup period is over.
	b.d.recordFirstInput(b.now.Add(-startupPeriod))
	for _, a := range agents {
		b.attach(a, a+"-1")
	}
	return b
}

func (b *fixture) attach(name, incarnation string) *fakeAgent {
	a := b.agents[incarnation]
	g := &pb.AgentGreeting{Agent: name, Incarnation: incarnation, FailureDomain: "hall"}
	if a != nil && a.domain != "" {
		g.FailureDomain = a.domain
	}
	if a == nil {
		a = &fakeAgent{name: name, incarnation: incarnation, capacity: 4000, clean: true}
		b.agents[incarnation] = a
	} else {
		g.Met = []*pb.MetEntry{{Incarnation: "e1", SeenOrder: a.seen}}
	}
	a.epoch++
	a.seq, a.ack = 0, 0
	g.Epoch = a.epoch
	b.d.LinkUp(b.now, g)
	b.report(a)
	return a
}

func (b *fixture) report(a *fakeAgent, news ...*pb.OrderNews) {
	a.seq++
	b.d.Step(b.now, a.incarnation, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: a.currentState(), News: news})
	b.ready()
}

// currentState returns the state that the agent reports.
func (a *fakeAgent) currentState() *pb.WorkerState {
	s := &pb.WorkerState{
		Worker: cmp.Or(a.worker, "w-"+a.name), Service: "s", Accepting: a.held == "", Held: a.held, Clean: a.clean, SeenOrder: a.seen, Labels: a.labels,
		Capacity: &pb.Size{CpuMillis: uint32(a.capacity), MemoryMb: 1000},
		Room:     &pb.Room{CpuMillis: int32(a.capacity - a.used), MemoryMb: 1000},
	}
	for range forecast.Horizons {
		s.Frees = append(s.Frees, uint32(a.releases))
	}
	return s
}

func (b *fixture) ready() {
	r := b.d.Ready(b.now)
	for _, f := range r.Frames {
		a := b.agents[f.Agent]
		if a == nil {
			b.t.Fatalf("a frame for the unknown agent %s", f.Agent)
		}
		a.ack = f.Frame.Seq
		a.orders = append(a.orders, f.Frame.Orders...)
		a.stops = append(a.stops, f.Frame.Stops...)
		a.expedite = f.Frame.Eager
		a.invitedBy = append(a.invitedBy, f.Frame.InvitedBy...)
		if len(f.Frame.Entries) > 0 {
			a.entries = f.Frame.Entries
		}
		if f.Frame.Evacuations != nil {
			a.evacuations = f.Frame.Evacuations
		}
		for _, o := range f.Frame.Orders {
			a.seen = o.Number
			a.used += int64(o.Size.CpuMillis)
		}
	}
	b.requests = append(b.requests, r.AgentRequests...)
	for _, a := range r.Answers {
		b.answers[a.Number] = a
	}
}

func (b *fixture) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(10*time.Millisecond, end.Sub(b.now)))
		b.d.Tick(b.now)
		b.ready()
	}
}

func queue() *pb.Queue {
	return &pb.Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.6, TargetMs: 60, TimeoutMs: 1500}
}

func tasks(n int, cpu int64, estimated time.Duration) Job {
	return Job{Queue: queue(), Steps: []Step{{Count: n, Size: size.Size{CPUMillis: cpu, MemoryMB: 1}, Estimated: estimated}}}
}

// newTask returns the only task of a small job that has not been submitted.
func (b *fixture) newTask(late bool) *task {
	in := tasks(1, 1000, time.Second)
	j := &job{Job: in, queue: in.Queue, late: late, objective: b.now.Add(time.Minute)}
	b.d.plan(j)
	return &task{job: j}
}

func (b *fixture) submit(j Job) (uint64, *Answer) {
	b.jobs++
	j.ID = fmt.Sprintf("%016x", b.jobs)
	n, refused := b.d.Submit(b.now, j)
	b.ready()
	return n, refused
}

func (b *fixture) mustSubmit(j Job) uint64 {
	b.t.Helper()
	n, refused := b.submit(j)
	if refused != nil {
		b.t.Fatalf("refused: %+v", refused)
	}
	return n
}

// orders returns all orders at agents, oldest first.
func (b *fixture) orders() (out []*pb.Order) {
	for _, a := range b.agents {
		out = append(out, a.orders...)
	}
	slices.SortFunc(out, func(x, y *pb.Order) int { return int(x.Number) - int(y.Number) })
	return out
}

// holder returns the agent that holds an order.
func (b *fixture) holder(o *pb.Order) *fakeAgent {
	for _, a := range b.agents {
		if slices.Contains(a.orders, o) {
			return a
		}
	}
	b.t.Fatalf("no agent holds order %d", o.Number)
	return nil
}

// reportOrder reports an order's state; one that ends the order frees its capacity.
func (b *fixture) reportOrder(o *pb.Order, state pb.OrderState, reason string, ran time.Duration) {
	a := b.holder(o)
	switch state {
	case pb.OrderState_ORDER_STATE_STARTED, pb.OrderState_ORDER_STATE_STALLED:
	default:
		a.used -= int64(o.Size.CpuMillis)
		a.orders = slices.DeleteFunc(a.orders, func(x *pb.Order) bool { return x == o })
	}
	b.report(a, &pb.OrderNews{Number: o.Number, State: state, Reason: reason, RunMs: uint32(ran.Milliseconds())})
}

func (b *fixture) wantAnswer(n uint64, want Outcome, reason string) {
	b.t.Helper()
	a, ok := b.answers[n]
	if !ok || a.Outcome != want || reason != "" && a.Reason != reason {
		b.t.Errorf("job %d: answer %+v (%v), want %v (%s)", n, a, ok, want, reason)
	}
}

func TestJobIsCompletedByAllItsTasks(t *testing.T) {
	b := newFixture(t, "a", "b")
	n := b.mustSubmit(tasks(3, 1000, 100*time.Millisecond))
	orders := b.orders()
	if len(orders) != 3 {
		t.Fatalf("%d orders, want 3", len(orders))
	}
	for i, o := range orders {
		if _, ok := b.answers[n]; ok {
			t.Fatalf("answered after %d of 3 tasks", i)
		}
		b.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	b.wantAnswer(n, Completed, "")
}

func TestStepsRunInTheirOrder(t *testing.T) {
	b := newFixture(t, "a")
	j := tasks(2, 500, 50*time.Millisecond)
	j.Steps = append(j.Steps, Step{Count: 1, Size: size.Size{CPUMillis: 500}, Estimated: 50 * time.Millisecond, After: []int{0}})
	n := b.mustSubmit(j)
	first := b.orders()
	if len(first) != 2 {
		t.Fatalf("%d orders, want the first step's 2", len(first))
	}
	b.reportOrder(first[0], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	if got := len(b.orders()); got != 1 {
		t.Fatalf("%d orders while a task of the previous step runs, want 1", got)
	}
	b.reportOrder(first[1], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	last := b.orders()
	if len(last) != 1 || last[0].Task[len(last[0].Task)-4:] != ".1.0" {
		t.Fatalf("orders %v, want the second step's", last)
	}
	b.reportOrder(last[0], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// A worker fails everything. The caller doesn't notice while another worker runs the task,
// and gets the failure when the queue's attempts are used up.
func TestFailedTaskRunsElsewhereUpToTheAttempts(t *testing.T) {
	b := newFixture(t, "a", "b")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	first := b.orders()[0]
	at := b.holder(first).name
	b.reportOrder(first, pb.OrderState_ORDER_STATE_FAILED, "", 10*time.Millisecond)
	second := b.orders()[0]
	if got := b.holder(second).name; got == at || second.Run <= first.Run {
		t.Errorf("second run %d at %s, want a higher number than %d elsewhere than %s", second.Run, got, first.Run, at)
	}
	b.reportOrder(second, pb.OrderState_ORDER_STATE_FAILED, "", 10*time.Millisecond)
	b.wantAnswer(n, Failed, ReasonAttempts)
	if len(b.orders()) != 0 {
		t.Error("a third run was ordered")
	}
}

// Another entry has run the task before, for the caller's first attempt. The worker refuses
// run numbers that it has seen, and the job would never start there.
func TestRunNumberExceedsThoseOfEarlierAttempt(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	first := b.orders()[0]
	b.reportOrder(first, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonOldRun, 0)
	if again := b.orders(); len(again) != 1 || again[0].Run < first.Run+100 {
		t.Errorf("orders %v, want one with a run number far above %d", again, first.Run)
	}
}

// All workers are full of long tasks. A job is refused at once, with a time to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(4, 1000, time.Second))
	_, refused := b.submit(tasks(1, 1000, 100*time.Millisecond))
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonOverload || refused.RetryAfter < time.Second {
		t.Errorf("answer %+v, want not run with a RetryAfter", refused)
	}
	if len(b.orders()) != 4 {
		t.Error("a task of the refused job was ordered")
	}
}

// All workers are full, but one is soon released: the job waits there.
func TestJobWaitsForCapacityReleasedInTime(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(4, 1000, 200*time.Millisecond))
	b.agents["a-1"].releases = 1000
	b.report(b.agents["a-1"])
	b.mustSubmit(tasks(1, 1000, 200*time.Millisecond))
	if got := len(b.orders()); got != 5 {
		t.Errorf("%d orders, want the fifth to wait at the agent", got)
	}
}

// Jobs that can't be completed are refused before anything starts, so that the caller can use
// its time otherwise.
func TestImmediateRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		job    Job
		agents []string
		reason string
	}{
		"no worker":   {tasks(1, 1000, time.Second), nil, ReasonNoWorkers},
		"too large":   {tasks(1, 4001, time.Second), []string{"a"}, ReasonTooLarge},
		"unsupported": {Job{Queue: queue(), Unsupported: "gangs", Steps: []Step{{Count: 1}}}, []string{"a"}, ReasonUnsupported + ": gangs"},
		"hopeless":    {tasks(1, 100, time.Minute), []string{"a"}, ReasonInfeasible},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, c.agents...)
			_, refused := b.submit(c.job)
			if refused == nil || refused.Outcome != NotRun || refused.Reason != c.reason {
				t.Errorf("answer %+v, want not run for %q", refused, c.reason)
			}
			if len(b.orders()) != 0 {
				t.Error("something was ordered")
			}
		})
	}
}

// A caller disconnects. Its tasks would keep workers from other jobs.
func TestRunsOfDisconnectedCallerAreStopped(t *testing.T) {
	b := newFixture(t, "a")
	n := b.mustSubmit(tasks(2, 1000, time.Second))
	b.d.CallerDisconnected(b.now, n)
	b.ready()
	if got := len(b.agents["a-1"].stops); got != 2 {
		t.Errorf("%d stops, want 2", got)
	}
}

// A link breaks with orders on it. Orders that the agent never received will not start, so
// they are placed again at once; those that it has received stay there.
func TestOrdersOfBrokenLink(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(2, 1000, 400*time.Millisecond))
	a := b.agents["a-1"]
	received, lost := a.orders[0], a.orders[1]
	b.reportOrder(received, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	a.seen = received.Number
	a.orders = a.orders[:1]
	b.d.LinkDown(b.now, "a-1", a.epoch)
	b.advance(50 * time.Millisecond)
	b.attach("a", "a-1")
	if len(a.orders) != 2 || a.orders[1].Task != lost.Task || a.orders[1].Number <= lost.Number {
		t.Errorf("orders %v, want the lost one again under a new number", a.orders)
	}
}

// An agent can't be reached any more. Its worker may go on with a task until its lease ends,
// so the task may run elsewhere only after that. A caller whose time limit is earlier is
// answered at once.
func TestTasksOfLostAgentRunElsewhereAfterItsRuns(t *testing.T) {
	b := newFixture(t, "a")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	longLimit := b.mustSubmit(j)
	j = tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = b.times.RunsEndedAfter + 100*time.Millisecond
	shortLimit := b.mustSubmit(j)
	a := b.agents["a-1"]
	for _, o := range slices.Clone(a.orders) {
		b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	}
	b.attach("b", "b-1")
	b.d.LinkDown(b.now, "a-1", a.epoch)
	b.advance(b.times.ReconnectTimeout + 10*time.Millisecond)
	b.wantAnswer(shortLimit, Unknown, ReasonAgentLost)
	b.advance(b.times.RunsEndedAfter - b.times.ReconnectTimeout - 30*time.Millisecond)
	if got := len(b.agents["b-1"].orders); got != 0 {
		t.Fatalf("%d orders elsewhere before the runs must have ended", got)
	}
	b.advance(50 * time.Millisecond)
	if got := len(b.agents["b-1"].orders); got != 1 {
		t.Fatalf("%d orders elsewhere after the runs must have ended, want 1", got)
	}
	if _, ok := b.answers[longLimit]; ok {
		t.Error("the job with the long time limit was answered")
	}
}

// An agent is restarted while its worker runs a task. Run elsewhere at once, the task would
// run twice at a time until the first run's lease ended.
func TestTasksOfRestartedAgentWaitForOrphanedRuns(t *testing.T) {
	b := newFixture(t, "a", "b")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	b.mustSubmit(j)
	o := b.orders()[0]
	old := b.holder(o)
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	old.orders = nil
	b.agents[old.name+"-2"] = &fakeAgent{name: old.name, incarnation: old.name + "-2", capacity: 4000, clean: false}
	next := b.attach(old.name, old.name+"-2")
	b.advance(100 * time.Millisecond)
	if got := len(b.orders()); got != 0 {
		t.Fatalf("%d orders while runs of the earlier process may be left", got)
	}
	next.clean = true
	b.report(next)
	if got := len(b.orders()); got != 1 {
		t.Errorf("%d orders when no run is left, want 1", got)
	}
}

// An estimate is half of what a job's tasks take. Moving runs on that evidence alone wasted a
// fifteenth of the work of a day with low load, since the new runs last as long.
func TestSlowRunIsMovedOnlyWithEvidenceBeyondEstimate(t *testing.T) {
	stall := func(b *fixture, o *pb.Order) {
		a := b.holder(o)
		b.report(a, &pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_STALLED, RunMs: 100, RemainingMs: 300})
	}
	t.Run("estimate alone", func(t *testing.T) {
		b := newFixture(t, "a", "b")
		b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
		stall(b, b.orders()[0])
		if len(b.agents["a-1"].stops)+len(b.agents["b-1"].stops) != 0 {
			t.Error("the run was stopped")
		}
	})
	t.Run("task of the same step", func(t *testing.T) {
		b := newFixture(t, "a", "b")
		b.mustSubmit(tasks(2, 3000, 100*time.Millisecond))
		slow, quick := b.orders()[0], b.orders()[1]
		at := b.holder(slow)
		stall(b, slow)
		b.reportOrder(quick, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
		if !slices.Contains(at.stops, slow.Number) {
			t.Fatal("the run was not stopped")
		}
		b.reportOrder(slow, pb.OrderState_ORDER_STATE_STOPPED, "", 120*time.Millisecond)
		if again := b.orders(); len(again) != 1 || b.holder(again[0]) == at {
			t.Errorf("orders %v, want one elsewhere", again)
		}
	})
}

// A run's progress shows that it will end after its caller's time limit. Continued, it would
// keep a worker from other jobs, and the caller would be the last to know.
func TestInfeasibleJobIsAbandonedAtOnce(t *testing.T) {
	b := newFixture(t, "a")
	n := b.mustSubmit(tasks(1, 1000, time.Second))
	o := b.orders()[0]
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.advance(200 * time.Millisecond)
	b.report(b.holder(o), &pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_STALLED, RunMs: 200, RemainingMs: 1400})
	b.wantAnswer(n, Unknown, ReasonInfeasible)
}

// Nothing of a job has started at its time limit, but an order is still live: "not run"
// would be a guess.
func TestNotRunRequiresThatNoOrderIsLive(t *testing.T) {
	b := newFixture(t, "a")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	b.advance(1490 * time.Millisecond)
	if _, ok := b.answers[n]; ok {
		t.Fatal("answered before the time limit")
	}
	b.advance(20 * time.Millisecond)
	b.wantAnswer(n, Unknown, ReasonDeadline)
	m := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	o := b.orders()[len(b.orders())-1]
	b.advance(100 * time.Millisecond)
	b.agents["a-1"].used = 5000 // full even without this order
	b.reportOrder(o, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaitTimeout, 0)
	b.wantAnswer(m, NotRun, ReasonNoFreeWorker)
}

// A second entry or a stale read supplies an older configuration. Applied, it would restore
// routes that operators have deleted.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := newFixture(t)
	for _, c := range []struct {
		version uint64
		want    bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {7, false}} {
		if got := b.d.SetConfiguration(&pb.Configuration{Version: c.version}); got != c.want {
			t.Errorf("version %d in force: %v, want %v", c.version, got, c.want)
		}
	}
	if got := b.d.Configuration().Version; got != 9 {
		t.Errorf("version %d, want 9", got)
	}
}

// A caller's connection breaks and it sends its job again to the same entry, which still has
// it. A second set of runs would repeat side effects.
func TestJobSentAgainToTheSameEntryIsJoined(t *testing.T) {
	b := newFixture(t, "a")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.ID = "00000000000000ff"
	first, _ := b.d.Submit(b.now, j)
	second, _ := b.d.Submit(b.now, j)
	b.ready()
	if first != second || len(b.orders()) != 1 {
		t.Errorf("jobs %d and %d with %d orders, want one job with one order", first, second, len(b.orders()))
	}
}

// Estimates of a queue are off by half either way, job by job. For a job with a long estimate,
// the better prediction lies between it and the queue's typical run time.
func TestRunTimesAreLearnedRelativeToEstimates(t *testing.T) {
	l := &runTimeModel{}
	for i := range 400 {
		ran := 800 * time.Millisecond
		if i%2 == 0 {
			ran = 1200 * time.Millisecond
		}
		estimated := ran * 3 / 2
		if i%4 < 2 {
			estimated = ran * 2 / 3
		}
		l.observe(estimated, ran)
	}
	long := l.expected(2400 * time.Millisecond)
	if long < 900*time.Millisecond || long > 1800*time.Millisecond {
		t.Errorf("expected %v of an estimate of 2.4 s, want between the typical run time and the estimate", long)
	}
	if least := l.lowerBound(long); least >= long || least < 500*time.Millisecond {
		t.Errorf("lower bound %v of %v", least, long)
	}
}

// The replies to two starts are lost. One task has run and ended before its start was
// reported; the other never began, and its refusal comes last. Something has run.
func TestNotRunIsRuledOutByEndWithoutStart(t *testing.T) {
	b := newFixture(t, "a")
	n := b.mustSubmit(tasks(2, 1000, 100*time.Millisecond))
	ran, refused := b.orders()[0], b.orders()[1]
	b.reportOrder(ran, pb.OrderState_ORDER_STATE_DONE, "", 30*time.Millisecond)
	b.advance(100 * time.Millisecond)
	b.reportOrder(refused, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonUnanswered, 0)
	if a, ok := b.answers[n]; ok && a.Outcome == NotRun {
		t.Errorf("answer %+v of a job of which a task has run", a)
	}
}

// After a suspension, an entry handles a job whose caller has disconnected and then the
// caller's next attempt, while the runs of the first attempt are still being stopped.
func TestNextAttemptWaitsForRunsOfPreviousOne(t *testing.T) {
	b := newFixture(t, "a", "b")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.ID = "00000000000000ff"
	first, _ := b.d.Submit(b.now, j)
	b.ready()
	o := b.orders()[0]
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.CallerDisconnected(b.now, first)
	b.d.Submit(b.now, j)
	b.ready()
	if got := len(b.orders()); got != 1 {
		t.Fatalf("%d orders while the first attempt's run has not ended, want that run's alone", got)
	}
	b.reportOrder(o, pb.OrderState_ORDER_STATE_STOPPED, "", 10*time.Millisecond)
	if got := b.orders(); len(got) != 1 || got[0].Run <= o.Run {
		t.Errorf("orders %v, want one with a higher run number", got)
	}
}

// A caller disconnects while its job is placed. Orders that have not left the entry are
// withdrawn without a message.
func TestUnsentOrdersAreWithdrawn(t *testing.T) {
	b := newFixture(t, "a")
	n, _ := b.d.Submit(b.now, tasks(2, 1000, 100*time.Millisecond))
	b.d.place(b.now)
	b.d.CallerDisconnected(b.now, n)
	b.ready()
	if a := b.agents["a-1"]; len(a.orders)+len(a.stops) != 0 || b.d.agents[0].free.CPUMillis != 4000 {
		t.Errorf("orders %v, stops %v, free %v", a.orders, a.stops, b.d.agents[0].free)
	}
}

// An agent was lost with an order on which it had not reported, and the next worker refuses
// the task. The first one may have run it, so the answer can't be "not run".
func TestNotRunIsRuledOutByLostOrder(t *testing.T) {
	b := newFixture(t, "a")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	n := b.mustSubmit(j)
	b.attach("b", "b-1")
	b.d.LinkDown(b.now, "a-1", b.agents["a-1"].epoch)
	b.advance(b.times.RunsEndedAfter + 50*time.Millisecond)
	second := b.agents["b-1"].orders[0]
	b.agents["b-1"].used = 4000
	b.reportOrder(second, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaitTimeout, 0)
	b.advance(10 * time.Second)
	if a, ok := b.answers[n]; !ok || a.Outcome != Unknown {
		t.Errorf("answer %+v (%v), want unknown", a, ok)
	}
}

// An entry has less CPU than its callers need, and handles requests late. It must refuse jobs
// at once, and not time out agents whose frames wait in its own sockets.
func TestLaggingEntryRefusesAndTrustsItsLinks(t *testing.T) {
	b := newFixture(t, "a")
	b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	b.d.Next()
	b.now = b.now.Add(800 * time.Millisecond)
	b.d.Tick(b.now)
	b.ready()
	if _, refused := b.submit(tasks(1, 1000, 100*time.Millisecond)); refused == nil || refused.Reason != ReasonLagging {
		t.Errorf("answer %+v, want a refusal because the entry lags", refused)
	}
	if !b.d.behind(b.now) {
		t.Error("the process doesn't detect its lag")
	}
	for range 20 {
		b.d.Next()
		b.advance(100 * time.Millisecond)
	}
	if b.d.behind(b.now) {
		t.Error("the process counts as lagging for ever")
	}
}
