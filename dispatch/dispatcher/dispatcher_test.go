package dispatcher

import (
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

// bed is a dispatcher with agents that answer as a test says, on virtual time.
type bed struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Time
	times   bounds.Times
	agents  map[string]*fakeAgent // by incarnation
	answers map[uint64]Answer
	jobs    int
	wants   []Want
}

type fakeAgent struct {
	name, incarnation string
	epoch, seq, ack   uint64
	capacity, used    int64
	orders            []*pb.Order // received and not ended
	stops             []uint64
	frees             int64 // what is said to come free soon
	seen              uint64
	clean             bool
	labels            []string
	entries           []string // told last
	invitedBy         []string
	eager             bool
	domain            string          // empty: that of the entry
	evacuations       *pb.Evacuations // told last
}

func newBed(t *testing.T, agents ...string) *bed {
	times, err := bounds.Derive(bounds.Given{})
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, now: time.Unix(1000, 0), times: times, agents: map[string]*fakeAgent{}, answers: map[uint64]Answer{}}
	b.d = New(Options{
		Entry: "entry-1", Incarnation: "e1", FailureDomain: "hall", Times: times,
		Link: link.Options{AckDelay: 50 * time.Millisecond, AckTimeout: time.Minute, Heartbeat: time.Minute, HeartbeatTimeout: time.Hour},
	})
	// It has run for a while.
	b.d.begin(b.now.Add(-meetWithin))
	for _, a := range agents {
		b.attach(a, a+"-1")
	}
	return b
}

func (b *bed) attach(name, incarnation string) *fakeAgent {
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

func (b *bed) report(a *fakeAgent, news ...*pb.OrderNews) {
	a.seq++
	b.d.Step(b.now, a.incarnation, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: a.stateNow(), News: news})
	b.ready()
}

// stateNow is what the agent reports.
func (a *fakeAgent) stateNow() *pb.WorkerState {
	s := &pb.WorkerState{
		Worker: "w-" + a.incarnation, Service: "s", Accepting: true, Clean: a.clean, SeenOrder: a.seen, Labels: a.labels,
		Capacity: &pb.Size{CpuMillis: uint32(a.capacity), MemoryMb: 1000},
		Room:     &pb.Room{CpuMillis: int32(a.capacity - a.used), MemoryMb: 1000},
	}
	for range forecast.Horizons {
		s.Frees = append(s.Frees, uint32(a.frees))
	}
	return s
}

