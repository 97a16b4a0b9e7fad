package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const entriesPerCell = 3

// TestCellServes validates the benchmarks: the cell that they measure answers every job
// completely.
func TestCellServes(t *testing.T) {
	c := newCell(entriesPerCell, 10, 4)
	for i := range 40 {
		c.submit(i, 3, 4)
		c.advance(20 * time.Millisecond)
	}
	c.advance(2 * time.Second)
	if got := c.answers[pb.Outcome_OUTCOME_COMPLETE]; got != 40 {
		t.Errorf("%d of 40 jobs complete; outcomes %v", got, c.answers)
	}
	if c.frames == 0 || c.entryTime == 0 || c.agentTime == 0 {
		t.Error("nothing was measured")
	}
}

// BenchmarkIdle lets a minute pass in a cell without work and reports the cost per second.
func BenchmarkIdle(b *testing.B) {
	for _, agents := range []int{11, 50, 100, 200, 400, 1000} {
		b.Run(fmt.Sprintf("entries=3/agents=%d", agents), func(b *testing.B) {
			c := newCell(entriesPerCell, agents, 41)
			c.advance(20 * time.Second)
			c.reset()
			var seconds float64
			for b.Loop() {
				c.advance(time.Minute)
				seconds += time.Minute.Seconds()
			}
			b.ReportMetric(float64(c.entryTime.Nanoseconds())/seconds/entriesPerCell, "entry-ns/s")
			b.ReportMetric(float64(c.agentTime.Nanoseconds())/seconds/float64(agents), "agent-ns/s")
			b.ReportMetric(float64(c.bytes)/seconds/entriesPerCell, "entry-B/s")
			b.ReportMetric(float64(c.bytes)/seconds/float64(agents), "agent-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkJobs submits jobs at a rate that keeps half of the slots busy and reports the cost
// per task.
func BenchmarkJobs(b *testing.B) {
	for _, agents := range []int{11, 100, 400} {
		for _, tasks := range []int{1, 16, 160} {
			b.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(b *testing.B) {
				benchJobs(b, agents, tasks, 41)
			})
		}
	}
}

// BenchmarkWaiting sweeps the number of waiting tasks while jobs of one task arrive as fast as
// they are served.
func BenchmarkWaiting(b *testing.B) {
	const agents, contractCount = 11, 41
	for _, waiting := range []int{0, 1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := newCell(entriesPerCell, agents, contractCount)
			jobs := 0
			submit := func() {
				c.submit(jobs, 1, contractCount)
				jobs++
			}
			for range waiting + agents*slots {
				submit()
			}
			gap := taskRun / (agents * slots)
			c.advance(time.Second)
			c.reset()
			first := jobs
			for b.Loop() {
				submit()
				c.advance(gap)
			}
			if refused := c.answers[pb.Outcome_OUTCOME_NOT_RUN]; refused > 0 {
				b.Fatalf("%d jobs were refused", refused)
			}
			b.ReportMetric(float64(c.entryTime.Nanoseconds())/float64(jobs-first), "entry-ns/task")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkContracts sweeps the number of contracts in force.
func BenchmarkContracts(b *testing.B) {
	for _, n := range []int{1, 41, 410} {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) { benchJobs(b, 100, 1, n) })
	}
}

func benchJobs(b *testing.B, agents, tasks, contractCount int) {
	const load = 0.5
	c := newCell(entriesPerCell, agents, contractCount)
	tasksPerSecond := load * float64(agents*slots) / taskRun.Seconds()
	gap := time.Duration(float64(tasks) / tasksPerSecond * float64(time.Second))
	jobs := 0
	step := func() {
		c.submit(jobs, tasks, contractCount)
		jobs++
		c.advance(gap)
	}
	// The warm-up covers the work caused by new links and first estimates.
	for warm := c.now.Add(3 * time.Second); c.now.Before(warm); {
		step()
	}
	c.reset()
	first := jobs
	for b.Loop() {
		step()
	}
	sent := float64((jobs - first) * tasks)
	b.ReportMetric(float64(c.entryTime.Nanoseconds())/sent, "entry-ns/task")
	b.ReportMetric(float64(c.agentTime.Nanoseconds())/sent, "agent-ns/task")
	b.ReportMetric(float64(c.frames)/sent, "frames/task")
	b.ReportMetric(float64(c.bytes)/sent, "B/task")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRestart replaces agents by new incarnations and reports the cost of each to an
// entry, from the announcement to the credits.
func BenchmarkRestart(b *testing.B) {
	for _, agents := range []int{11, 100, 400} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			c := newCell(entriesPerCell, agents, 41)
			restarts := 0
			for b.Loop() {
				c.restart(restarts%agents, restarts)
				restarts++
			}
			b.ReportMetric(float64(c.entryTime.Nanoseconds())/float64(restarts)/entriesPerCell, "entry-ns/restart")
			b.ReportMetric(float64(c.bytes)/float64(restarts)/entriesPerCell, "B/restart")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDomainLost cuts off a third of the agents while they run tasks, and reports the time
// that an entry spends until it has abandoned all of these tasks.
func BenchmarkDomainLost(b *testing.B) {
	for _, agents := range []int{33, 99, 399} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			var spent time.Duration
			for b.Loop() {
				c := newCell(entriesPerCell, agents, 1)
				for i := range agents * slots / 2 {
					c.submit(i, 1, 1)
				}
				c.reset()
				c.failDomain()
				c.advance(15 * time.Second)
				spent += c.entryTime
			}
			b.ReportMetric(float64(spent.Milliseconds())/float64(b.N)/entriesPerCell, "entry-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkMemory reports the live heap per agent, per contract, per job in flight, and per
// answered job that the entry still remembers.
func BenchmarkMemory(b *testing.B) {
	b.Run("agent-at-entry", func(b *testing.B) {
		heapPerUnit(b, 400, func(n int) any { return newCell(1, n, 1) })
	})
	b.Run("contract-at-entry", func(b *testing.B) {
		heapPerUnit(b, 400, func(n int) any { return newCell(1, 1, n) })
	})
	for _, tasks := range []int{1, 16} {
		b.Run(fmt.Sprintf("job-in-flight/tasks=%d", tasks), func(b *testing.B) {
			heapPerUnit(b, 2000, func(n int) any {
				c := newCell(1, 200, 1)
				for i := range n {
					c.submit(i, tasks, 1)
				}
				if len(c.answers) > 0 {
					b.Fatalf("jobs were answered at once: %v", c.answers)
				}
				return c
			})
		})
		b.Run(fmt.Sprintf("job-remembered/tasks=%d", tasks), func(b *testing.B) {
			heapPerUnit(b, 2000, func(n int) any {
				c := newCell(1, 100, 1)
				for i := range n {
					c.submit(i, tasks, 1)
					c.advance(taskRun)
				}
				c.advance(time.Second)
				if c.answers[pb.Outcome_OUTCOME_COMPLETE] != n {
					b.Fatalf("not all %d jobs are complete: %v", n, c.answers)
				}
				return c
			})
		})
	}
}

// heapPerUnit reports the growth of the heap from no unit to n units, per unit.
func heapPerUnit(b *testing.B, n int, build func(n int) any) {
	var grown float64
	for b.Loop() {
		small := build(1)
		before := heapBytes()
		large := build(n + 1)
		grown += heapBytes() - before
		runtime.KeepAlive(small)
		runtime.KeepAlive(large)
	}
	b.ReportMetric(grown/float64(b.N)/float64(n), "B/unit")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkExchange reports the cost of the exchange between entries: the encoded size of one
// state, and the time that an entry spends on applying one.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{3, 9, 15} {
		b.Run(fmt.Sprintf("entries=%d/contracts=41", entries), func(b *testing.B) {
			c := newCell(entries, 11, 41)
			for i := range 100 {
				c.submit(i, 4, 41)
			}
			var peers []*pb.Peer
			for _, e := range c.entries {
				peers = append(peers, &pb.Peer{
					Entry: "entry-00", Incarnation: e.id, Address: "10.0.1.11:7401", FailureDomain: "frame-hall",
					OperatorAddress: "10.0.1.11:7402",
				})
			}
			for range 3 {
				c.exchange()
			}
			c.reset()
			for b.Loop() {
				c.exchange()
			}
			state := &pb.PeerState{Self: peers[0], Peers: peers, Shares: c.entries[0].core.ShareState()}
			b.ReportMetric(float64(proto.Size(state)), "B/state")
			exchanged := float64(b.N * entries * (entries - 1))
			b.ReportMetric(float64(c.entryTime.Nanoseconds())/exchanged, "entry-ns/state")
			b.ReportMetric(0, "ns/op")
		})
	}
}
