package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Unix(1000, 0)

type noLimits struct{}

func (noLimits) Allow(_ time.Time, _ string, tasks []Task) int { return len(tasks) }

// fixedLimits allows a fixed number of tasks of each contract.
type fixedLimits map[string]int

func (l fixedLimits) Allow(_ time.Time, contract string, tasks []Task) int {
	n := min(l[contract], len(tasks))
	l[contract] -= n
	return n
}

func job(id, contract string, tasks int, run time.Duration) *Job {
	j := &Job{ID: id, Contract: contract, Kind: "k", DueTime: epoch.Add(time.Minute), Deadline: epoch.Add(time.Minute)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, Task{Number: uint32(i), RunTime: run})
	}
	return j
}

func order(q *Queue, n int) []string {
	var ids []string
	for range n {
		j := q.Next()
		if j == nil {
			break
		}
		q.Take(j, 1)
		ids = append(ids, j.ID)
	}
	return ids
}

func TestQueueOrder(t *testing.T) {
	dueLater := func(j *Job) *Job { j.DueTime = j.DueTime.Add(time.Hour); return j }
	ms := time.Millisecond
	cases := []struct {
		name string
		push []*Job
		want []string
	}{
		{"arrival decides between equals", []*Job{job("1", "a", 1, ms), job("2", "a", 1, ms)}, []string{"1", "2"}},
		{"earlier due first", []*Job{dueLater(job("1", "a", 1, ms)), job("2", "a", 1, ms)}, []string{"2", "1"}},
		{"higher class first", []*Job{job("1", "bulk", 1, ms), job("2", "a", 1, ms), job("3", "urgent", 1, ms)}, []string{"3", "2", "1"}},
		{"weight 3 against 1", []*Job{job("a", "a", 3, 12*ms), job("h", "heavy", 8, 10*ms)}, []string{"a", "h", "h", "h", "h", "a", "h", "h", "h", "h", "a"}},
		{"long tasks pay more", []*Job{job("a", "a", 2, 40*ms), job("b", "b", 4, 10*ms)}, []string{"a", "b", "b", "b", "b", "a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue()
			q.SetContract("urgent", Urgent, 1)
			q.SetContract("a", Normal, 1)
			q.SetContract("b", Normal, 1)
			q.SetContract("heavy", Normal, 3)
			q.SetContract("bulk", Bulk, 1)
			for _, j := range c.push {
				q.Push(j)
			}
			if diff := cmp.Diff(c.want, order(q, 20)); diff != "" {
				t.Error(diff)
			}
			if q.Len() != 0 || q.Next() != nil {
				t.Errorf("queue is not empty: %d", q.Len())
			}
		})
	}
}

// Endless urgent work must not starve a bulk contract: its callers would see
// nothing but timeouts.
func TestQueueNoClassStarves(t *testing.T) {
	q := NewQueue()
	q.SetContract("urgent", Urgent, 1)
	q.SetContract("bulk", Bulk, 1)
	q.Push(job("u", "urgent", 2000, 50*time.Millisecond))
	q.Push(job("b", "bulk", 1000, 50*time.Millisecond))
	served := 0
	for _, id := range order(q, 1000) {
		if id == "b" {
			served++
		}
	}
	if served < 40 || served > 60 {
		t.Errorf("bulk got %d of 1000 placements, want about 50", served)
	}
}

func TestQueueBlockedContractYieldsItsShare(t *testing.T) {
	q := NewQueue()
	q.Push(job("a", "a", 3, time.Millisecond))
	q.Push(job("b", "b", 3, time.Millisecond))
	q.Block("a")
	if diff := cmp.Diff([]string{"b", "b", "b"}, order(q, 9)); diff != "" {
		t.Error(diff)
	}
	q.Unblock("a")
	if diff := cmp.Diff([]string{"a", "a", "a"}, order(q, 9)); diff != "" {
		t.Error(diff)
	}
}

