package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
)

const gib = 1 << 30

// fixture is one entry with agents. The run function sets the time and result of each
// task. Frames take no time.
type fixture struct {
	t       *testing.T
	now     time.Time
	entry   *entry.Entry
	agents  map[string]*agent.Agent
	running map[string][]runningTask
	answers map[string]*pb.Answer
	run     func(agentName string, r agent.Run) (time.Duration, *pb.TaskResult)
	ids     int
	peak    int
}

type runningTask struct {
	ref    agent.TaskRef
	until  time.Time
	result *pb.TaskResult
}

var start = time.Unix(1000, 0)

func newFixture(t *testing.T, agents int, contracts ...*pb.Contract) *fixture {
	b := &fixture{
		t: t, now: start, agents: map[string]*agent.Agent{},
		running: map[string][]runningTask{}, answers: map[string]*pb.Answer{},
	}
	b.run = func(string, agent.Run) (time.Duration, *pb.TaskResult) {
		return 100 * time.Millisecond, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, RunMillis: 100, PeakMemoryBytes: gib}
	}
	b.entry = entry.New(entry.Options{
		Hello:   &pb.EntryHello{Entry: "e", Incarnation: strings.Repeat("a", 32)},
		Started: start,
		Contract: func(name string) *pb.Contract {
			for _, c := range contracts {
				if c.Name == name {
					return c
				}
			}
			return nil
		},
	})
	for i := range agents {
		hello := &pb.AgentHello{Agent: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint(i), Slots: 8, MemoryBytes: 32 * gib}
		b.agents[hello.Agent] = agent.New(agent.Options{Hello: hello})
		b.entry.AgentAnnounced(b.now, hello, false, false)
	}
	b.settle()
	return b
}

func contractOf(name string) *pb.Contract {
	return &pb.Contract{
		Name: name, Class: pb.Class_CLASS_NORMAL, Weight: 1, Rate: 1000, Burst: 1000, Concurrency: 1000,
		MemoryBytes: 1000 * gib, Waiting: 10_000, DefaultTimeoutMs: 60_000,
	}
}

// settle delivers messages until none is left.
func (b *fixture) settle() {
	for {
		r := b.entry.Ready(b.now)
		for _, a := range r.Answers {
			b.answers[a.Answer.Job] = a.Answer
		}
		for _, d := range r.Dials {
			if why := b.agents[d.Agent].LinkUp(b.now, d.Hello); why != "" {
				b.t.Fatal(why)
			}
			b.entry.LinkUp(b.now, d.Agent, d.Hello.Epoch)
		}
		for _, f := range r.Frames {
			b.agents[f.Agent].Step(b.now, strings.Repeat("a", 32), f.Epoch, f.Frame)
		}
		busy := len(r.Dials) + len(r.Frames)
		for i := range len(b.agents) {
			busy += b.settleAgent(fmt.Sprint("agent-", i))
		}
		if busy == 0 {
			return
		}
	}
}

func (b *fixture) settleAgent(name string) int {
	r := b.agents[name].Ready(b.now)
	for _, run := range r.Run {
		takes, result := b.run(name, run)
		b.running[name] = append(b.running[name], runningTask{run.TaskRef, b.now.Add(takes), result})
	}
	for _, f := range r.Frames {
		b.entry.Step(b.now, name, f.Epoch, f.Frame)
	}
	total := 0
	for _, tasks := range b.running {
		total += len(tasks)
	}
	b.peak = max(b.peak, total)
	return len(r.Frames)
}

// advance advances the time in steps of 10 ms.
func (b *fixture) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		for i := range len(b.agents) {
			name := fmt.Sprint("agent-", i)
			left := b.running[name][:0]
			for _, t := range b.running[name] {
				if b.now.Before(t.until) {
					left = append(left, t)
				} else {
					b.agents[name].TaskEnded(b.now, t.ref, t.result)
				}
			}
			b.running[name] = left
			b.agents[name].Tick(b.now)
		}
		b.entry.Tick(b.now)
		b.settle()
	}
}

func (b *fixture) submit(contract string, tasks int, change func(*pb.Job)) (id string, refused *pb.Answer) {
	b.ids++
	j := &pb.Job{Id: b.entry.Token(b.now).String() + "." + fmt.Sprint(b.ids), Contract: contract, Kind: "k"}
	for range tasks {
		j.Tasks = append(j.Tasks, &pb.Task{MemoryBytes: gib, RunMillis: 100})
	}
	if change != nil {
		change(j)
	}
	_, refused = b.entry.Submit(b.now, j)
	b.settle()
	return j.Id, refused
}

