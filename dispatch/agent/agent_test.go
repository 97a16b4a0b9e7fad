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

var (
	home  = strings.Repeat("a", job.IncarnationLength)
	other = strings.Repeat("b", job.IncarnationLength)
	start = time.Unix(1000, 0)
)

// peer simulates the entries linked to one agent.
type peer struct {
	t        *testing.T
	agent    *agent.Agent
	now      time.Time
	epoch    uint64
	seq      uint64
	runs     []agent.TaskRef
	received []*pb.AgentFrame // on the link in use
}

func newPeer(t *testing.T, opts agent.Options) *peer {
	opts.Hello = &pb.AgentHello{Agent: "a", Incarnation: "1", Slots: 8}
	return &peer{t: t, agent: agent.New(opts), now: start}
}

// link replaces the link of an entry.
func (p *peer) link(entry string) {
	p.t.Helper()
	p.epoch++
	p.seq, p.received = 0, nil
	hello := &pb.EntryHello{Incarnation: entry, AgentIncarnation: "1", Epoch: p.epoch}
	if why := p.agent.LinkUp(p.now, hello); why != "" {
		p.t.Fatal(why)
	}
	p.drain()
}

func (p *peer) drain() {
	r := p.agent.Ready(p.now)
	for _, run := range r.Run {
		p.runs = append(p.runs, run.TaskRef)
	}
	for _, f := range r.Frames {
		if f.Epoch == p.epoch {
			p.received = append(p.received, f.Frame)
		}
	}
}

// send gives the agent a frame that acknowledges nothing.
func (p *peer) send(entry string, f *pb.EntryFrame) {
	p.seq++
	f.Seq = p.seq
	p.agent.Step(p.now, entry, p.epoch, f)
	p.drain()
}

func (p *peer) startTask(name string, resent bool) {
	p.send(home, &pb.EntryFrame{Starts: []*pb.StartBatch{{
		Job: name, Contract: "c", TimeoutMs: 60_000, Resent: resent, Tasks: []*pb.TaskStart{{}},
	}}})
}

func (p *peer) end(id string, outcome pb.Outcome) {
	p.agent.TaskEnded(p.now, agent.TaskRef{Contract: "c", Job: id}, &pb.TaskResult{Outcome: outcome, Body: []byte("r")})
	p.drain()
}

// outcomes lists the outcomes that the agent has sent for a job on the link in use.
func (p *peer) outcomes(name string) []pb.Outcome {
	var out []pb.Outcome
	for _, f := range p.received {
		for _, n := range f.News {
			for _, r := range n.Results {
				if n.Job == name {
					out = append(out, r.Outcome)
				}
			}
		}
	}
	return out
}

// A task must not run twice if its "not run" result crosses the start that the home
// resends on a new link: when the home receives the result, it sends the task
// elsewhere.
func TestNotRunCrossesResentStart(t *testing.T) {
	p := newPeer(t, agent.Options{})
	id := home + "-0.x"
	name := job.Name("c", id)
	p.link(home)
	p.startTask(name, false)
	p.link(home)
	p.end(id, pb.Outcome_OUTCOME_NOT_RUN)
	p.startTask(name, true)
	if len(p.runs) != 1 {
		t.Fatalf("%d runs, want the first alone", len(p.runs))
	}
	p.startTask(name, false)
	if len(p.runs) != 2 {
		t.Fatalf("%d runs, want a new start to run", len(p.runs))
	}
}

// An entry is paused for so long that the agent evicts results which it has not
// acknowledged. When the entry resumes and resends or revokes these tasks, the agent
// must neither run them again nor report them as not run, since the caller would
// then repeat the work.
func TestDroppedRecordsLeaveOutcomeUnknown(t *testing.T) {
	p := newPeer(t, agent.Options{MaxRecords: 2, PeerLostAfter: time.Second})
	p.link(home)
	ids := []string{home + "-0.x", home + "-0.y"}
	for _, id := range ids {
		p.startTask(job.Name("c", id), false)
		p.end(id, pb.Outcome_OUTCOME_COMPLETE)
	}
	p.agent.LinkDown(p.now, home, p.epoch)
	p.now = p.now.Add(2 * time.Second)
	p.agent.Tick(p.now)

	p.link(other)
	for _, key := range []string{"u", "v"} {
		p.send(other, &pb.EntryFrame{Starts: []*pb.StartBatch{{
			Job: job.Name("c", other+"-0."+key), TimeoutMs: 60_000, Tasks: []*pb.TaskStart{{}},
		}}})
	}
	if n := p.agent.Size().Tasks; n != 2 || len(p.runs) != 4 {
		t.Fatalf("%d tasks remembered and %d runs, want 2 and 4", n, len(p.runs))
	}

	p.link(home)
	p.startTask(job.Name("c", ids[0]), true)
	p.send(home, &pb.EntryFrame{Revokes: []*pb.Revoke{{Job: job.Name("c", ids[1]), Tasks: []uint32{0}}}})
	for _, id := range ids {
		want := []pb.Outcome{pb.Outcome_OUTCOME_UNKNOWN}
		if diff := cmp.Diff(want, p.outcomes(job.Name("c", id))); diff != "" {
			t.Errorf("outcomes of %s (-want +got):\n%s", id, diff)
		}
	}
	if len(p.runs) != 4 {
		t.Errorf("%d runs, want none for the resent start", len(p.runs))
	}
}