// The estimated wait of one contract must not grow with the backlog of another that
// submits far beyond its share. Otherwise the jobs of the first would be refused
// because of the second.
func TestQueueWaitIgnoresOtherBacklogs(t *testing.T) {
	q := NewQueue()
	q.Push(job("quiet", "quiet", 10, 100*time.Millisecond))
	q.Push(job("noisy", "noisy", 10, 100*time.Millisecond))
	before := q.EstimateWait("quiet", 0, 10)
	for i := range 100 {
		q.Push(job(fmt.Sprint(i), "noisy", 10, 100*time.Millisecond))
	}
	if after := q.EstimateWait("quiet", 0, 10); after != before {
		t.Errorf("wait went from %v to %v", before, after)
	}
	if noisy := q.EstimateWait("noisy", 0, 10); noisy < 10*time.Second {
		t.Errorf("wait of the noisy contract = %v", noisy)
	}
}

func TestQueueVictim(t *testing.T) {
	q := NewQueue()
	q.SetContract("urgent", Urgent, 1)
	q.SetContract("bulk", Bulk, 1)
	q.Push(job("u", "urgent", 1, time.Millisecond))
	q.Push(job("started", "bulk", 2, time.Millisecond))
	q.Push(job("old", "bulk", 1, time.Millisecond))
	q.Push(job("new", "bulk", 1, time.Millisecond))
	q.Take(q.flows["bulk"].jobs.First(), 1)
	var shed []string
	for v := q.Victim(Urgent); v != nil; v = q.Victim(Urgent) {
		shed = append(shed, v.ID)
		q.Remove(v)
	}
	if diff := cmp.Diff([]string{"new", "old"}, shed); diff != "" {
		t.Errorf("shed (a started job is not \"not run\"): %s", diff)
	}
}

func TestQueueInfeasible(t *testing.T) {
	q := NewQueue()
	j := job("1", "a", 1, time.Second)
	j.MinRunTime = time.Second
	q.Push(j)
	if q.Infeasible(j.Deadline.Add(-1001*time.Millisecond)) != nil {
		t.Error("expired too early")
	}
	if q.Infeasible(j.Deadline.Add(-time.Second)) != j {
		t.Error("a job that can't meet its deadline is kept")
	}
}

func newScheduler(picker Picker, limits Limiter, credits ...int) *Scheduler {
	s := NewScheduler(picker, limits)
	for i, n := range credits {
		a := s.Pool.Update(Agent{ID: fmt.Sprintf("agent-%d", i), Slots: 8, Memory: 8 << 30})
		s.Pool.Grant(a, n)
	}
	return s
}

func TestSchedulerBatchesTasks(t *testing.T) {
	s := newScheduler(&Credits{MessageCost: time.Millisecond}, noLimits{}, 2, 8, 4)
	s.Push(job("1", "a", 6, time.Millisecond))
	p, ok := s.Next(epoch)
	if !ok || p.Agent.ID != "agent-1" || len(p.Tasks) != 6 {
		t.Fatalf("placed %d tasks on %v", len(p.Tasks), p.Agent)
	}
	if s.Pool.Credits() != 8 || p.Agent.Credits() != 2 || p.Agent.Outstanding() != 6 {
		t.Errorf("credits %d, at the agent %d, outstanding %d", s.Pool.Credits(), p.Agent.Credits(), p.Agent.Outstanding())
	}
}

func TestSchedulerLimitBlocksOnlyItsContract(t *testing.T) {
	limits := fixedLimits{"a": 1, "b": 5}
	s := newScheduler(&Credits{}, limits, 8)
	s.Push(job("1", "a", 3, time.Millisecond))
	s.Push(job("2", "b", 3, time.Millisecond))
	got := map[string]int{}
	for p, ok := s.Next(epoch); ok; p, ok = s.Next(epoch) {
		got[p.Job.ID] += len(p.Tasks)
	}
	if diff := cmp.Diff(map[string]int{"1": 1, "2": 3}, got); diff != "" {
		t.Error(diff)
	}
	limits["a"] = 2
	s.Unblock("a")
	if p, ok := s.Next(epoch); !ok || len(p.Tasks) != 2 {
		t.Errorf("after the limit rose: %v", p)
	}
}

