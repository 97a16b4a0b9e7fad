package status

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/cmd/internal/site"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// TestStatusOfLiveSite checks that the report agrees with the counters of running
// processes.
func TestStatusOfLiveSite(t *testing.T) {
	s, err := site.Start(site.Options{
		Entries: 1, Workers: 2, WorkersPerRack: 1, FailureDomains: []string{"frame-hall"},
		Slots: 2, Cores: 4, Connections: 4, MemoryBytes: 1 << 30, DrainTimeout: time.Second,
		Contracts: []*pb.Contract{{
			Name: "stamps", Class: pb.Class_CLASS_NORMAL, Weight: 1, Rate: 1000, Burst: 1000,
			Concurrency: 8, MemoryBytes: 1 << 30, Waiting: 4, DefaultTimeoutMs: 10_000,
		}},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	for limit := time.Now().Add(20 * time.Second); s.Entries()[0].Links() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out waiting for the agents to be linked")
		}
	}
	caller, err := client.New(client.Options{Addresses: s.CallerURLs()})
	if err != nil {
		t.Fatal(err)
	}
	payload, err := json.Marshal(standin.Payload{RunMillis: 1})
	if err != nil {
		t.Fatal(err)
	}
	one := jobs.Task{Payload: payload}
	if _, err := caller.Submit(t.Context(), client.Job{Contract: "stamps", Kind: "k", Tasks: []jobs.Task{one, one}}); err != nil {
		t.Fatal(err)
	}
	// The contract allows four waiting tasks, so a job of five is refused at once.
	id, err := caller.NewID(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	_, err = caller.Submit(t.Context(), client.Job{
		ID: id, Contract: "stamps", Kind: "k", Tasks: []jobs.Task{one, one, one, one, one},
	})
	if client.CodeOf(err) != jobs.CodeQueueFull {
		t.Fatalf("the large job ended with %v, want %s", err, jobs.CodeQueueFull)
	}
	r, err := Collect(t.Context(), fleet.Options{Addresses: []string{s.Entries()[0].OperatorsAddress()}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Contracts) != 1 {
		t.Fatalf("contracts %+v, want one", r.Contracts)
	}
	got := r.Contracts[0]
	if got.Started != 2 || got.Served != 1 || got.Offered != 2 {
		t.Errorf("started %d tasks, served %d of %d jobs; want 2, 1 of 2", got.Started, got.Served, got.Offered)
	}
	// Revisions are assigned by the store; the entry has all contracts up to its own
	// revision.
	if got.Revision == 0 || got.Revision > r.Entries[0].ConfigRevision {
		t.Errorf("contract at revision %d, entry at %d", got.Revision, r.Entries[0].ConfigRevision)
	}
	if diff := cmp.Diff(map[string]uint64{"queue_full": 1}, got.Refused); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	if r.Agents.Linked != 2 || r.Agents.Slots != 4 || len(r.Alarms) != 0 {
		t.Errorf("agents %+v, alarms %q", r.Agents, r.Alarms)
	}
}
