package entry_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
)

// addSeed adds an encoded message to the corpus.
func addSeed(f *testing.F, m proto.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
}

// An agent of another release, or a faulty one, sends frames that make no sense.
// The entry must neither crash, which would affect all its callers, nor start
// anything because of them.
func FuzzAgentFrame(f *testing.F) {
	addSeed(f, &pb.AgentFrame{Seq: 2, Granted: 1 << 31, Recall: 7, Load: &pb.AgentLoad{Contracts: []*pb.ContractLoad{{Contract: "desk"}}}})
	addSeed(f, &pb.AgentFrame{Seq: 2, News: []*pb.TaskNews{{Job: "x", Results: []*pb.TaskResult{{Task: 1 << 31}}}}})
	addSeed(f, &pb.AgentFrame{Seq: 2, Fenced: []*pb.FenceReport{{Job: "x", Running: []uint32{1 << 31}}}})
	f.Fuzz(func(t *testing.T, text []byte) {
		var frame pb.AgentFrame
		if proto.Unmarshal(text, &frame) != nil {
			return
		}
		b := newFixture(t, 1, contractOf("desk"))
		// Some of these numbers are stale, and the others arrive in sequence.
		for frame.Seq = 1; frame.Seq <= 8; frame.Seq++ {
			frame.Ack = min(frame.Ack, 1)
			b.entry.Step(b.now, "agent-0", 1, &frame)
		}
		b.entry.Tick(b.now.Add(time.Second))
		for _, out := range b.entry.Ready(b.now).Frames {
			if len(out.Frame.Starts) > 0 {
				t.Errorf("start without a job: %v", out.Frame)
			}
		}
	})
}

// Checks that the entry applies frames with the numbers used by FuzzAgentFrame;
// otherwise that test would have no effect.
func TestFuzzedFramesAreApplied(t *testing.T) {
	b := newFixture(t, 1)
	before := b.entry.Counts().Credits
	for seq := uint64(1); seq <= 8; seq++ {
		b.entry.Step(b.now, "agent-0", 1, &pb.AgentFrame{Seq: seq, Granted: 1})
	}
	if got := b.entry.Counts().Credits; got == before {
		t.Errorf("%d credits before and after", got)
	}
}

// The states of shares that other entries send may be invalid, too.
func FuzzShareState(f *testing.F) {
	addSeed(f, &pb.ShareState{Entry: "other", Plan: &pb.SharePlan{
		Number: 1 << 63, Allocator: "other", Totals: []*pb.SharePart{{Contract: "desk", Slots: 1 << 31}},
		Entries: []*pb.EntryShares{{Entry: "other", Parts: []*pb.SharePart{{Contract: "desk"}}}},
	}})
	f.Fuzz(func(t *testing.T, text []byte) {
		var state pb.ShareState
		if proto.Unmarshal(text, &state) != nil {
			return
		}
		b := newFixture(t, 1, contractOf("desk"))
		b.entry.UpdateEntries(b.now, []string{"other"}, []string{"desk"})
		state.Entry = "other"
		b.entry.ReceiveShares(b.now, &state)
		b.entry.UpdateEntries(b.now, []string{"other"}, []string{"desk"})
		_ = b.entry.ShareState()
		b.settle()
	})
}

// An agent serves entries of any release. A frame that makes no sense must neither
// crash it nor make it run more tasks than it has slots.
func FuzzEntryFrame(f *testing.F) {
	addSeed(f, &pb.EntryFrame{Seq: 2, Starts: []*pb.StartBatch{{Job: "x", Tasks: []*pb.TaskStart{{Task: 1, MemoryBytes: 1 << 63}}}}})
	addSeed(f, &pb.EntryFrame{Seq: 2, Revokes: []*pb.Revoke{{Job: "x"}}, Fences: []*pb.Fence{{}}, Returned: 1 << 31, Want: 1 << 31})
	f.Fuzz(func(t *testing.T, text []byte) {
		var frame pb.EntryFrame
		if proto.Unmarshal(text, &frame) != nil {
			return
		}
		a := agent.New(agent.Options{Hello: &pb.AgentHello{Agent: "a", Incarnation: "i", Slots: 8, MemoryBytes: 32 * gib}})
		if why := a.LinkUp(start, &pb.EntryHello{Entry: "e", Incarnation: "e", AgentIncarnation: "i", Epoch: 1}); why != "" {
			t.Fatal(why)
		}
		frame.Seq, frame.Ack = 1, 0
		a.Step(start, "e", 1, &frame)
		if running := len(a.Ready(start).Run); running > 8 {
			t.Errorf("%d tasks run on 8 slots", running)
		}
		a.Tick(start.Add(time.Second))
	})
}
