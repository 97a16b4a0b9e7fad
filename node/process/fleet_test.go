package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/dispatch/member"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/settings"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// fleet is processes that come and go, over sockets, with stand-ins of the
// platform.
type fleet struct {
	t        testing.TB
	leaseTTL time.Duration
	member   member.Options
	kv       *kv.Server
	store    string
	endpoint string
	wg       sync.WaitGroup
	entries  []*fleetEntry
	started  int
}

type fleetEntry struct {
	*Entry
	cancel context.CancelFunc
}

// open starts the processes, which end with the test.
func (f *fleet) open(entries, agents int) {
	t := f.t
	f.kv = kv.New(kv.Options{})
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.CloseClientConnections)
		return strings.TrimPrefix(server.URL, "http://")
	}
	f.store, f.endpoint = serve(f.kv), serve(standin.NewWorker(standin.Options{}).Handler())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		for _, e := range f.entries {
			e.cancel()
		}
		f.wg.Wait()
	})
	for range entries {
		f.start()
	}
	for i := range agents {
		o := settings.DefaultAgent()
		o.Name, o.Worker, o.Rack, o.FailureDomain = fmt.Sprintf("agent-%d", i), fmt.Sprintf("worker-%d", i), "rack-1", "frame-hall"
		o.NodesListen, o.OperatorsListen, o.DrainTimeout = loopback, loopback, time.Second
		o.EndpointAddress, o.Join, o.Cores, o.MemoryBytes = f.endpoint, []string{f.entries[0].NodesAddress()}, 16, 1<<30
		a, err := NewAgent(AgentOptions{Settings: o, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		f.wg.Go(func() { _ = a.Run(ctx) })
	}
	for _, e := range f.entries {
		f.until("agents linked", func() bool { return e.Links() == agents })
	}
}

func (f *fleet) start() *fleetEntry {
	f.started++
	o := settings.DefaultEntry()
	o.Name, o.FailureDomain = fmt.Sprintf("entry-%d", f.started), "frame-hall"
	o.CallersListen, o.NodesListen, o.OperatorsListen = loopback, loopback, loopback
	o.StoreAddresses, o.DrainTimeout = []string{f.store}, time.Second
	e, err := NewEntry(EntryOptions{
		Settings: o, Logger: slog.New(slog.DiscardHandler), LeaseTTL: f.leaseTTL, Member: f.member,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &fleetEntry{Entry: e, cancel: cancel}
	f.entries = append(f.entries, started)
	f.wg.Go(func() { _ = e.Run(ctx) })
	return started
}

// until waits for something that takes a moment, and fails the test if it does
// not come at all.
func (f *fleet) until(what string, holds func() bool) {
	f.t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > time.Minute {
			f.t.Fatalf("does not come: %s", what)
		}
	}
}

func (f *fleet) apply(id string, from uint64, edit func(*pb.Contract)) uint64 {
	f.t.Helper()
	c := &pb.Contract{Name: "desk", Revision: from, Rate: 10000, Concurrency: 60, Waiting: 10000, MemoryBytes: 1 << 40}
	if edit != nil {
		edit(c)
	}
	editor := config.NewEditor(etcdv3.New("http://"+f.store, etcdv3.Options{}), config.EditorOptions{})
	revision, err := editor.Apply(context.Background(), contract.Change{Contract: c, ID: id, By: "ann", At: time.Now()})
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

func (f *fleet) inForce(revision uint64) bool {
	return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool {
		return e.Config().Snapshot().Held("desk").GetRevision() < revision
	})
}

// submit sends a job of some tasks to an entry and returns status and code.
func (f *fleet) submit(e *fleetEntry, tasks int) (int, jobs.Code) {
	f.t.Helper()
	in := jobs.SubmitRequest{Contract: "desk", Kind: "gauge", TimeoutMillis: 1000}
	for range tasks {
		in.Tasks = append(in.Tasks, jobs.Task{Payload: []byte(`{"run_ms":1}`)})
	}
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
	return resp.StatusCode, out.Code
}

// Contracts reach entries from the store alone. An entry crashes and another is
// started elsewhere, a contract is deleted and made again, and then the store goes
// away. Each entry must serve callers by the terms in force, also the one that has
// to wait until the crashed one's part of the contract is free.
func TestCrashDeletionAndOutage(t *testing.T) {
	// Ten times as fast as in production.
	f := &fleet{t: t, leaseTTL: 3 * time.Second, member: member.Options{
		Exchange: 200 * time.Millisecond, DeadAfter: 800 * time.Millisecond, GoneAfter: 1600 * time.Millisecond,
	}}
	f.open(2, 2)
	if status, code := f.submit(f.entries[0], 1); status != http.StatusForbidden || code != jobs.CodeUnknownContract {
		t.Errorf("job of a contract that does not exist: %d, %s", status, code)
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
	fresh := f.start()
	f.until("a fresh entry holds the contract", func() bool { return f.inForce(first) })
	f.until("a fresh entry serves", serves(fresh))

	gone := f.apply("c2", first, func(c *pb.Contract) { c.Deleted = true })
	f.until("deletion in force", func() bool { return f.inForce(gone) })
	if status, code := f.submit(fresh, 1); status != http.StatusForbidden {
		t.Errorf("job of a deleted contract: %d, %s", status, code)
	}
	back := f.apply("c3", gone, nil)
	f.until("contract in force again", func() bool { return f.inForce(back) })
	f.kv.SetFaults(kv.Faults{Outage: true})
	for _, e := range f.entries {
		f.until("entry serves without the store", serves(e))
	}
}

// BenchmarkTimeToForce changes a contract on 3 entries with 11 agents linked, with
// the times of production.
func BenchmarkTimeToForce(b *testing.B) {
	const usual = 2 * time.Millisecond
	cases := []struct {
		name    string
		changes int
		faults  kv.Faults
		restart bool
	}{
		{name: "quiet", changes: 200, faults: kv.Faults{Delay: usual}},
		{name: "entry restarting", changes: 20, faults: kv.Faults{Delay: usual}, restart: true},
		{name: "watches silent", changes: 20, faults: kv.Faults{Delay: usual, SilentWatches: true}, restart: true},
		{name: "store at 50 times its latency", changes: 20, faults: kv.Faults{Delay: 50 * usual}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := &fleet{t: b}
			f.open(3, 11)
			f.kv.SetFaults(c.faults)
			var revision uint64
			var took []time.Duration
			for i := range c.changes {
				asked := time.Now()
				revision = f.apply(fmt.Sprintf("c%d", i), revision, func(c *pb.Contract) { c.Weight = uint32(1 + i%2) })
				if c.restart {
					f.entries[0].Kill()
					f.entries[0].cancel()
					f.entries = f.entries[1:]
					f.start()
				}
				f.until("in force", func() bool { return f.inForce(revision) })
				took = append(took, time.Since(asked))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(took[len(took)-1])/1e6, "max-ms")
		})
	}
}

// BenchmarkExchange tells how large the messages between 3 entries are at rest.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{41, 410} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &fleet{t: b}
			f.open(3, 1)
			var last uint64
			for i := range n {
				last = f.apply(fmt.Sprintf("c%d", i), 0, func(c *pb.Contract) { c.Name = fmt.Sprintf("customer-%d", i) })
			}
			settled := func() bool {
				return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool {
					return e.Config().Snapshot().Covered() < last || e.Entry.ready() != nil
				})
			}
			f.until("settled", settled)
			// The division of the contracts settles in a few exchanges.
			time.Sleep(10 * time.Second)
			from := f.entries[1]
			state := f.entries[0].membership.Serve(from.membership.Serve(&pb.PeerState{Self: f.entries[0].Peer(), ConfigRevision: last}))
			b.ReportMetric(float64(proto.Size(state)), "B/msg")
			b.ReportMetric(float64(len(state.Contracts)), "contracts/msg")
		})
	}
}
