package capacity

import (
	"container/heap"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
)

const (
	gib     = 1 << 30
	slots   = 8
	taskRun = 150 * time.Millisecond
)

var startTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// cell is a set of entries and agents that are all linked with each other.
type cell struct {
	now     time.Time
	entries []*entryNode
	agents  []*agentNode
	byName  map[string]*agentNode
	byEntry map[string]*entryNode
	running runHeap
	// inFlight delivers the frames in flight, in the order in which they were sent.
	inFlight []func()

	frames, bytes        int
	entryTime, agentTime time.Duration
	answers              map[pb.Outcome]int
}

type entryNode struct {
	core *entry.Entry
	id   string // incarnation
}

type agentNode struct {
	core *agent.Agent
	name string
	lost bool
}

// run is a task at an endpoint.
type run struct {
	until time.Time
	at    *agentNode
	ref   agent.TaskRef
}

type runHeap []run

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(run)) }
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// contracts returns n contracts whose limits hold nothing back.
func contracts(n int) map[string]*pb.Contract {
	list := make(map[string]*pb.Contract, n)
	for i := range n {
		name := fmt.Sprint("contract-", i)
		list[name] = &pb.Contract{
			Name: name, Revision: uint64(i + 1), Class: pb.Class_CLASS_NORMAL, Weight: 1, Rate: 1e6, Burst: 1e6,
			Concurrency: 1e6, MemoryBytes: 1 << 50, Waiting: 1e6, DefaultTimeoutMs: 10_000,
		}
	}
	return list
}

func newCell(entries, agents, contractCount int) *cell {
	c := &cell{
		now: startTime, byName: map[string]*agentNode{}, byEntry: map[string]*entryNode{}, answers: map[pb.Outcome]int{},
	}
	inForce := contracts(contractCount)
	names := make([]string, 0, len(inForce))
	for name := range inForce {
		names = append(names, name)
	}
	var ids []string
	for i := range entries {
		ids = append(ids, strings.Repeat(fmt.Sprintf("%x", i+1), 32))
	}
	for i, id := range ids {
		n := &entryNode{id: id, core: entry.New(entry.Options{
			Hello:    &pb.EntryHello{Entry: fmt.Sprint("entry-", i), Incarnation: id, Address: "10.0.0.1:7401"},
			Started:  startTime,
			Contract: func(name string) *pb.Contract { return inForce[name] },
			MaxJobs:  1 << 30,
			Events:   event.NewRing(event.Options{Process: fmt.Sprint("entry-", i)}),
		})}
		others := append(append([]string{}, ids[:i]...), ids[i+1:]...)
		n.core.UpdateEntries(c.now, others, names)
		c.entries = append(c.entries, n)
		c.byEntry[id] = n
	}
	for i := range agents {
		c.addAgent(i)
	}
	c.settle()
	c.reset()
	return c
}

func (c *cell) addAgent(i int) { c.agents = append(c.agents, c.startAgent(i, i)) }

// restart replaces an agent by a new process.
func (c *cell) restart(i, incarnation int) {
	c.agents[i] = c.startAgent(i, 1_000_000+incarnation)
	for _, e := range c.entries {
		c.serveEntry(e)
	}
	c.deliverFrames()
}

// failDomain makes a third of the agents vanish; the entries notice it by timeouts.
func (c *cell) failDomain() {
	for i := 0; i < len(c.agents); i += 3 {
		c.agents[i].lost = true
	}
}

func (c *cell) startAgent(i, incarnation int) *agentNode {
	hello := &pb.AgentHello{
		Agent: fmt.Sprint("agent-", i), Incarnation: fmt.Sprintf("%032x", incarnation), Address: "10.0.1.1:7411",
		FailureDomain: fmt.Sprint("domain-", i%3), Worker: fmt.Sprint("worker-", i), Rack: fmt.Sprint("rack-", i/3),
		Slots: slots, Cores: 16, MemoryBytes: 32 * gib,
	}
	n := &agentNode{name: hello.Agent, core: agent.New(agent.Options{
		Hello: hello, Events: event.NewRing(event.Options{Process: hello.Agent, Size: 64}),
	})}
	c.byName[n.name] = n
	for _, e := range c.entries {
		c.timeEntry(func() { e.core.AgentAnnounced(c.now, hello, false, false) })
	}
	return n
}

func (c *cell) reset() {
	c.frames, c.bytes, c.entryTime, c.agentTime = 0, 0, 0, 0
	clear(c.answers)
}

// settle serves every node and delivers frames, in the order in which they were sent, until
// none is left.
func (c *cell) settle() {
	for _, e := range c.entries {
		c.serveEntry(e)
	}
	for _, a := range c.agents {
		c.serveAgent(a)
	}
	c.deliverFrames()
}

func (c *cell) deliverFrames() {
	for len(c.inFlight) > 0 {
		deliver := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		deliver()
	}
}