// Credits are granted one by one, and smaller tasks could use each of them. A task
// that needs the memory of several slots must not starve.
func TestSchedulerReservesForLargeTask(t *testing.T) {
	s := newScheduler(&Credits{}, noLimits{}, 1, 1)
	large := job("large", "a", 1, time.Millisecond)
	large.Tasks[0].Memory = 4 << 30
	large.DueTime = epoch
	s.Push(large)
	s.Push(job("small", "b", 50, time.Millisecond))
	for range 40 {
		for _, a := range s.Pool.all {
			s.Pool.Grant(a, 1)
		}
		for p, ok := s.Next(epoch); ok; p, ok = s.Next(epoch) {
			if p.Job == large {
				if p.Units != 4 || s.Waiting() == 0 {
					t.Errorf("units %d, waiting %d", p.Units, s.Waiting())
				}
				return
			}
		}
	}
	t.Error("the large task was never placed")
}

// Other entries keep all shared slots in use. A large task that waited at its entry
// for several spare slots would block the other work of its contract.
func TestSchedulerOverbooksForLargeTask(t *testing.T) {
	s := newScheduler(&Credits{}, noLimits{}, 8)
	a := s.Pool.Agent("agent-0")
	s.Pool.SetSpare(a, 0, 0)
	large := job("large", "a", 2, time.Millisecond)
	large.Tasks[0].Memory = 3 << 30
	s.Push(large)
	if p, ok := s.Next(epoch); ok {
		t.Fatalf("placed without spare slots: %v", p)
	}
	s.Pool.Overbook()
	p, ok := s.Next(epoch)
	if !ok || p.Units != 3 || len(p.Tasks) != 1 {
		t.Fatalf("placed %v", p)
	}
	if p, ok := s.Next(epoch); ok {
		t.Errorf("a second task was sent to wait too: %v", p)
	}
}

func TestSchedulerHealthState(t *testing.T) {
	s := newScheduler(&Credits{}, noLimits{}, 8, 8)
	s.Pool.Update(Agent{ID: "agent-0", Slots: 8, Health: Suspended})
	s.Pool.Update(Agent{ID: "agent-1", Slots: 8, Health: Trial})
	s.Push(job("1", "a", 5, time.Millisecond))
	p, ok := s.Next(epoch)
	if !ok || p.Agent.ID != "agent-1" || len(p.Tasks) != 1 {
		t.Fatalf("placed %v", p)
	}
	if p, ok := s.Next(epoch); ok {
		t.Errorf("second task during a trial: %v", p)
	}
	s.Pool.Ended(s.Pool.Agent("agent-1"), 1)
	if _, ok := s.Next(epoch); !ok {
		t.Error("no task after the trial task ended")
	}
}