// A customer submits far more work than its contract allows. Without the limit it
// would occupy all workers and delay other customers.
func TestConcurrencyAndMemoryOfContract(t *testing.T) {
	byTasks, byMemory := contractOf("tasks"), contractOf("memory")
	byTasks.Concurrency = 5
	byMemory.MemoryBytes = 7 * gib
	for _, c := range []struct {
		contract *pb.Contract
		want     int
	}{{byTasks, 5}, {byMemory, 7}} {
		b := newFixture(t, 3, c.contract)
		id, refused := b.submit(c.contract.Name, 40, nil)
		if refused != nil {
			t.Fatal(refused)
		}
		b.advance(2 * time.Second)
		if b.peak != c.want || b.answers[id].GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
			t.Errorf("contract %s: peak %d, want %d; answer %v", c.contract.Name, b.peak, c.want, b.answers[id])
		}
	}
}

func TestOversizedJobRefused(t *testing.T) {
	b := newFixture(t, 3, contractOf("c"))
	_, refused := b.submit("c", 3, func(j *pb.Job) { j.Tasks[1].MemoryBytes = 33 * gib })
	if refused.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN || refused.GetCode() != string(jobs.CodeDoesNotFit) {
		t.Errorf("got %v", refused)
	}
	if b.peak != 0 {
		t.Errorf("%d tasks ran", b.peak)
	}
}

// Each task takes half of a worker's memory, and workers start whatever they are
// sent. If a task took only one slot's credit, workers would run out of memory and
// fail all their tasks.
func TestMemoryOfWorkerIsNeverExceeded(t *testing.T) {
	b := newFixture(t, 2, contractOf("c"))
	id, _ := b.submit("c", 12, func(j *pb.Job) {
		for _, t := range j.Tasks {
			t.MemoryBytes = 16 * gib
		}
	})
	b.advance(2 * time.Second)
	if b.peak != 4 || b.answers[id].GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		t.Errorf("peak %d, want 4; answer %v", b.peak, b.answers[id])
	}
}

// One customer submits ten times its allowed load while another submits its usual
// load. The second customer's jobs must not be delayed.
func TestNoisyCustomerDoesNotDelayOthers(t *testing.T) {
	b := newFixture(t, 3, contractOf("noisy"), contractOf("quiet"))
	for range 20 {
		b.submit("noisy", 100, nil)
	}
	for range 10 {
		id, _ := b.submit("quiet", 4, nil)
		b.advance(250 * time.Millisecond)
		if b.answers[id].GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
			t.Fatalf("no answer within 250 ms: %v", b.answers[id])
		}
	}
}

// The load is twice the site's capacity, and jobs have a deadline. Jobs that are
// admitted but not finished in time would waste slots.
func TestOverloadRefusedAtAdmission(t *testing.T) {
	b := newFixture(t, 3, contractOf("c"))
	served, failed := 0, 0
	var ids []string
	for range 500 {
		id, refused := b.submit("c", 10, func(j *pb.Job) { j.TimeoutMs = 1000 })
		switch {
		case refused == nil:
			ids = append(ids, id)
		case refused.Outcome != pb.Outcome_OUTCOME_NOT_RUN || refused.RetryAfterMs == 0:
			t.Fatalf("refused with %v", refused)
		}
		b.advance(20 * time.Millisecond)
	}
	b.advance(2 * time.Second)
	for _, id := range ids {
		if b.answers[id].GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
			served += 10
		} else {
			failed++
		}
	}
	// 24 slots run 10 tasks a second each for 10 s.
	if served < 2160 || failed > len(ids)/20 {
		t.Errorf("served %d tasks of 2400 possible; %d of %d admitted jobs had no answer in time", served, failed, len(ids))
	}
}

// One worker fails every task immediately and is then free again. Without health
// checks it would attract most of the work, and most jobs would fail.
func TestFastFailingWorkerAttractsNoWork(t *testing.T) {
	b := newFixture(t, 4, contractOf("c"))
	defaultRun := b.run
	starts := map[string]int{}
	b.run = func(name string, r agent.Run) (time.Duration, *pb.TaskResult) {
		starts[name]++
		if name == "agent-1" {
			return 10 * time.Millisecond, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_FAILED, Error: "broken", RunMillis: 1}
		}
		return defaultRun(name, r)
	}
	for range 100 {
		b.submit("c", 1, nil)
		b.submit("c", 1, nil)
		b.advance(20 * time.Millisecond)
	}
	if starts["agent-1"] > 12 {
		t.Errorf("%d of 200 tasks went to the broken worker", starts["agent-1"])
	}
}
