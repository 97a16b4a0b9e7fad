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

// full is an agent with one slot, in use, and tasks that wait for it.
type full struct {
	t     *testing.T
	now   time.Time
	agent *agent.Agent
	home  string
	seq   uint64
}

func newFull(t *testing.T, waiting ...*pb.StartBatch) *full {
	f := &full{t: t, now: time.Unix(1000, 0), home: strings.Repeat("a", 32)}
	f.agent = agent.New(agent.Options{Hello: &pb.AgentHello{Agent: "x", Incarnation: "i", Slots: 1}, MaxQueued: 3})
	if why := f.agent.LinkUp(f.now, &pb.EntryHello{Entry: "e", Incarnation: f.home, AgentIncarnation: "i", Epoch: 1}); why != "" {
		t.Fatal(why)
	}
	f.step(&pb.EntryFrame{Starts: append([]*pb.StartBatch{f.start("running", 0)}, waiting...)})
	return f
}

func (f *full) name(id string) string { return "c/" + f.home + "-0." + id }

func (f *full) start(id string, class pb.Class) *pb.StartBatch {
	return &pb.StartBatch{Job: f.name(id), Class: class, TimeoutMs: 1000, Tasks: []*pb.TaskStart{{}}}
}

func (f *full) step(frame *pb.EntryFrame) {
	f.seq++
	frame.Seq = f.seq
	f.agent.Step(f.now, f.home, 1, frame)
}

// ready returns the jobs that start, and those refused with the reasons.
func (f *full) ready() (starts []string, refused map[string]string) {
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

func (f *full) end(id string) {
	ref := agent.TaskRef{Contract: "c", Job: f.home + "-0." + id}
	f.agent.TaskEnded(f.now, ref, &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE})
}

func TestQueueByClass(t *testing.T) {
	f := newFull(t)
	f.step(&pb.EntryFrame{Starts: []*pb.StartBatch{
		f.start("bulk", pb.Class_CLASS_BULK), f.start("normal", pb.Class_CLASS_NORMAL),
		f.start("urgent", pb.Class_CLASS_URGENT), f.start("late", pb.Class_CLASS_URGENT),
	}})
	order, refused := f.ready()
	if diff := cmp.Diff(map[string]string{"late": job.RefusedNoSlot}, refused); diff != "" {
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

// A task waits at an agent for a slot when nobody may start it any more: its
// caller has cancelled it, another entry has fenced its job, its deadline has
// passed, or the agent leaves. A caller is told "not run", so it must never start
// once the slot is free.
func TestQueuedTaskNeverStartsOnceRefused(t *testing.T) {
	cases := []struct {
		name string
		do   func(*full)
		want string
	}{
		{"revoked", func(f *full) {
			f.step(&pb.EntryFrame{Revokes: []*pb.Revoke{{Job: f.name("q"), Tasks: []uint32{0}}}})
		}, job.RefusedRevoked},
		{"fenced", func(f *full) {
			f.step(&pb.EntryFrame{Fences: []*pb.Fence{{Job: f.name("q"), HomeEnded: true}}})
		}, job.RefusedFenced},
		{"late", func(f *full) {
			f.now = f.now.Add(time.Second)
			f.end("running")
		}, job.RefusedRevoked},
		{"leaving", func(f *full) { f.agent.Leave(f.now) }, job.RefusedLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFull(t)
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
