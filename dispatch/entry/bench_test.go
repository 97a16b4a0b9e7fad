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

// pair is an entry with agents whose endpoints end each task at once. Messages
// take no time; time advances with each job.
type pair struct {
	b       *testing.B
	now     time.Time
	entry   *entry.Entry
	agents  []*agent.Agent
	answers int

	entryTime, agentTime time.Duration
	messages, bytes      int
	count                bool
}

func newPair(b *testing.B) *pair {
	p := &pair{b: b, now: time.Unix(1_000_000, 0)}
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
		p.entry.AgentSeen(p.now, hello, false, false)
	}
	p.settle()
	return p
}

func (p *pair) settle() {
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
			p.measure(f.Frame)
			i, _ := strconv.Atoi(f.Agent[1:])
			began = time.Now()
			p.agents[i].Step(p.now, benchHome, f.Epoch, f.Frame)
			p.agentTime += time.Since(began)
			p.settleAgent(i, f.Agent)
		}
	}
}

func (p *pair) settleAgent(i int, name string) {
	for {
		began := time.Now()
		r := p.agents[i].Ready(p.now)
		for _, run := range r.Run {
			p.agents[i].TaskEnded(p.now, run.TaskRef, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, Body: run.Payload})
		}
		p.agentTime += time.Since(began)
		for _, f := range r.Frames {
			p.measure(f.Frame)
			began = time.Now()
			p.entry.Step(p.now, name, f.Epoch, f.Frame)
			p.entryTime += time.Since(began)
		}
		if len(r.Run)+len(r.Frames) == 0 {
			return
		}
	}
}

func (p *pair) measure(m proto.Message) {
	if p.count {
		p.messages++
		p.bytes += proto.Size(m)
	}
}

func (p *pair) job(i, tasks int) {
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

// BenchmarkOutcomes is the path of a job through the decisions of entry and agent:
// submit, dispatch, start, result, answer. Neither has any other way out, so the
// platform's store is not called.
func BenchmarkOutcomes(b *testing.B) {
	for _, tasks := range []int{1, 10, 160} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p := newPair(b)
			for i := range 100 {
				p.job(i, tasks)
			}
			p.answers, p.entryTime, p.agentTime, p.count = 0, 0, 0, true
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.job(100+i, tasks)
			}
			b.StopTimer()
			if p.answers != b.N {
				b.Fatalf("%d answers to %d jobs", p.answers, b.N)
			}
			n := float64(b.N)
			per := n * float64(tasks)
			b.ReportMetric(float64(p.entryTime.Nanoseconds())/per, "entry-ns/task")
			b.ReportMetric(float64(p.agentTime.Nanoseconds())/per, "agent-ns/task")
			b.ReportMetric(float64(p.messages)/n, "messages/job")
			b.ReportMetric(float64(p.bytes)/per, "wire-B/task")
		})
	}
}
