package status

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
)

var at = time.Date(2026, 3, 1, 3, 12, 9, 0, time.UTC)

func entryStatus(name string, revision, refused, started uint64, agents ...*pb.AgentStatus) *pb.StatusResponse {
	return &pb.StatusResponse{
		Process: name, Role: fleet.RoleEntry, FailureDomain: "frame-hall", Version: "v1", ConfigRevision: revision,
		StartedUnixMs: at.Add(-time.Hour).UnixMilli(), Agents: agents,
		Contracts: []*pb.ContractStatus{{
			Contract: &pb.Contract{Name: "stamps", Revision: revision, Class: pb.Class_CLASS_NORMAL, Rate: 100,
				Concurrency: 8, Waiting: 1000, MemoryBytes: 8 << 30},
			Waiting: 10, Running: 4, Offered: 100, Served: 80, Started: started, MemoryBytes: 1 << 30,
			Refused: []*pb.RefusedCount{{Code: "rate_limited", Count: refused}},
		}},
	}
}

func agentStatus(name string, linked bool, suspended string) *pb.AgentStatus {
	return &pb.AgentStatus{Hello: &pb.AgentHello{Agent: name, Slots: 8, MemoryBytes: 32 << 30}, Linked: linked,
		Suspended: suspended, Load: &pb.AgentLoad{Running: 4, ReservedMemoryBytes: 1 << 30}}
}

func TestReportListsAlarmsBySeverity(t *testing.T) {
	// An entry and an agent are dead, another entry can't reach the store and has an
	// old configuration, a worker fails its tasks, and a customer exceeds its rate.
	// The report must list each of them as an alarm.
	before := &fleet.Fleet{Statuses: []*pb.StatusResponse{entryStatus("entry-1", 7, 2, 100), entryStatus("entry-2", 7, 1, 100)}}
	behind := entryStatus("entry-2", 6, 1, 140, agentStatus("agent-1", false, ""), agentStatus("agent-2", true, ""))
	behind.StoreError = "deadline exceeded"
	now := &fleet.Fleet{
		Statuses: []*pb.StatusResponse{
			entryStatus("entry-1", 7, 12, 140, agentStatus("agent-1", true, ""), agentStatus("agent-2", true, "tasks fail fast")),
			behind,
		},
		Failures: []fleet.Failure{{Process: fleet.Process{Name: "entry-3"}, Err: errors.New("connection refused")}},
	}
	gone := []fleet.Failure{{Process: fleet.Process{Name: "agent-3"}, Err: errors.New("no route")}}
	r := newReport(now, gone, before, 2*time.Second, at)
	want := []string{
		"entry-3 does not answer: connection refused",
		"1 agent not answering: agent-3 (no route)",
		"entry-2 can't use the platform's store: deadline exceeded",
		"entry-2 has no link to 1 agent: agent-1",
		"1 agent held back from work (tasks fail fast): agent-2",
		"contract stamps is refused 5.0 jobs a second, mostly rate_limited",
		"contract stamps is at its limit of concurrency",
		"entry-2 is at configuration revision 6, the newest is 7",
	}
	if diff := cmp.Diff(want, r.Alarms); diff != "" {
		t.Errorf("alarms (-want +got):\n%s", diff)
	}
	wantAgents := Agents{Known: 2, Linked: 2, Suspended: 1, Slots: 16, Running: 8, Memory: 64 << 30, Reserved: 2 << 30}
	if diff := cmp.Diff(wantAgents, r.Agents); diff != "" {
		t.Errorf("agents (-want +got):\n%s", diff)
	}
	var out bytes.Buffer
	if err := WriteText(&out, r); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + out.String())
	for _, text := range []string{"! entry-3", "40/100", "8/8", "2048MiB/8192MiB", "20/1000", "LOST", "rate_limited"} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("screen lacks %q", text)
		}
	}
}

func TestTextFitsOneScreen(t *testing.T) {
	// A failure domain with 800 agents is lost, and only one of 42 contracts has
	// work. The alarms must not push that contract off the screen.
	now := &fleet.Fleet{Statuses: []*pb.StatusResponse{entryStatus("entry-1", 7, 0, 0)}}
	var gone []fleet.Failure
	for range 800 {
		gone = append(gone, fleet.Failure{Process: fleet.Process{Name: "agent-1"}, Err: errors.New("no route")})
		now.Failures = append(now.Failures, fleet.Failure{Process: fleet.Process{Name: "agent-2"}, Err: errors.New("unknown")})
	}
	for i := range 41 {
		now.Statuses[0].Contracts = append(now.Statuses[0].Contracts, &pb.ContractStatus{
			Contract: &pb.Contract{Name: fmt.Sprint("rest-", i), Rate: 1},
		})
	}
	var out bytes.Buffer
	if err := WriteText(&out, newReport(now, gone, now, time.Second, at)); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines > 30 {
		t.Errorf("%d lines, want at most 30", lines)
	}
	for _, text := range []string{"stamps", "and 41 contracts at rest"} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("screen lacks %q", text)
		}
	}
}

func TestRatesAfterRestart(t *testing.T) {
	// An entry restarts between the two samples, and its counters start at zero. The
	// unsigned difference would wrap around to a huge rate.
	before := &fleet.Fleet{Statuses: []*pb.StatusResponse{entryStatus("entry-1", 7, 500, 900)}}
	now := &fleet.Fleet{Statuses: []*pb.StatusResponse{entryStatus("entry-1", 7, 3, 2)}}
	r := newReport(now, nil, before, time.Second, at)
	if got := sum(r.Contracts[0].RefusedPerSecond); got != 0 {
		t.Errorf("%v refused a second, want none", got)
	}
	if len(r.Alarms) != 0 {
		t.Errorf("alarms %q", r.Alarms)
	}
}