func TestSchedulerPrefersFastAgents(t *testing.T) {
	s := newScheduler(&Credits{}, noLimits{}, 1, 1, 1)
	for i, slowness := range []float64{1.5, 1, 3} {
		s.Pool.Update(Agent{ID: fmt.Sprintf("agent-%d", i), Slots: 8, Slowness: slowness})
	}
	s.Push(job("1", "a", 3, 100*time.Millisecond))
	var got []string
	for p, ok := s.Next(epoch); ok; p, ok = s.Next(epoch) {
		got = append(got, p.Agent.ID)
	}
	if diff := cmp.Diff([]string{"agent-1", "agent-0", "agent-2"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestPoliciesPlaceEverything(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	for _, picker := range []Picker{&Credits{}, &Random{Rand: source}, &TwoChoices{Rand: source}, LeastLoaded{}} {
		t.Run(fmt.Sprintf("%T", picker), func(t *testing.T) {
			s := NewScheduler(picker, noLimits{})
			unbound := job("early", "a", 5, time.Millisecond)
			s.Push(unbound)
			for i := range 3 {
				s.Pool.Update(Agent{ID: fmt.Sprint(i), Slots: 8})
			}
			s.RetryUnplaced()
			removed := job("gone", "a", 5, time.Millisecond)
			s.Push(removed)
			s.Push(job("1", "a", 40, time.Millisecond))
			if n := len(s.Remove(removed)); n != 5 {
				t.Errorf("removed %d tasks", n)
			}
			s.RemoveAgent("0")
			placed := 0
			for range 100 {
				for _, a := range s.Pool.all {
					s.Pool.Grant(a, 1)
				}
				for p, ok := s.Next(epoch); ok; p, ok = s.Next(epoch) {
					placed += len(p.Tasks)
					s.Pool.Ended(p.Agent, p.Units)
				}
			}
			if placed != 45 || s.Waiting() != 0 {
				t.Errorf("placed %d, waiting %d", placed, s.Waiting())
			}
			for _, a := range s.Pool.all {
				if a.boundUnits != 0 || a.outstanding != 0 {
					t.Errorf("agent %s: bound %d, outstanding %d", a.ID, a.boundUnits, a.outstanding)
				}
			}
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		for _, contracts := range []int{1, 41} {
			b.Run(fmt.Sprintf("agents=%d/contracts=%d", agents, contracts), func(b *testing.B) {
				benchmarkPlace(b, agents, contracts)
			})
		}
	}
}

// benchmarkPlace keeps one credit at each agent, so that each pick examines all
// agents up to scanLimit, and refills the jobs as they run out of tasks.
func benchmarkPlace(b *testing.B, agents, contracts int) {
	s := NewScheduler(&Credits{MessageCost: time.Millisecond}, noLimits{})
	for i := range agents {
		a := s.Pool.Update(Agent{ID: fmt.Sprint(i), Slots: 8, RTT: time.Duration(i%3) * time.Millisecond})
		s.Pool.Grant(a, 1)
	}
	for c := range contracts {
		name := fmt.Sprint(c)
		s.SetContract(name, Class(c%3), 1)
		for k := range 20 {
			s.Push(job(fmt.Sprint(k), name, 160, 100*time.Millisecond))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		p, ok := s.Next(epoch)
		if !ok {
			b.Fatal("nothing placed")
		}
		s.Pool.Ended(p.Agent, p.Units)
		s.Pool.Grant(p.Agent, p.Units)
		if len(p.Job.Tasks) == 0 {
			b.StopTimer()
			s.Requeue(p.Job, job("", "", 160, 100*time.Millisecond).Tasks...)
			b.StartTimer()
		}
	}
}

func TestUnits(t *testing.T) {
	const gb = 1 << 30
	cases := []struct {
		task, worker uint64
		slots, want  int
	}{
		{0, 32 * gb, 8, 1},
		{4 * gb, 32 * gb, 8, 1},
		{4*gb + 1, 32 * gb, 8, 2},
		{32 * gb, 32 * gb, 8, 8},
		{32*gb + 1, 32 * gb, 8, 9},
		{1 << 63, 32 * gb, 8, 9},
		{1001, 1001, 8, 8},
		{gb, 0, 8, 1},
	}
	for _, c := range cases {
		if got := Units(c.task, c.worker, c.slots); got != c.want {
			t.Errorf("Units(%d, %d, %d) = %d, want %d", c.task, c.worker, c.slots, got, c.want)
		}
	}
}

func TestPlacingDoesNotAllocate(t *testing.T) {
	s := newScheduler(&Credits{}, noLimits{}, 8, 8, 8)
	s.Push(job("1", "a", 20000, time.Millisecond))
	allocs := testing.AllocsPerRun(1000, func() {
		p, ok := s.Next(epoch)
		if !ok {
			t.Fatal("nothing placed")
		}
		s.Pool.Ended(p.Agent, p.Units)
		s.Pool.Grant(p.Agent, p.Units)
	})
	if allocs != 0 {
		t.Errorf("%v allocations per placement", allocs)
	}
}
