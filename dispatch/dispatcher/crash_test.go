package dispatcher

import (
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// crash has an agent's worker crash under its orders; those in atStart began just before.
func (b *fixture) crash(a *fakeAgent, atStart ...*pb.Order) {
	f := &pb.WorkerFrame{}
	for _, o := range a.orders {
		reason := runner.ReasonCrashedLater
		if slices.Contains(atStart, o) {
			reason = runner.ReasonCrashedAtStart
		}
		f.News = append(f.News, &pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_LOST, Reason: reason})
		f.Crashes = append(f.Crashes, &pb.TaskCrash{Task: o.Task, Worker: "life-" + a.incarnation, AtStart: slices.Contains(atStart, o), Alone: len(atStart) == 1 && atStart[0] == o})
	}
	a.orders, a.used = nil, 0
	a.seq++
	f.Seq, f.Ack, f.State = a.seq, a.ack, a.currentState()
	b.d.Step(b.now, a.incarnation, a.epoch, f)
	b.ready()
}

// A task crashes each worker that starts it. After two crashes no third worker gets it, and
// the answer tells the caller not to retry.
func TestPoisonTaskEndsItsJob(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	first := b.orders()[0]
	at := b.holder(first)
	b.crash(at, first)
	second := b.orders()
	if len(second) != 1 || b.holder(second[0]) == at {
		t.Fatalf("orders %v after the first crash, want one elsewhere", second)
	}
	b.crash(b.holder(second[0]), second[0])
	b.wantAnswer(n, Failed, ReasonCrashes)
	if a := b.answers[n]; !a.Permanent {
		t.Error("the answer isn't permanent")
	}
	if len(b.orders()) != 0 {
		t.Error("a third worker was given the task")
	}
	if !slices.ContainsFunc(b.d.crashes.order, func(c *crashRecord) bool { return len(c.crashes) == 2 }) {
		t.Error("the crashes are not recorded")
	}
}

// A worker crashes under several tasks. Those that had run for a while aren't suspected, and
// a second, coincidental crash under them doesn't end their jobs.
func TestBystandersOfCrashesAreRetried(t *testing.T) {
	b := newFixture(t, "a")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	b.crash(b.agents["a-1"])
	b.attach("b", "b-1")
	if len(b.orders()) != 1 {
		t.Fatal("the task was not ordered again")
	}
	b.crash(b.holder(b.orders()[0]))
	if a, ok := b.answers[n]; ok {
		t.Errorf("answer %+v after two crashes at other times", a)
	}
}

// A suspected task must not crash a worker under other jobs' runs: it goes to the least loaded
// worker, and nothing else is placed there until it has proved harmless.
func TestSuspectedTaskIsIsolated(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	for _, name := range []string{"b", "c"} {
		a := b.agents[name+"-1"]
		a.used = 1000
		b.report(a)
	}
	b.mustSubmit(tasks(1, 3500, 100*time.Millisecond))
	first := b.orders()[0]
	b.agents["c-1"].used = 0
	b.report(b.agents["c-1"])
	b.crash(b.holder(first), first)
	second := b.orders()[0]
	apart := b.holder(second)
	if apart != b.agents["c-1"] {
		t.Fatalf("the suspected task went to %s, want the idle worker", apart.name)
	}
	for range 6 {
		b.mustSubmit(tasks(1, 400, 50*time.Millisecond))
	}
	if len(apart.orders) != 1 {
		t.Errorf("%d orders beside the suspected task", len(apart.orders)-1)
	}
	b.advance(trialPeriod)
	b.reportOrder(second, pb.OrderState_ORDER_STATE_DONE, "", 100*time.Millisecond)
	for range 6 {
		b.mustSubmit(tasks(1, 400, 50*time.Millisecond))
	}
	if len(apart.orders) == 0 {
		t.Error("the worker is not used after the trial")
	}
}

// Another entry has seen two workers crash under a task, and its caller sends the job again
// here: it must be answered at once and not be started.
func TestPoisonTaskOfAnotherEntryIsNotStarted(t *testing.T) {
	b := newFixture(t, "a", "b")
	for _, name := range []string{"a-1", "b-1", "a-1"} {
		a := b.agents[name]
		a.seq++
		b.d.Step(b.now, name, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: a.currentState(), Crashes: []*pb.TaskCrash{
			{Task: "0000000000000001.0.0.0", Worker: "life-" + name, AtStart: true, Alone: true},
		}})
	}
	_, refused := b.submit(tasks(1, 1000, 100*time.Millisecond))
	if refused == nil || refused.Outcome != Failed || refused.Reason != ReasonCrashes {
		t.Fatalf("answer %+v, want failed", refused)
	}
	if _, refused = b.submit(tasks(1, 1000, 100*time.Millisecond)); refused != nil {
		t.Errorf("another job is refused: %+v", refused)
	}
}