func (b *bed) ready() {
	r := b.d.Ready(b.now)
	for _, f := range r.Frames {
		a := b.agents[f.Agent]
		if a == nil {
			b.t.Fatalf("a frame for %s, which no agent has", f.Agent)
		}
		a.ack = f.Frame.Seq
		a.orders = append(a.orders, f.Frame.Orders...)
		a.stops = append(a.stops, f.Frame.Stops...)
		a.eager = f.Frame.Eager
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
	b.wants = append(b.wants, r.Wants...)
	for _, a := range r.Answers {
		b.answers[a.Number] = a
	}
}

func (b *bed) wait(d time.Duration) {
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

func (b *bed) submit(j Job) (uint64, *Answer) {
	b.jobs++
	j.ID = fmt.Sprintf("%016x", b.jobs)
	n, refused := b.d.Submit(b.now, j)
	b.ready()
	return n, refused
}

func (b *bed) accepted(j Job) uint64 {
	b.t.Helper()
	n, refused := b.submit(j)
	if refused != nil {
		b.t.Fatalf("refused: %+v", refused)
	}
	return n
}

// sent lists all orders at agents, oldest first.
func (b *bed) sent() (out []*pb.Order) {
	for _, a := range b.agents {
		out = append(out, a.orders...)
	}
	slices.SortFunc(out, func(x, y *pb.Order) int { return int(x.Number) - int(y.Number) })
	return out
}

// at is the agent that holds an order.
func (b *bed) at(o *pb.Order) *fakeAgent {
	for _, a := range b.agents {
		if slices.Contains(a.orders, o) {
			return a
		}
	}
	b.t.Fatalf("no agent holds order %d", o.Number)
	return nil
}

// tell reports an order's state; one that ends it frees its room.
func (b *bed) tell(o *pb.Order, state pb.OrderState, reason string, ran time.Duration) {
	a := b.at(o)
	switch state {
	case pb.OrderState_ORDER_STATE_STARTED, pb.OrderState_ORDER_STATE_STALLED:
	default:
		a.used -= int64(o.Size.CpuMillis)
		a.orders = slices.DeleteFunc(a.orders, func(x *pb.Order) bool { return x == o })
	}
	b.report(a, &pb.OrderNews{Number: o.Number, State: state, Reason: reason, RunMs: uint32(ran.Milliseconds())})
}

func (b *bed) wantAnswer(n uint64, want Outcome, reason string) {
	b.t.Helper()
	a, ok := b.answers[n]
	if !ok || a.Outcome != want || reason != "" && a.Reason != reason {
		b.t.Errorf("job %d: answer %+v (%v), want %v (%s)", n, a, ok, want, reason)
	}
}

func TestJobIsCompletedByAllItsTasks(t *testing.T) {
	b := newBed(t, "a", "b")
	n := b.accepted(tasks(3, 1000, 100*time.Millisecond))
	orders := b.sent()
	if len(orders) != 3 {
		t.Fatalf("%d orders, want 3", len(orders))
	}
	for i, o := range orders {
		if _, ok := b.answers[n]; ok {
			t.Fatalf("answered after %d of 3 tasks", i)
		}
		b.tell(o, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	}
	b.wantAnswer(n, Completed, "")
}

func TestStepsRunInTheirOrder(t *testing.T) {
	b := newBed(t, "a")
	j := tasks(2, 500, 50*time.Millisecond)
	j.Steps = append(j.Steps, Step{Count: 1, Size: size.Size{CPUMillis: 500}, Estimated: 50 * time.Millisecond, After: []int{0}})
	n := b.accepted(j)
	first := b.sent()
	if len(first) != 2 {
		t.Fatalf("%d orders, want the first step's 2", len(first))
	}
	b.tell(first[0], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	if got := len(b.sent()); got != 1 {
		t.Fatalf("%d orders while a task of the step before runs, want 1", got)
	}
	b.tell(first[1], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	last := b.sent()
	if len(last) != 1 || last[0].Task[len(last[0].Task)-4:] != ".1.0" {
		t.Fatalf("orders %v, want the second step's", last)
	}
	b.tell(last[0], pb.OrderState_ORDER_STATE_DONE, "", 50*time.Millisecond)
	b.wantAnswer(n, Completed, "")
}

// A worker fails everything. The caller notices nothing as long as another one runs
// the task, and hears of the failure when the queue's attempts are used up.
func TestFailedTaskRunsElsewhereUpToTheAttempts(t *testing.T) {
	b := newBed(t, "a", "b")
	n := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	first := b.sent()[0]
	at := b.at(first).name
	b.tell(first, pb.OrderState_ORDER_STATE_FAILED, "", 10*time.Millisecond)
	second := b.sent()[0]
	if got := b.at(second).name; got == at || second.Run <= first.Run {
		t.Errorf("second run %d at %s, want a higher number than %d elsewhere than %s", second.Run, got, first.Run, at)
	}
	b.tell(second, pb.OrderState_ORDER_STATE_FAILED, "", 10*time.Millisecond)
	b.wantAnswer(n, Failed, ReasonAttempts)
	if len(b.sent()) != 0 {
		t.Error("a third run was ordered")
	}
}

// Another entry has run the task before, at the caller's first attempt. The worker
// refuses run numbers that it has seen, and the job would never start there.
func TestRunNumberPassesThoseOfAnEarlierAttempt(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(1, 1000, 100*time.Millisecond))
	first := b.sent()[0]
	b.tell(first, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonOldRun, 0)
	if again := b.sent(); len(again) != 1 || again[0].Run < first.Run+100 {
		t.Errorf("orders %v, want one with a run number far above %d", again, first.Run)
	}
}

// All workers are taken, by what lasts. Whether a caller waits or is refused, it has
// to know at once, and when to come back.
func TestOverloadIsRefusedAtTheDoor(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(4, 1000, time.Second))
	_, refused := b.submit(tasks(1, 1000, 100*time.Millisecond))
	if refused == nil || refused.Outcome != NotRun || refused.Reason != ReasonOverload || refused.RetryAfter < time.Second {
		t.Errorf("answer %+v, want not run, with a time to come back", refused)
	}
	if len(b.sent()) != 4 {
		t.Error("something of the refused job was ordered")
	}
}

// All workers are taken, but one comes free soon: the job is worth waiting.
func TestJobWaitsWhereRoomComesFreeInTime(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(4, 1000, 200*time.Millisecond))
	b.agents["a-1"].frees = 1000
	b.report(b.agents["a-1"])
	b.accepted(tasks(1, 1000, 200*time.Millisecond))
	if got := len(b.sent()); got != 5 {
		t.Errorf("%d orders, want the fifth to wait at the agent", got)
	}
}

// Jobs that can't be run are refused before anything starts: the caller can do
// something else with its time.
func TestRefusalsAtTheDoor(t *testing.T) {
	for name, c := range map[string]struct {
		job    Job
		agents []string
		reason string
	}{
		"no worker":   {tasks(1, 1000, time.Second), nil, ReasonNoWorkers},
		"too large":   {tasks(1, 4001, time.Second), []string{"a"}, ReasonTooLarge},
		"unsupported": {Job{Queue: queue(), Unsupported: "gangs", Steps: []Step{{Count: 1}}}, []string{"a"}, ReasonUnsupported + ": gangs"},
		"hopeless":    {tasks(1, 100, time.Minute), []string{"a"}, ReasonHopeless},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, c.agents...)
			_, refused := b.submit(c.job)
			if refused == nil || refused.Outcome != NotRun || refused.Reason != c.reason {
				t.Errorf("answer %+v, want not run for %q", refused, c.reason)
			}
			if len(b.sent()) != 0 {
				t.Error("something was ordered")
			}
		})
	}
}

