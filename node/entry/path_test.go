package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	nodeagent "github.com/papayahoist/papayahoist/node/agent"
	"github.com/papayahoist/papayahoist/node/entry"
)

// countingEndpoint echoes payloads and counts the starts of each task.
type countingEndpoint struct {
	mu     sync.Mutex
	starts map[agent.TaskRef]int
}

func (c *countingEndpoint) Run(_ context.Context, r agent.Run) *pb.TaskResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[r.TaskRef]++
	return &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, Body: r.Payload}
}

func (c *countingEndpoint) Stop(context.Context, agent.TaskRef) error { return nil }

// A job has more tasks than there are slots. Every task must run once, and the
// answer must hold the results in the order of the tasks.
func TestEndToEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })

	contract := &pb.Contract{
		Name: "desk", Waiting: 1000, DefaultTimeoutMs: 20_000, Class: pb.Class_CLASS_NORMAL, Weight: 1,
		Rate: 10_000, Burst: 100, Concurrency: 8, MemoryBytes: 64 << 30,
	}
	e, err := entry.New(entry.Options{
		Hello:         &pb.EntryHello{Entry: "e1", Incarnation: entry.NewIncarnation(), FailureDomain: "a"},
		CallersListen: "127.0.0.1:0", NodesListen: "127.0.0.1:0",
		Contract: func(string) *pb.Contract { return contract },
		Peers:    func() []*pb.Peer { return nil },
		Logger:   slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	wg.Go(func() { _ = e.Run(ctx) })
	ep := &countingEndpoint{starts: make(map[agent.TaskRef]int)}
	for i := range 3 {
		a, err := nodeagent.New(nodeagent.Options{
			Hello: &pb.AgentHello{Agent: fmt.Sprintf("a%d", i), Incarnation: entry.NewIncarnation(), Slots: 4},
			Join:  []string{e.NodesAddress()}, NodesListen: "127.0.0.1:0", Endpoint: ep,
			Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = a.Run(ctx) })
	}

	const tasks = 40
	in := jobs.SubmitRequest{Contract: "desk", Kind: "gauge"}
	for i := range tasks {
		in.Tasks = append(in.Tasks, jobs.Task{Payload: []byte{byte(i)}})
	}
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+e.CallersAddress()+jobs.PathJobs, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out jobs.Response
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK || len(out.Results) != tasks {
		t.Fatalf("got status %d with %d results, want 200 with %d", resp.StatusCode, len(out.Results), tasks)
	}
	for i, r := range out.Results {
		if len(r.Body) != 1 || int(r.Body[0]) != i {
			t.Errorf("result %d is %v", i, r.Body)
		}
	}
	if len(ep.starts) != tasks {
		t.Errorf("%d tasks started, want %d", len(ep.starts), tasks)
	}
	for ref, n := range ep.starts {
		if n != 1 {
			t.Errorf("%v started %d times", ref, n)
		}
	}
}