// An agent drains while a start is in flight to it. If the agent ended at once, the
// start would be lost and the caller would get "outcome unknown" because of a
// planned stop.
func TestDrainWaitsForStartsInFlight(t *testing.T) {
	p := newPeer(t, agent.Options{})
	p.link(home)
	p.agent.Leave(p.now)
	p.drain()
	if p.agent.Drained() {
		t.Fatal("drained before the entry has acknowledged that the agent is leaving")
	}
	name := job.Name("c", home+"-0.x")
	p.startTask(name, false)
	if diff := cmp.Diff([]pb.Outcome{pb.Outcome_OUTCOME_NOT_RUN}, p.outcomes(name)); diff != "" {
		t.Fatalf("outcomes (-want +got):\n%s", diff)
	}
	if p.agent.Drained() {
		t.Fatal("drained before the refusal was acknowledged")
	}
	p.send(home, &pb.EntryFrame{Ack: uint64(len(p.received))})
	if !p.agent.Drained() {
		t.Fatal("not drained although everything is acknowledged")
	}
}

// A home is partitioned from one entry, which presumes it dead, but not from the
// agent. A fence must not end a job that is making progress.
func TestFenceSparesReachableHome(t *testing.T) {
	id := home + "-0.x"
	name := job.Name("c", id)
	for _, tt := range []struct {
		name                string
		homeEnded, homeDown bool
		alive               bool
		runs                int
	}{
		{name: "home connected", alive: true, runs: 1},
		{name: "home proven to have ended", homeEnded: true},
		{name: "home disconnected", homeDown: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, agent.Options{})
			p.link(home)
			if tt.homeDown {
				p.agent.LinkDown(p.now, home, p.epoch)
			}
			homeEpoch := p.epoch
			p.link(other)
			p.send(other, &pb.EntryFrame{Fences: []*pb.Fence{{Job: name, HomeEnded: tt.homeEnded}}})
			report := p.received[len(p.received)-1].Fenced[0]
			if report.HomeAlive != tt.alive {
				t.Errorf("home alive: %v, want %v", report.HomeAlive, tt.alive)
			}
			p.epoch, p.seq = homeEpoch, 0
			if tt.homeDown {
				p.epoch = 7
				p.link(home)
			}
			p.startTask(name, false)
			if len(p.runs) != tt.runs {
				t.Errorf("%d runs after the fence, want %d", len(p.runs), tt.runs)
			}
		})
	}
}

// A home is paused, and another entry collects the job's results and acknowledges
// them. If that counted as the home's acknowledgement, the agent could evict the
// record, and the home would have the task run a second time after it resumes.
func TestOnlyHomeAcknowledges(t *testing.T) {
	p := newPeer(t, agent.Options{MaxRecords: 1})
	id := home + "-0.x"
	name := job.Name("c", id)
	p.link(home)
	p.startTask(name, false)
	p.agent.LinkDown(p.now, home, p.epoch)

	p.link(other)
	p.send(other, &pb.EntryFrame{Fences: []*pb.Fence{{Job: name}}})
	p.end(id, pb.Outcome_OUTCOME_COMPLETE)
	if diff := cmp.Diff([]pb.Outcome{pb.Outcome_OUTCOME_COMPLETE}, p.outcomes(name)); diff != "" {
		t.Fatalf("outcomes sent to the collecting entry (-want +got):\n%s", diff)
	}
	p.send(other, &pb.EntryFrame{
		Ack:    uint64(len(p.received)),
		Starts: []*pb.StartBatch{{Job: job.Name("c", other+"-0.y"), TimeoutMs: 60_000, Tasks: []*pb.TaskStart{{}}}},
	})
	if len(p.runs) != 1 {
		t.Errorf("%d runs, want the new start refused since the table is full", len(p.runs))
	}
	p.link(home)
	p.startTask(name, true)
	if len(p.runs) != 1 {
		t.Errorf("%d runs, want none for the resent start", len(p.runs))
	}
}

// An agent was paused and then reads a stale start. The job may have ended
// meanwhile, so that the work would be charged to the customer for nothing.
func TestStaleStartAfterPause(t *testing.T) {
	p := newPeer(t, agent.Options{})
	name := job.Name("c", home+"-0.x")
	p.link(home)
	p.now = p.now.Add(13 * time.Second)
	p.startTask(name, false)
	if len(p.runs) != 0 {
		t.Errorf("%d runs of a start that waited 13 s", len(p.runs))
	}
	p.link(home)
	p.startTask(name, true)
	if len(p.runs) != 1 {
		t.Errorf("%d runs of the start over a new link, want 1", len(p.runs))
	}
}
