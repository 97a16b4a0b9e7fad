package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

var (
	epoch    = time.Date(2026, 3, 1, 3, 12, 9, 0, time.UTC)
	pagesDir = flag.String("pages", "", "also write pages of 1, 100 and 10,000 events to this directory")
)

func clock(ms int, logical uint16) uint64 {
	return hlc.Pack(epoch.Add(time.Duration(ms)*time.Millisecond), logical)
}

// process is a fake operator service of one process.
type process struct {
	status *pb.StatusResponse
	events []*pb.Event
	err    error
}

func (p *process) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if p.err != nil {
		return nil, p.err
	}
	return connect.NewResponse(p.status), nil
}

func (p *process) Timeline(_ context.Context, r *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	if p.err != nil {
		return nil, p.err
	}
	response := &pb.TimelineResponse{Process: p.status.Process, Worker: p.status.Worker}
	for _, e := range p.events {
		if (r.Msg.Job == "" || r.Msg.Job == e.Job) && (r.Msg.Worker == "" || r.Msg.Worker == e.Peer || r.Msg.Worker == e.Process) {
			response.Events = append(response.Events, e)
		}
	}
	return connect.NewResponse(response), nil
}

// fixture returns two entries and three agents. One entry and one agent are
// unreachable, and one agent has no known address.
func fixture(t *testing.T) *fleet.Fleet {
	t.Helper()
	agent := func(name, worker, address string) *pb.AgentStatus {
		return &pb.AgentStatus{Hello: &pb.AgentHello{Agent: name, Worker: worker, OperatorAddress: address}}
	}
	down := connect.NewError(connect.CodeUnavailable, errors.New("connection refused"))
	processes := map[string]*process{
		"e1:1": {status: &pb.StatusResponse{
			Process: "entry-1", Role: fleet.RoleEntry,
			Peers:  []*pb.Peer{{Entry: "entry-2", OperatorAddress: "e2:1"}},
			Agents: []*pb.AgentStatus{agent("agent-1", "frame-1", "a1:1"), agent("agent-2", "frame-2", "a2:1"), agent("agent-3", "frame-3", "")},
		}, events: []*pb.Event{
			{Clock: clock(0, 0), Process: "entry-1", Kind: "job-accepted", Job: "j", Contract: "reports", Value: 1},
			{Clock: clock(1, 0), Process: "entry-1", Kind: "task-dispatched", Job: "j", Peer: "agent-1"},
			{Clock: clock(2, 0), Process: "entry-1", Kind: "job-accepted", Job: "other", Value: 1},
			{Clock: clock(40, 0), Process: "entry-1", Kind: "link-down", Peer: "agent-1", Detail: "silent"},
			{Clock: clock(41, 0), Process: "entry-1", Kind: "link-down", Peer: "agent-9"},
			{Clock: clock(42, 0), Process: "entry-1", Kind: "credits-granted", Peer: "agent-1", Value: 2},
		}},
		"e2:1": {err: down},
		"a1:1": {status: &pb.StatusResponse{Process: "agent-1", Worker: "frame-1", Role: fleet.RoleAgent}, events: []*pb.Event{
			{Clock: clock(1, 1), Process: "agent-1", Kind: "task-started", Job: "j", Peer: "entry-1"},
		}},
		"a2:1": {err: down},
	}
	found, err := fleet.Discover(context.Background(), fleet.Options{
		Addresses: []string{"e1:1"},
		Dial:      func(address string) fleet.Client { return processes[address] },
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func lines(t *Timeline) []string {
	var got []string
	for _, e := range t.Events {
		got = append(got, e.Process+" "+e.Kind+" "+subject(t, e))
	}
	return got
}

func TestCollectOrdersEventsAndListsMissing(t *testing.T) {
	// One entry and one agent are unreachable, and a third agent never advertised its
	// address. If they weren't listed, the time line would suggest that nothing
	// happened there.
	got := Collect(context.Background(), fixture(t), Filter{Job: "j"})
	want := []string{"entry-1 job-accepted job", "entry-1 task-dispatched job#0", "agent-1 task-started job#0"}
	if diff := cmp.Diff(want, lines(got)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	missing := []Missing{
		{Process: "agent-2", Worker: "frame-2", Address: "a2:1", Reason: "unavailable: connection refused"},
		{Process: "agent-3", Worker: "frame-3", Reason: "fleet.no_operators_address: its operators' address is not known"},
		{Process: "entry-2", Address: "e2:1", Reason: "unavailable: connection refused"},
	}
	if diff := cmp.Diff(missing, got.Missing); diff != "" {
		t.Errorf("missing (-want +got):\n%s", diff)
	}
	for name, write := range map[string]func(*bytes.Buffer) error{
		"text": func(b *bytes.Buffer) error { return WriteText(b, got) },
		"json": func(b *bytes.Buffer) error { return WriteJSON(b, got) },
		"page": func(b *bytes.Buffer) error { return WritePage(b, got) },
	} {
		var out bytes.Buffer
		if err := write(&out); err != nil {
			t.Fatal(err)
		}
		for _, m := range missing {
			if !strings.Contains(out.String(), m.Process) {
				t.Errorf("%s doesn't name %s", name, m.Process)
			}
		}
	}
}

func TestCollectAddsEventsAroundJob(t *testing.T) {
	got := Collect(context.Background(), fixture(t), Filter{Job: "j", Around: true})
	want := []string{
		"entry-1 job-accepted job", "entry-1 task-dispatched job#0", "agent-1 task-started job#0", "entry-1 link-down ",
	}
	if diff := cmp.Diff(want, lines(got)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestCollectByWorkerAndLimit(t *testing.T) {
	got := Collect(context.Background(), fixture(t), Filter{Worker: "frame-1", Limit: 2})
	want := []string{"entry-1 link-down ", "entry-1 credits-granted "}
	if diff := cmp.Diff(want, lines(got)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if got.Dropped != 2 || !strings.Contains(strings.Join(notes(got), "\n"), "2 older events left out") {
		t.Errorf("dropped %d, notes %q", got.Dropped, notes(got))
	}
}

func TestPageEscapesJobID(t *testing.T) {
	// A job ID chosen by a caller closes the page's script element. Unescaped, it
	// would run code in the browser of the operator who opens the page.
	hostile := `</script><script>alert(1)</script>`
	var out bytes.Buffer
	line := &Timeline{Sources: []Source{{Process: "entry-1"}},
		Events: []Event{{Time: epoch, Process: "entry-1", Kind: "job-accepted", Job: hostile}}}
	if err := WritePage(&out, line); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>alert") {
		t.Error("a job ID was written as a script element")
	}
}

func TestJSONOmitsUnsetTask(t *testing.T) {
	var out bytes.Buffer
	if err := WriteJSON(&out, Collect(context.Background(), fixture(t), Filter{Job: "j"})); err != nil {
		t.Fatal(err)
	}
	var decoded struct {
		Events []map[string]json.RawMessage `json:"events"`
	}
	if err := json.Unmarshal(out.Bytes(), &decoded); err != nil {
		t.Fatal(err)
	}
	if _, ok := decoded.Events[0]["task"]; ok {
		t.Error("an event about a job has a task")
	}
	if string(decoded.Events[1]["task"]) != "0" {
		t.Errorf("task 0 is %s", decoded.Events[1]["task"])
	}
}

// generate returns a time line of n generated events over 3 entries and 11 agents.
func generate(n int) *Timeline {
	t := &Timeline{Missing: []Missing{}}
	for i := range 3 {
		t.Sources = append(t.Sources, Source{Process: fmt.Sprintf("entry-%d", i+1), Role: fleet.RoleEntry, FailureDomain: "frame-hall"})
	}
	for i := range 11 {
		t.Sources = append(t.Sources, Source{Process: fmt.Sprintf("agent-%d", i+1), Role: fleet.RoleAgent,
			Worker: fmt.Sprintf("worker-%d", i+1), FailureDomain: "chain-shed"})
	}
	const perJob = 5
	for i := range n {
		job, step := i/perJob, i%perJob
		entry, agent := fmt.Sprintf("entry-%d", job%3+1), fmt.Sprintf("agent-%d", job*7%11+1)
		task := uint32(0)
		e := Event{Time: epoch.Add(time.Duration(job*13+[]int{0, 1, 2, 180 + job*37%400, 182 + job*37%400}[step]) * time.Millisecond),
			Job: fmt.Sprintf("5f0c9a1e77b24d0c.job-%d", job), Contract: []string{"break-reports", "gauge-checks", "stamps"}[job%3]}
		switch step {
		case 0:
			e.Kind, e.Process, e.Value = "job-accepted", entry, 1
		case 1:
			e.Kind, e.Process, e.Peer, e.Task = "task-dispatched", entry, agent, &task
		case 2:
			e.Kind, e.Process, e.Peer, e.Task = "task-started", agent, entry, &task
			if job%40 == 17 {
				e = Event{Time: e.Time, Process: entry, Kind: "link-down", Peer: agent, Detail: "no acknowledgement for 120ms"}
			}
		case 3:
			e.Kind, e.Process, e.Peer, e.Task, e.Value = "task-result", agent, entry, &task, uint64(178+job*37%400)
		case 4:
			e.Kind, e.Process, e.Detail, e.Value = "job-answered", entry, "complete", uint64(182+job*37%400)
		}
		e.clock = hlc.Pack(e.Time, uint16(i%5))
		t.Events = append(t.Events, e)
	}
	c := collection{timeline: t}
	c.finish(n)
	return t
}

func TestPageSizes(t *testing.T) {
	for _, n := range []int{0, 1, 100, 10_000} {
		var out bytes.Buffer
		line := generate(n)
		if n == 0 {
			line.Sources = nil
		}
		if n == 100 {
			line.Missing = append(line.Missing, Missing{Process: "agent-12", Worker: "worker-12", Reason: "unavailable: connection refused"})
		}
		if err := WritePage(&out, line); err != nil {
			t.Fatal(err)
		}
		for _, list := range []string{`"lanes":null`, `"marks":null`, `"notes":null`} {
			if strings.Contains(out.String(), list) {
				t.Errorf("%d events: %s stops the page's script", n, list)
			}
		}
		const mostPerEvent, frame = 300, 32 << 10
		if out.Len() > frame+n*mostPerEvent {
			t.Errorf("%d events take %d bytes", n, out.Len())
		}
		if *pagesDir != "" {
			if err := os.WriteFile(fmt.Sprintf("%s/%d.html", *pagesDir, n), out.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
}