// A rack loses power, and its workers crash under tasks that have just begun. None of these
// is suspected: their next runs need no isolated worker.
func TestCrashesWithSharedCauseAreNoEvidence(t *testing.T) {
	b := newFixture(t, "a", "b", "c", "d", "e")
	n := b.mustSubmit(tasks(4, 3000, 100*time.Millisecond))
	for _, o := range b.orders()[:3] {
		b.crash(b.holder(o), o)
	}
	for _, r := range b.d.crashes.order {
		if all, _, _ := r.count(); all > 0 {
			t.Errorf("%s: %d crashes count", r.task, all)
		}
	}
	if a, ok := b.answers[n]; ok {
		t.Errorf("answer %+v", a)
	}
}

// A task crashes several workers in quick succession. This must not pass for a shared cause.
func TestTaskCrashingManyWorkersIsPoison(t *testing.T) {
	var c crashes
	now := time.Unix(1000, 0)
	for i := range 4 {
		now = now.Add(10 * time.Millisecond)
		w := utoa(uint64(i))
		c.record(now, &pb.TaskCrash{Task: "crashes", Worker: w, AtStart: true, Alone: i > 0})
		c.record(now, &pb.TaskCrash{Task: "beside " + w, Worker: w, AtStart: true})
	}
	if !c.byTask["crashes"].isPoison() {
		t.Errorf("not a poison task: %+v", c.byTask["crashes"])
	}
	if c.byTask["beside 1"].isPoison() {
		t.Error("a bystander is taken for a poison task")
	}
}

// Short tasks have always just begun. One that began beside others at both crashes is as likely
// a bystander as they are.
func TestTaskThatNeverCrashedWorkerAloneIsRetriedOnce(t *testing.T) {
	var c crashes
	now := time.Unix(1000, 0)
	for i, want := range []bool{false, false, true} {
		now = now.Add(time.Second)
		c.record(now, &pb.TaskCrash{Task: "t", Worker: utoa(uint64(i)), AtStart: true})
		if got := c.byTask["t"].isPoison(); got != want {
			t.Errorf("poison task after %d crashes: %v, want %v", i+1, got, want)
		}
	}
}

// Crashes are reported again on each new link, and must not count twice.
func TestCrashCountsOnce(t *testing.T) {
	var c crashes
	now := time.Unix(1000, 0)
	m := &pb.TaskCrash{Task: "t", Worker: "w", AtStart: true}
	c.record(now, m)
	c.record(now.Add(time.Second), m)
	if c.byTask["t"].isPoison() {
		t.Error("one crash counts as two")
	}
	c.record(now.Add(2*crashRetention), &pb.TaskCrash{Task: "u", Worker: "w"})
	if c.byTask["t"] != nil || len(c.order) != 1 {
		t.Error("a crash is kept too long")
	}
	for i := range 2 * maxCrashedTasks {
		c.record(now.Add(2*crashRetention), &pb.TaskCrash{Task: utoa(uint64(i)), Worker: "w"})
	}
	if len(c.byTask) > maxCrashedTasks+1 || len(c.order) != len(c.byTask) {
		t.Errorf("%d tasks are recorded", len(c.byTask))
	}
}

// A run is lost since its lease has lapsed, and its task has crashed workers before. Guards against a
// further start of a task that crashes each worker when a crash becomes known only later.
func TestPoisonTaskEndsItsJobHoweverItsRunIsLost(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	n := b.mustSubmit(tasks(1, 1000, 100*time.Millisecond))
	o := b.orders()[0]
	at := b.holder(o)
	for _, worker := range []string{"w1", "w2", "w3"} {
		at.seq++
		b.d.Step(b.now, at.incarnation, at.epoch, &pb.WorkerFrame{Seq: at.seq, Ack: at.ack, Crashes: []*pb.TaskCrash{{Task: o.Task, Worker: worker, AtStart: true}}})
	}
	b.reportOrder(o, pb.OrderState_ORDER_STATE_LOST, "the lease has lapsed", 0)
	b.wantAnswer(n, Failed, ReasonCrashes)
}
