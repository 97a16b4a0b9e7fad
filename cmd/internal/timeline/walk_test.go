package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/cmd/internal/site"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// walkPatience bounds the waits for a state; nothing is measured by it.
const walkPatience = 20 * time.Second

func startSite(t *testing.T) *site.Site {
	t.Helper()
	running, err := site.Start(site.Options{
		Entries: 1, Workers: 2, WorkersPerRack: 1, FailureDomains: []string{"frame-hall", "chain-shed"},
		Slots: 1, Cores: 4, Connections: 4, MemoryBytes: 1 << 30, DrainTimeout: time.Second,
		Contracts: []*pb.Contract{{
			Name: "break-reports", Revision: 1, Class: pb.Class_CLASS_URGENT, Weight: 1, Rate: 100, Burst: 100,
			Concurrency: 8, MemoryBytes: 1 << 30, Waiting: 100, DefaultTimeoutMs: 15_000,
		}},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Stop)
	return running
}

func collect(t *testing.T, s *site.Site, f Filter) *Timeline {
	t.Helper()
	found, err := fleet.Discover(t.Context(), fleet.Options{Addresses: []string{s.Entries()[0].OperatorsAddress()}})
	if err != nil {
		t.Fatal(err)
	}
	return Collect(t.Context(), found, f)
}

// await collects until an event matches.
func await(t *testing.T, s *site.Site, f Filter, what string, match func(Event) bool) *Timeline {
	t.Helper()
	for limit := time.Now().Add(walkPatience); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if line := collect(t, s, f); slices.ContainsFunc(line.Events, match) {
			return line
		}
	}
	t.Fatalf("%s did not come", what)
	return nil
}

func TestWalkOfAJobThatMetTwoFaults(t *testing.T) {
	// A break report has two tasks on two workers. The connection to the first
	// worker's agent goes silent, and later the second worker's agent is restarted
	// while it runs its task. The caller hears "outcome unknown", and whoever must
	// explain it to an inspector finds both faults, in their order, in the time line.
	//
	// The connection must go silent while the first task runs. A busy machine may be
	// too late for that; then nothing is learned, and it is made anew.
	for range walkTries {
		if walk(t) {
			return
		}
	}
	t.Fatalf("the connection went silent after the first task's result, %d times", walkTries)
}

// walkTries is how often the two faults are made, until the first one meets its task.
const walkTries = 20

// walk makes the two faults and checks the time line; false: the first one came late.
func walk(t *testing.T) bool {
	t.Helper()
	s := startSite(t)
	caller, err := client.New(client.Options{Addresses: s.CallerURLs()})
	if err != nil {
		t.Fatal(err)
	}
	id, err := caller.NewID(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	await(t, s, Filter{}, "credits of both agents", func(Event) bool {
		return s.Entries()[0].Links() == 2
	})
	answered := make(chan error, 1)
	go func() {
		_, err := caller.Submit(context.Background(), client.Job{
			ID: id, Contract: "break-reports", Kind: "report", Tasks: []jobs.Task{task(t, 300), task(t, 12_000)},
		})
		answered <- err
	}()
	ours := Filter{Job: id}
	started := func(number uint32) string {
		var process string
		await(t, s, ours, "a start", func(e Event) bool {
			process = e.Process
			return e.Kind == "task-started" && *e.Task == number
		})
		return process
	}
	first, second := agentNamed(s, started(0)), agentNamed(s, started(1))
	first.Relay().Blackhole()
	if slices.ContainsFunc(collect(t, s, ours).Events, isResultAtEntry) {
		return false
	}
	await(t, s, ours, "the first task's result", isResultAtEntry)
	second.Kill()
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	if err := <-answered; client.CodeOf(err) != jobs.CodeAgentLost {
		t.Errorf("the caller heard %v, want the code %s", err, jobs.CodeAgentLost)
	}
	ours.Around = true
	line := collect(t, s, ours)
	checkWalk(t, line)
	writeWalk(t, line)
	return true
}

func isResultAtEntry(e Event) bool { return e.Kind == "task-result" && e.Process == "entry-0" }

func task(t *testing.T, millis uint32) jobs.Task {
	t.Helper()
	payload, err := json.Marshal(standin.Payload{RunMillis: millis})
	if err != nil {
		t.Fatal(err)
	}
	return jobs.Task{Payload: payload, RunMillis: millis}
}

func agentNamed(s *site.Site, name string) *site.Agent {
	for _, a := range s.Agents() {
		if a.Name() == name {
			return a
		}
	}
	return nil
}

// checkWalk looks for the steps in their order, among others.
func checkWalk(t *testing.T, line *Timeline) {
	t.Helper()
	want := []string{
		"job-accepted", "task-dispatched", "task-started", "peer-suspected", "link-down", "link-up", "link-up",
		"task-result", "peer-gone", "task-unknown", "job-answered",
	}
	var got []string
	for _, e := range line.Events {
		got = append(got, e.Kind)
	}
	rest := got
	for _, kind := range want {
		i := slices.Index(rest, kind)
		if i < 0 {
			t.Fatalf("no %s in its place among %q", kind, got)
		}
		rest = rest[i+1:]
	}
	answer := line.Events[slices.IndexFunc(line.Events, func(e Event) bool { return e.Kind == "job-answered" })]
	if slices.Contains(got, "task-resent") {
		t.Error("a start was sent again after its result had come")
	}
	const says = "outcome unknown, agent_lost: the agent was restarted"
	if answer.Detail != says {
		t.Errorf("answered %q, want %q", answer.Detail, says)
	}
}

func writeWalk(t *testing.T, line *Timeline) {
	t.Helper()
	if *pagesDir == "" {
		return
	}
	for name, write := range map[string]func(*bytes.Buffer) error{
		"walk.txt":  func(b *bytes.Buffer) error { return WriteText(b, line) },
		"walk.html": func(b *bytes.Buffer) error { return WritePage(b, line) },
	} {
		var out bytes.Buffer
		if err := write(&out); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(*pagesDir+"/"+name, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
