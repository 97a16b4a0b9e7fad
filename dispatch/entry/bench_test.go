package entry_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
)

const (
	benchHome    = "0123456789abcdef0123456789abcdef"
	benchPayload = 256
	benchAgents  = 8
	benchSlots   = 40
)

// benchSite is an entry with agents whose endpoints complete each task immediately.
// Messages take no time. Time advances with each job.
type benchSite struct {
	b       *testing.B
	now     time.Time
	entry   *entry.Entry
	agents  []*agent.Agent
	answers int

	entryTime, agentTime time.Duration
	messages, bytes      int
	counting             bool
}

func newBenchSite(b *testing.B) *benchSite {
	p := &benchSite{b: b, now: time.Unix(1_000_000, 0)}
	c := &pb.Contract{
		Name: "desk", Class: pb.Class_CLASS_NORMAL, Weight: 1, Rate: 1e9, Burst: 1e9, Concurrency: 1e6,
		MemoryBytes: 1 << 50, Waiting: 1e6, DefaultTimeoutMs: 60_000,
	}
	p.entry = entry.New(entry.Options{
		Hello:   &pb.EntryHello{Entry: "e", Incarnation: benchHome},
		Started: p.now, Contract: func(string) *pb.Contract { return c },
	})
	for i := range benchAgents {
		hello := &pb.AgentHello{Agent: "a" + strconv.Itoa(i), Incarnation: strconv.Itoa(i), Slots: benchSlots, MemoryBytes: 1 << 40}
		p.agents = append(p.agents, agent.New(agent.Options{Hello: hello}))
		p.entry.AgentAnnounced(p.now, hello, false, false)
	}
	p.settle()
	return p
}

func (p *benchSite) settle() {
	for {
		began := time.Now()
		r := p.entry.Ready(p.now)
		p.entryTime += time.Since(began)
		p.answers += len(r.Answers)
		if len(r.Dials)+len(r.Frames) == 0 {
			return
		}
		for _, d := range r.Dials {
			i, _ := strconv.Atoi(d.Agent[1:])
			p.agents[i].LinkUp(p.now, d.Hello)
			p.entry.LinkUp(p.now, d.Agent, d.Hello.Epoch)
			p.settleAgent(i, d.Agent)
		}
		for _, f := range r.Frames {
			p.countMessage(f.Frame)
			i, _ := strconv.Atoi(f.Agent[1:])
			began = time.Now()
			p.agents[i].Step(p.now, benchHome, f.Epoch, f.Frame)
			p.agentTime += time.Since(began)
			p.settleAgent(i, f.Agent)
		}
	}
}

func (p *benchSite) settleAgent(i int, name string) {
	for {
		began := time.Now()
		r := p.agents[i].Ready(p.now)
		for _, run := range r.Run {
			p.agents[i].TaskEnded(p.now, run.TaskRef, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, Body: run.Payload})
		}
		p.agentTime += time.Since(began)
		for _, f := range r.Frames {
			p.countMessage(f.Frame)
			began = time.Now()
			p.entry.Step(p.now, name, f.Epoch, f.Frame)
			p.entryTime += time.Since(began)
		}
		if len(r.Run)+len(r.Frames) == 0 {
			return
		}
	}
}

func (p *benchSite) countMessage(m proto.Message) {
	if p.counting {
		p.messages++
		p.bytes += proto.Size(m)
	}
}

func (p *benchSite) runJob(i, tasks int) {
	j := &pb.Job{Id: p.entry.Token(p.now).String() + ".j" + strconv.Itoa(i), Contract: "desk", Kind: "gauge", Tasks: make([]*pb.Task, tasks)}
	payload := make([]byte, benchPayload)
	all := make([]pb.Task, tasks)
	for t := range all {
		all[t].Payload = payload
		j.Tasks[t] = &all[t]
	}
	began := time.Now()
	_, refused := p.entry.Submit(p.now, j)
	p.entryTime += time.Since(began)
	if refused != nil {
		p.b.Fatal(refused)
	}
	p.settle()
	p.now = p.now.Add(time.Millisecond)
	began = time.Now()
	p.entry.Tick(p.now)
	p.entryTime += time.Since(began)
	began = time.Now()
	for _, a := range p.agents {
		a.Tick(p.now)
	}
	p.agentTime += time.Since(began)
}

// BenchmarkOutcomes measures the path of a job through the state machines of entry
// and agent: submit, dispatch, start, result, answer. The platform's store is not
// called.
func BenchmarkOutcomes(b *testing.B) {
	for _, tasks := range []int{1, 10, 160} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p := newBenchSite(b)
			for i := range 100 {
				p.runJob(i, tasks)
			}
			p.answers, p.entryTime, p.agentTime, p.counting = 0, 0, 0, true
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.runJob(100+i, tasks)
			}
			b.StopTimer()
			if p.answers != b.N {
				b.Fatalf("%d answers to %d jobs", p.answers, b.N)
			}
			n := float64(b.N)
			totalTasks := n * float64(tasks)
			b.ReportMetric(float64(p.entryTime.Nanoseconds())/totalTasks, "entry-ns/task")
			b.ReportMetric(float64(p.agentTime.Nanoseconds())/totalTasks, "agent-ns/task")
			b.ReportMetric(float64(p.messages)/n, "messages/job")
			b.ReportMetric(float64(p.bytes)/totalTasks, "wire-B/task")
		})
	}
}
