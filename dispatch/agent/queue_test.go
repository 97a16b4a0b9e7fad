package agent_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// fullAgent is a fixture: an agent whose only slot is in use, with tasks queued for
// it.
type fullAgent struct {
	t     *testing.T
	now   time.Time
	agent *agent.Agent
	home  string
	seq   uint64
}

func newFullAgent(t *testing.T, waiting ...*pb.StartBatch) *fullAgent {
	f := &fullAgent{t: t, now: time.Unix(1000, 0), home: strings.Repeat("a", 32)}
	f.agent = agent.New(agent.Options{Hello: &pb.AgentHello{Agent: "x", Incarnation: "i", Slots: 1}, MaxQueued: 3})
	if why := f.agent.LinkUp(f.now, &pb.EntryHello{Entry: "e", Incarnation: f.home, AgentIncarnation: "i", Epoch: 1}); why != "" {
		t.Fatal(why)
	}
	f.step(&pb.EntryFrame{Starts: append([]*pb.StartBatch{f.start("running", 0)}, waiting...)})
	return f
}

func (f *fullAgent) name(id string) string { return "c/" + f.home + "-0." + id }

func (f *fullAgent) start(id string, class pb.Class) *pb.StartBatch {
	return &pb.StartBatch{Job: f.name(id), Class: class, TimeoutMs: 1000, Tasks: []*pb.TaskStart{{}}}
}

func (f *fullAgent) step(frame *pb.EntryFrame) {
	f.seq++
	frame.Seq = f.seq
	f.agent.Step(f.now, f.home, 1, frame)
}

// ready returns the jobs that start, and the refused ones with their reasons.
func (f *fullAgent) ready() (starts []string, refused map[string]string) {
	r := f.agent.Ready(f.now)
	for _, run := range r.Run {
		_, id, _ := strings.Cut(run.Job, ".")
		starts = append(starts, id)
	}
	refused = map[string]string{}
	for _, out := range r.Frames {
		for _, n := range out.Frame.News {
			for _, res := range n.Results {
				if res.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
					_, id, _ := strings.Cut(n.Job, ".")
					refused[id] = res.Error
				}
			}
		}
	}
	return starts, refused
}

func (f *fullAgent) end(id string) {
	ref := agent.TaskRef{Contract: "c", Job: f.home + "-0." + id}
	f.agent.TaskEnded(f.now, ref, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE})
}

func TestQueueByClass(t *testing.T) {
	f := newFullAgent(t)
	f.step(&pb.EntryFrame{Starts: []*pb.StartBatch{
		f.start("bulk", pb.Class_CLASS_BULK), f.start("normal", pb.Class_CLASS_NORMAL),
		f.start("urgent", pb.Class_CLASS_URGENT), f.start("excess", pb.Class_CLASS_URGENT),
	}})
	order, refused := f.ready()
	if diff := cmp.Diff(map[string]string{"excess": job.RefusedNoSlot}, refused); diff != "" {
		t.Errorf("refused: %s", diff)
	}
	for _, id := range []string{"running", "urgent", "normal"} {
		f.end(id)
		starts, _ := f.ready()
		order = append(order, starts...)
	}
	if diff := cmp.Diff([]string{"running", "urgent", "normal", "bulk"}, order); diff != "" {
		t.Error(diff)
	}
}

// A queued task is refused because it is revoked or fenced, its deadline passes or
// the agent is leaving. Its caller gets "not run", so the task must not start when
// the slot becomes free.
func TestQueuedTaskNeverStartsOnceRefused(t *testing.T) {
	cases := []struct {
		name string
		do   func(*fullAgent)
		want string
	}{
		{"revoked", func(f *fullAgent) {
			f.step(&pb.EntryFrame{Revokes: []*pb.Revoke{{Job: f.name("q"), Tasks: []uint32{0}}}})
		}, job.RefusedRevoked},
		{"fenced", func(f *fullAgent) {
			f.step(&pb.EntryFrame{Fences: []*pb.Fence{{Job: f.name("q"), HomeEnded: true}}})
		}, job.RefusedFenced},
		{"expired", func(f *fullAgent) {
			f.now = f.now.Add(time.Second)
			f.end("running")
		}, job.RefusedRevoked},
		{"leaving", func(f *fullAgent) { f.agent.Leave(f.now) }, job.RefusedLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFullAgent(t)
			f.step(&pb.EntryFrame{Starts: []*pb.StartBatch{f.start("q", pb.Class_CLASS_NORMAL)}})
			if starts, refused := f.ready(); len(starts) != 1 || len(refused) != 0 {
				t.Fatalf("before: starts %v, refused %v", starts, refused)
			}
			c.do(f)
			_, refused := f.ready()
			if diff := cmp.Diff(map[string]string{"q": c.want}, refused); diff != "" {
				t.Errorf("refused: %s", diff)
			}
			f.end("running")
			if starts, _ := f.ready(); len(starts) != 0 {
				t.Errorf("started after the refusal: %v", starts)
			}
		})
	}
}