// serveEntry does what a driver does after each input.
func (c *cell) serveEntry(e *entryNode) {
	var ready entry.Ready
	c.timeEntry(func() {
		ready = e.core.Ready(c.now)
		e.core.Next()
	})
	for _, d := range ready.Dials {
		a := c.byName[d.Agent]
		if a.lost {
			continue
		}
		c.count(&pb.EntryFrame{Hello: d.Hello})
		if refused := a.core.LinkUp(c.now, d.Hello); refused == "" {
			e.core.LinkUp(c.now, d.Agent, d.Hello.Epoch)
			c.inFlight = append(c.inFlight, func() { c.serveAgent(a); c.serveEntry(e) })
		}
	}
	for _, out := range ready.Frames {
		c.count(out.Frame)
		a := c.byName[out.Agent]
		if a.lost {
			continue
		}
		c.inFlight = append(c.inFlight, func() {
			c.timeAgent(func() { a.core.Step(c.now, e.id, out.Epoch, out.Frame) })
			c.serveAgent(a)
		})
	}
	for _, answer := range ready.Answers {
		c.answers[answer.Answer.Outcome]++
	}
}

// serveAgent does what a driver does after each input.
func (c *cell) serveAgent(a *agentNode) {
	if a.lost {
		return
	}
	var ready agent.Ready
	c.timeAgent(func() {
		ready = a.core.Ready(c.now)
		a.core.Next()
	})
	for _, r := range ready.Run {
		heap.Push(&c.running, run{until: c.now.Add(taskRun), at: a, ref: r.TaskRef})
	}
	for _, out := range ready.Frames {
		c.count(out.Frame)
		e := c.byEntry[out.Entry]
		c.inFlight = append(c.inFlight, func() {
			c.timeEntry(func() { e.core.Step(c.now, a.name, out.Epoch, out.Frame) })
			c.serveEntry(e)
		})
	}
}

func (c *cell) count(m proto.Message) {
	c.frames++
	c.bytes += proto.Size(m)
}

func (c *cell) timeEntry(f func()) {
	at := time.Now()
	f()
	c.entryTime += time.Since(at)
}

func (c *cell) timeAgent(f func()) {
	at := time.Now()
	f()
	c.agentTime += time.Since(at)
}

// advance lets d pass. Each node that is due is served as its driver would serve it: one input,
// a call of Ready, and a call of Next.
func (c *cell) advance(d time.Duration) {
	end := c.now.Add(d)
	for {
		next := end
		for _, e := range c.entries {
			next = earliest(next, e.core.Next())
		}
		for _, a := range c.agents {
			if !a.lost {
				next = earliest(next, a.core.Next())
			}
		}
		if len(c.running) > 0 {
			next = earliest(next, c.running[0].until)
		}
		if next.After(c.now) {
			c.now = next
		}
		c.handleDue()
		c.deliverFrames()
		if !c.now.Before(end) {
			return
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *cell) handleDue() {
	for len(c.running) > 0 && !c.running[0].until.After(c.now) {
		r := heap.Pop(&c.running).(run)
		c.timeAgent(func() {
			r.at.core.TaskEnded(c.now, r.ref, &pb.TaskResult{
				Outcome: pb.Outcome_OUTCOME_COMPLETE, RunMillis: uint32(taskRun.Milliseconds()), PeakMemoryBytes: gib / 4,
				Body: []byte("a result of forty bytes, as gauges are.."),
			})
		})
		c.serveAgent(r.at)
	}
	for _, a := range c.agents {
		if a.lost {
			continue
		}
		if next := a.core.Next(); !next.IsZero() && !next.After(c.now) {
			c.timeAgent(func() { a.core.Tick(c.now) })
			c.serveAgent(a)
		}
	}
	for _, e := range c.entries {
		if next := e.core.Next(); !next.IsZero() && !next.After(c.now) {
			c.timeEntry(func() { e.core.Tick(c.now) })
			c.serveEntry(e)
		}
	}
}

// submit submits a job to the next entry in turn.
func (c *cell) submit(number, tasks, contractCount int) {
	e := c.entries[number%len(c.entries)]
	j := &pb.Job{
		Id:       e.core.Token(c.now).String() + fmt.Sprintf(".job-%016d", number),
		Contract: fmt.Sprint("contract-", number%contractCount), Kind: "gauge", TimeoutMs: 600_000,
	}
	for range tasks {
		j.Tasks = append(j.Tasks, &pb.Task{Payload: []byte("a payload of forty bytes, as gauges are.."), MemoryBytes: gib / 4})
	}
	c.timeEntry(func() { e.core.Submit(c.now, j) })
	c.serveEntry(e)
	c.deliverFrames()
}

// exchange sends the shares of every entry to every other.
func (c *cell) exchange() {
	for _, from := range c.entries {
		for _, to := range c.entries {
			if from != to {
				c.timeEntry(func() { to.core.ReceiveShares(c.now, from.core.ShareState()) })
			}
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
