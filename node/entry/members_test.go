package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/dispatch/member"
	nodeagent "github.com/papayahoist/papayahoist/node/agent"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// fleet is entries and agents over sockets, with a stand-in of the store.
type fleet struct {
	t       testing.TB
	store   *kv.Server
	url     string
	wg      sync.WaitGroup
	entries []*fleetEntry
	started int
}

type fleetEntry struct {
	*entry.Entry
	config *config.Holder
	cancel context.CancelFunc
}

func newFleet(t testing.TB, entries, agents int) *fleet {
	f := &fleet{t: t, store: kv.New(kv.Options{})}
	server := httptest.NewServer(f.store)
	f.url = server.URL
	t.Cleanup(func() {
		for _, e := range f.entries {
			e.cancel()
		}
		f.wg.Wait()
		f.store.BreakWatches()
		server.Close()
	})
	var join []string
	for range entries {
		join = append(join, f.startEntry().NodesAddress())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range agents {
		a, err := nodeagent.New(nodeagent.Options{
			Hello: &pb.AgentHello{Agent: fmt.Sprintf("a%02d", i), Incarnation: entry.NewIncarnation(), Slots: 8, Cores: 16, MemoryBytes: 32 << 30},
			Join:  join, NodesListen: "127.0.0.1:0", Endpoint: &countingEndpoint{starts: make(map[agent.TaskRef]int)},
			Logger: slog.New(slog.DiscardHandler), DrainTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		f.wg.Go(func() { _ = a.Run(ctx) })
	}
	return f
}

func (f *fleet) client() *etcdv3.Client { return etcdv3.New(f.url, etcdv3.Options{}) }

func (f *fleet) startEntry() *fleetEntry {
	f.started++
	holder := config.NewHolder()
	e, err := entry.New(entry.Options{
		Hello:         &pb.EntryHello{Entry: fmt.Sprintf("e%d", f.started), Incarnation: entry.NewIncarnation(), FailureDomain: "a"},
		CallersListen: "127.0.0.1:0", NodesListen: "127.0.0.1:0",
		Membership: &membership.Options{
			Store: f.client(), Config: holder, LeaseTTL: 2 * time.Second,
			Member: member.Options{Exchange: 100 * time.Millisecond, DeadAfter: time.Second, GoneAfter: 2 * time.Second},
		},
		DrainTimeout: time.Second, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	fe := &fleetEntry{Entry: e, config: holder, cancel: cancel}
	f.entries = append(f.entries, fe)
	f.wg.Go(func() { _ = e.Run(ctx) })
	return fe
}

// until waits for something that takes a moment, and fails the test if it does
// not come at all.
func (f *fleet) until(what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > 30*time.Second {
			f.t.Fatalf("does not come: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) apply(id string, from uint64, edit func(*pb.Contract)) uint64 {
	f.t.Helper()
	c := &pb.Contract{Name: "desk", Revision: from, Rate: 10000, Concurrency: 60, Waiting: 10000, MemoryBytes: 1 << 40}
	if edit != nil {
		edit(c)
	}
	revision, err := config.NewEditor(f.client(), config.EditorOptions{}).Apply(context.Background(),
		contract.Change{Contract: c, ID: id, By: "ann", At: time.Now()})
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

func (f *fleet) inForce(revision uint64) bool {
	return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool {
		return e.config.Snapshot().Held("desk").GetRevision() < revision
	})
}

// submit sends a job of some tasks to an entry and returns status and error.
func (f *fleet) submit(e *fleetEntry, tasks int) (int, jobs.Error) {
	f.t.Helper()
	in := jobs.SubmitRequest{Contract: "desk", Kind: "gauge", TimeoutMillis: 1_000, Tasks: make([]jobs.Task, tasks)}
	body, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.Post("http://"+e.CallersAddress()+jobs.PathJobs, "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var out jobs.Error
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

// Contracts reach entries from the store alone; an entry is killed and replaced,
// and then the store goes away. Callers of every entry are served throughout by
// the terms in force, also by an entry that started without the store.
func TestContractsInForceOverSockets(t *testing.T) {
	f := newFleet(t, 2, 2)
	if status, out := f.submit(f.entries[0], 1); status != http.StatusForbidden || out.Code != jobs.CodeUnknownContract {
		t.Errorf("job of a contract that does not exist: %d, %+v", status, out)
	}
	first := f.apply("c1", 0, nil)
	f.until("contract in force", func() bool { return f.inForce(first) })
	serves := func(e *fleetEntry) func() bool {
		return func() bool { status, _ := f.submit(e, 20); return status == http.StatusOK }
	}
	for _, e := range f.entries {
		f.until("entry serves", serves(e))
	}
	f.entries[0].Kill()
	f.entries[0].cancel()
	f.entries = f.entries[1:]
	third := f.startEntry()
	f.until("a fresh entry holds the contract", func() bool { return f.inForce(first) })

	gone := f.apply("c2", first, func(c *pb.Contract) { c.Deleted = true })
	f.until("deletion in force", func() bool { return f.inForce(gone) })
	if status, out := f.submit(third, 1); status != http.StatusForbidden {
		t.Errorf("job of a deleted contract: %d, %+v", status, out)
	}
	back := f.apply("c3", gone, nil)
	f.until("contract in force again", func() bool { return f.inForce(back) })
	f.store.SetFaults(kv.Faults{Outage: true})
	for _, e := range f.entries {
		f.until("entry serves without the store", serves(e))
	}
}

// BenchmarkTimeToForce changes a contract on 3 entries with 11 agents linked.
func BenchmarkTimeToForce(b *testing.B) {
	f := newFleet(b, 3, 11)
	f.until("linked", func() bool {
		return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool { return e.Links() < 11 })
	})
	var revision uint64
	var took []time.Duration
	for i := range 200 {
		asked := time.Now()
		revision = f.apply(fmt.Sprintf("c%d", i), revision, func(c *pb.Contract) { c.Weight = uint32(1 + i%2) })
		f.until("in force", func() bool { return f.inForce(revision) })
		took = append(took, time.Since(asked))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[100])/1e6, "p50-ms")
	b.ReportMetric(float64(took[199])/1e6, "max-ms")
}