// A caller leaves. Its tasks would take workers from those that wait.
func TestRunsOfACallerThatLeftAreStopped(t *testing.T) {
	b := newBed(t, "a")
	n := b.accepted(tasks(2, 1000, time.Second))
	b.d.CallerGone(b.now, n)
	b.ready()
	if got := len(b.agents["a-1"].stops); got != 2 {
		t.Errorf("%d stops, want 2", got)
	}
}

// A link breaks with orders on it. What the agent says it never received will not
// start, so it goes elsewhere at once; what it has received stays where it is.
func TestOrdersOfABrokenLink(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(2, 1000, 400*time.Millisecond))
	a := b.agents["a-1"]
	received, lost := a.orders[0], a.orders[1]
	b.tell(received, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	a.seen = received.Number
	a.orders = a.orders[:1]
	b.d.LinkDown(b.now, "a-1", a.epoch)
	b.wait(50 * time.Millisecond)
	b.attach("a", "a-1")
	if len(a.orders) != 2 || a.orders[1].Task != lost.Task || a.orders[1].Number <= lost.Number {
		t.Errorf("orders %v, want the lost one again under a new number", a.orders)
	}
}

// An agent can't be reached any more. Its worker may go on with a task until its
// lease ends, so the task may run elsewhere only after that; a caller whose time
// does not reach so far is told at once.
func TestTasksOfALostAgentRunElsewhereWhenItsRunsAreOver(t *testing.T) {
	b := newBed(t, "a")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	patient := b.accepted(j)
	hurried := b.accepted(tasks(1, 1000, 200*time.Millisecond))
	a := b.agents["a-1"]
	for _, o := range slices.Clone(a.orders) {
		b.tell(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	}
	b.attach("b", "b-1")
	b.d.LinkDown(b.now, "a-1", a.epoch)
	b.wait(b.times.GiveUp + 10*time.Millisecond)
	b.wantAnswer(hurried, Unknown, ReasonAgentLost)
	b.wait(b.times.RunsOver - b.times.GiveUp - 30*time.Millisecond)
	if got := len(b.agents["b-1"].orders); got != 0 {
		t.Fatalf("%d orders elsewhere before the runs are over", got)
	}
	b.wait(50 * time.Millisecond)
	if got := len(b.agents["b-1"].orders); got != 1 {
		t.Fatalf("%d orders elsewhere after the runs are over, want 1", got)
	}
	if _, ok := b.answers[patient]; ok {
		t.Error("the patient caller was answered")
	}
}

// An agent is restarted while its worker runs a task. The task was run elsewhere at
// once, beside the run that went on until its lease ended.
func TestTasksOfARestartedAgentWaitUntilNothingIsLeft(t *testing.T) {
	b := newBed(t, "a", "b")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	b.accepted(j)
	o := b.sent()[0]
	old := b.at(o)
	b.tell(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	old.orders = nil
	b.agents[old.name+"-2"] = &fakeAgent{name: old.name, incarnation: old.name + "-2", capacity: 4000, clean: false}
	next := b.attach(old.name, old.name+"-2")
	b.wait(100 * time.Millisecond)
	if got := len(b.sent()); got != 0 {
		t.Fatalf("%d orders while runs of the earlier process may be left", got)
	}
	next.clean = true
	b.report(next)
	if got := len(b.sent()); got != 1 {
		t.Errorf("%d orders when nothing is left, want 1", got)
	}
}

// An estimate is half of what a job's tasks take. Moving them on that sign alone
// threw a fifteenth of a quiet day's work away: the new runs last as long.
func TestSlowRunIsMovedOnlyWithASignBesideTheEstimate(t *testing.T) {
	stall := func(b *bed, o *pb.Order) {
		a := b.at(o)
		b.report(a, &pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_STALLED, RunMs: 100, RemainingMs: 300})
	}
	t.Run("estimate alone", func(t *testing.T) {
		b := newBed(t, "a", "b")
		b.accepted(tasks(1, 1000, 100*time.Millisecond))
		stall(b, b.sent()[0])
		if len(b.agents["a-1"].stops)+len(b.agents["b-1"].stops) != 0 {
			t.Error("the run was stopped")
		}
	})
	t.Run("task of the same step", func(t *testing.T) {
		b := newBed(t, "a", "b")
		b.accepted(tasks(2, 3000, 100*time.Millisecond))
		slow, quick := b.sent()[0], b.sent()[1]
		at := b.at(slow)
		stall(b, slow)
		b.tell(quick, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
		if !slices.Contains(at.stops, slow.Number) {
			t.Fatal("the run was not stopped")
		}
		b.tell(slow, pb.OrderState_ORDER_STATE_STOPPED, "", 120*time.Millisecond)
		if again := b.sent(); len(again) != 1 || b.at(again[0]) == at {
			t.Errorf("orders %v, want one elsewhere", again)
		}
	})
}

// A task will last longer than its caller waits, as its progress shows. Kept until
// the end, it would take a worker from others, and the caller would know last.
func TestJobThatCannotEndInTimeIsGivenUpAtOnce(t *testing.T) {
	b := newBed(t, "a")
	n := b.accepted(tasks(1, 1000, time.Second))
	o := b.sent()[0]
	b.tell(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.wait(200 * time.Millisecond)
	b.report(b.at(o), &pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_STALLED, RunMs: 200, RemainingMs: 1400})
	b.wantAnswer(n, Unknown, ReasonHopeless)
}

// Nothing of a job has started when its time to wait is over, and an order is still
// under way: "not run" would be a guess.
func TestNotRunIsSaidOnlyWithoutOrdersUnderWay(t *testing.T) {
	b := newBed(t, "a")
	n := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	b.wait(1490 * time.Millisecond)
	if _, ok := b.answers[n]; ok {
		t.Fatal("answered before the time limit")
	}
	b.wait(20 * time.Millisecond)
	b.wantAnswer(n, Unknown, ReasonDeadline)
	m := b.accepted(tasks(1, 1000, 100*time.Millisecond))
	o := b.sent()[len(b.sent())-1]
	b.wait(100 * time.Millisecond)
	b.agents["a-1"].used = 5000 // full, also without this order
	b.tell(o, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaited, 0)
	b.wantAnswer(m, NotRun, ReasonHeld)
}

// Two entries or a stale read hand in an older configuration. Taking it would bring
// back routes that operators have dropped.
func TestConfigurationNeverGoesBack(t *testing.T) {
	b := newBed(t)
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

// A caller's connection breaks and it sends its job again to the same entry, which
// still has it. A second set of runs would be a second stamp on one serial.
func TestJobSentAgainToTheSameEntryIsJoined(t *testing.T) {
	b := newBed(t, "a")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.ID = "00000000000000ff"
	first, _ := b.d.Submit(b.now, j)
	second, _ := b.d.Submit(b.now, j)
	b.ready()
	if first != second || len(b.sent()) != 1 {
		t.Errorf("jobs %d and %d with %d orders, want one job with one order", first, second, len(b.sent()))
	}
}

// Estimates of a queue are off by half either way, job by job. Of a job with a long
// one, the better guess lies between it and what is usual.
func TestRunTimesAreLearnedAgainstEstimates(t *testing.T) {
	l := &learned{}
	for i := range 400 {
		ran := 800 * time.Millisecond
		if i%2 == 0 {
			ran = 1200 * time.Millisecond
		}
		estimated := ran * 3 / 2
		if i%4 < 2 {
			estimated = ran * 2 / 3
		}
		l.take(estimated, ran)
	}
	long := l.expected(2400 * time.Millisecond)
	if long < 900*time.Millisecond || long > 1800*time.Millisecond {
		t.Errorf("expected %v of an estimate of 2.4 s, want between what is usual and the estimate", long)
	}
	if least := l.atLeast(long); least >= long || least < 500*time.Millisecond {
		t.Errorf("at least %v of %v", least, long)
	}
}

// The answers of two starts are lost. One task has run and ended before that was
// known; the other never began, and its refusal comes last. Something has run.
func TestNotRunIsNotSaidAfterAnEndWithoutAStart(t *testing.T) {
	b := newBed(t, "a")
	n := b.accepted(tasks(2, 1000, 100*time.Millisecond))
	ran, refused := b.sent()[0], b.sent()[1]
	b.tell(ran, pb.OrderState_ORDER_STATE_DONE, "", 30*time.Millisecond)
	b.wait(100 * time.Millisecond)
	b.tell(refused, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonUnanswered, 0)
	if a, ok := b.answers[n]; ok && a.Outcome == NotRun {
		t.Errorf("answer %+v of a job of which a task has run", a)
	}
}

// An entry was frozen. It takes in a job, that its caller has left, and the caller's
// next attempt one after the other: what the first attempt started is still being
// stopped.
func TestNextAttemptWaitsForTheRunsOfTheOneBefore(t *testing.T) {
	b := newBed(t, "a", "b")
	j := tasks(1, 1000, 100*time.Millisecond)
	j.ID = "00000000000000ff"
	first, _ := b.d.Submit(b.now, j)
	b.ready()
	o := b.sent()[0]
	b.tell(o, pb.OrderState_ORDER_STATE_STARTED, "", 0)
	b.d.CallerGone(b.now, first)
	b.d.Submit(b.now, j)
	b.ready()
	if got := len(b.sent()); got != 1 {
		t.Fatalf("%d orders while the first attempt's run has not ended, want its one", got)
	}
	b.tell(o, pb.OrderState_ORDER_STATE_STOPPED, "", 10*time.Millisecond)
	if got := b.sent(); len(got) != 1 || got[0].Run <= o.Run {
		t.Errorf("orders %v, want one with a higher run number", got)
	}
}

// A caller leaves in the moment in which its job is placed. What has not left the
// entry is taken back, without a message.
func TestOrdersNotSentAreTakenBack(t *testing.T) {
	b := newBed(t, "a")
	n, _ := b.d.Submit(b.now, tasks(2, 1000, 100*time.Millisecond))
	b.d.place(b.now)
	b.d.CallerGone(b.now, n)
	b.ready()
	if a := b.agents["a-1"]; len(a.orders)+len(a.stops) != 0 || b.d.agents[0].free.CPUMillis != 4000 {
		t.Errorf("orders %v, stops %v, free %v", a.orders, a.stops, b.d.agents[0].free)
	}
}

// An agent was lost with an order of which nothing was heard, and the next worker
// refuses the task. What the first one did is not known, so "not run" can't be said.
func TestNotRunIsNotSaidOfALostOrder(t *testing.T) {
	b := newBed(t, "a")
	j := tasks(1, 1000, 200*time.Millisecond)
	j.TimeLimit = 10 * time.Second
	n := b.accepted(j)
	b.attach("b", "b-1")
	b.d.LinkDown(b.now, "a-1", b.agents["a-1"].epoch)
	b.wait(b.times.RunsOver + 50*time.Millisecond)
	second := b.agents["b-1"].orders[0]
	b.agents["b-1"].used = 4000
	b.tell(second, pb.OrderState_ORDER_STATE_REFUSED, runner.ReasonWaited, 0)
	b.wait(10 * time.Second)
	if a, ok := b.answers[n]; !ok || a.Outcome != Unknown {
		t.Errorf("answer %+v (%v), want unknown", a, ok)
	}
}

// An entry has less processor than its callers need. It takes in requests late and
// would place them later still; callers are told at once, and what waits in its own
// sockets is not held against the agents.
func TestEntryThatIsBehindRefusesAndTrustsItsLinks(t *testing.T) {
	b := newBed(t, "a")
	b.accepted(tasks(1, 1000, 100*time.Millisecond))
	b.d.Next()
	b.now = b.now.Add(800 * time.Millisecond)
	b.d.Tick(b.now)
	b.ready()
	if _, refused := b.submit(tasks(1, 1000, 100*time.Millisecond)); refused == nil || refused.Reason != ReasonBusy {
		t.Errorf("answer %+v, want a refusal for the entry's own sake", refused)
	}
	if !b.d.late(b.now) {
		t.Error("the process takes itself to be on time")
	}
	for range 20 {
		b.d.Next()
		b.wait(100 * time.Millisecond)
	}
	if b.d.late(b.now) {
		t.Error("the process takes itself to be late for ever")
	}
}
