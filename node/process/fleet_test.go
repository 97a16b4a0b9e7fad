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

// fleet is a set of processes that can be started and stopped. They communicate over
// sockets, with stand-ins for the platform.
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

// open starts the processes and stops them when the test ends.
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
		f.waitUntil("agents linked", func() bool { return e.Links() == agents })
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

// waitUntil polls until the condition holds, and fails the test after a minute.
func (f *fleet) waitUntil(what string, holds func() bool) {
	f.t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > time.Minute {
			f.t.Fatalf("timed out: %s", what)
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
	revision, err := editor.Apply(context.Background(), contract.Change{Contract: c, ID: id, Author: "ann", At: time.Now()})
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

func (f *fleet) inForce(revision uint64) bool {
	return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool {
		return e.Config().Snapshot().Latest("desk").GetRevision() < revision
	})
}

// submit sends a job with that many tasks to the entry. It returns the HTTP status and
// the error code.
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

// An entry crashes and another starts at a different address, a contract is deleted and
// created again, and then the store becomes unreachable. Each entry must apply the terms
// in force, including the new one, which first has to wait until the crashed entry's
// share of the contract is released. Contracts are written to the store only.
func TestCrashDeletionAndOutage(t *testing.T) {
	// A tenth of the intervals in production.
	f := &fleet{t: t, leaseTTL: 3 * time.Second, member: member.Options{
		ExchangeInterval: 200 * time.Millisecond, DeadAfter: 800 * time.Millisecond, AssumeStoppedAfter: 1600 * time.Millisecond,
	}}
	f.open(2, 2)
	if status, code := f.submit(f.entries[0], 1); status != http.StatusForbidden || code != jobs.CodeUnknownContract {
		t.Errorf("job of a contract that does not exist: %d, %s", status, code)
	}
	first := f.apply("c1", 0, nil)
	f.waitUntil("contract in force", func() bool { return f.inForce(first) })
	serves := func(e *fleetEntry) func() bool {
		return func() bool { status, _ := f.submit(e, 20); return status == http.StatusOK }
	}
	for _, e := range f.entries {
		f.waitUntil("entry serves", serves(e))
	}
	f.entries[0].Kill()
	f.entries[0].cancel()
	f.entries = f.entries[1:]
	added := f.start()
	f.waitUntil("a new entry holds the contract", func() bool { return f.inForce(first) })
	f.waitUntil("a new entry serves", serves(added))

	deletion := f.apply("c2", first, func(c *pb.Contract) { c.Deleted = true })
	f.waitUntil("deletion in force", func() bool { return f.inForce(deletion) })
	if status, code := f.submit(added, 1); status != http.StatusForbidden {
		t.Errorf("job of a deleted contract: %d, %s", status, code)
	}
	recreation := f.apply("c3", deletion, nil)
	f.waitUntil("contract in force again", func() bool { return f.inForce(recreation) })
	f.kv.SetFaults(kv.Faults{Outage: true})
	for _, e := range f.entries {
		f.waitUntil("entry serves without the store", serves(e))
	}
}

// Another program has left odd values among the announcements and the contracts. Entries must go on,
// find each other, and follow later changes.
func TestOddKeysInTheStore(t *testing.T) {
	f := &fleet{t: t, leaseTTL: 3 * time.Second, member: member.Options{
		ExchangeInterval: 200 * time.Millisecond, DeadAfter: 800 * time.Millisecond, AssumeStoppedAfter: 1600 * time.Millisecond,
	}}
	f.open(2, 1)
	odd := []string{
		"", "\xff", "null", "[]", strings.Repeat("[", 100_000), strings.Repeat(`{"self":`, 100_000) + strings.Repeat("}", 100_000),
		`{"incarnation":1e400}`, `{"incarnation":"x","address":"127.0.0.1:99999"}`, `{"incarnation":"y","address":"0.0.0.0:1"}`,
		`{"incarnation":"z","address":"http://127.0.0.1:1/\u0000"}`, `{"incarnation":"` + strings.Repeat("w", 1<<19) + `","address":"a"}`,
		`{"contract":{"name":"odd","rate":1e308,"memory_bytes":"18446744073709551615","weight":4294967295}}`,
		`{"contract":{"name":"odd","rate":"NaN","concurrency":18446744073709551616}}`,
	}
	writer := etcdv3.New("http://"+f.store, etcdv3.Options{})
	for i, value := range odd {
		for _, key := range []string{"entries/odd", "contracts/odd", "odd", "contracts/\xff", "entries/\xff"} {
			if i > 0 {
				key += fmt.Sprint(i)
			}
			if _, err := writer.CompareAndSwap(t.Context(), "papayahoist/"+key, 0, []byte(value), 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	first := f.apply("c1", 0, nil)
	f.waitUntil("a contract in force", func() bool { return f.inForce(first) })
	added := f.start() // lists the keys
	f.waitUntil("a contract in force at a new entry", func() bool { return f.inForce(first) })
	f.waitUntil("all entries members", func() bool {
		return !slices.ContainsFunc(f.entries, func(e *fleetEntry) bool { return len(e.membership.Peers()) != 3 })
	})
	f.waitUntil("a new entry serves", func() bool { status, _ := f.submit(added, 20); return status == http.StatusOK })
	second := f.apply("c2", first, func(c *pb.Contract) { c.Weight = 2 })
	f.waitUntil("a change in force", func() bool { return f.inForce(second) })
}

// BenchmarkTimeToForce measures the time from a contract change until it is in force at 3
// entries with 11 linked agents and the intervals of production.
func BenchmarkTimeToForce(b *testing.B) {
	const usualLatency = 2 * time.Millisecond
	cases := []struct {
		name    string
		changes int
		faults  kv.Faults
		restart bool
	}{
		{name: "quiet", changes: 200, faults: kv.Faults{Delay: usualLatency}},
		{name: "entry restarting", changes: 20, faults: kv.Faults{Delay: usualLatency}, restart: true},
		{name: "watches silent", changes: 20, faults: kv.Faults{Delay: usualLatency, StalledWatches: true}, restart: true},
		{name: "store at 50 times its latency", changes: 20, faults: kv.Faults{Delay: 50 * usualLatency}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := &fleet{t: b}
			f.open(3, 11)
			f.kv.SetFaults(c.faults)
			var revision uint64
			var took []time.Duration
			for i := range c.changes {
				began := time.Now()
				revision = f.apply(fmt.Sprintf("c%d", i), revision, func(c *pb.Contract) { c.Weight = uint32(1 + i%2) })
				if c.restart {
					f.entries[0].Kill()
					f.entries[0].cancel()
					f.entries = f.entries[1:]
					f.start()
				}
				f.waitUntil("in force", func() bool { return f.inForce(revision) })
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(took[len(took)-1])/1e6, "max-ms")
		})
	}
}

// BenchmarkExchange reports the size of the messages between 3 idle entries.
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
					return e.Config().Snapshot().CompleteUpTo() < last || e.Entry.ready() != nil
				})
			}
			f.waitUntil("settled", settled)
			// The entries agree on their shares of the contracts within a few exchanges.
			time.Sleep(10 * time.Second)
			from := f.entries[1]
			state := f.entries[0].membership.Serve(from.membership.Serve(&pb.PeerState{Self: f.entries[0].Peer(), ConfigRevision: last}))
			b.ReportMetric(float64(proto.Size(state)), "B/msg")
			b.ReportMetric(float64(len(state.Contracts)), "contracts/msg")
		})
	}
}
