package process

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/settings"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

const loopback = "127.0.0.1:0"

// site runs processes on the loopback interface, with stand-ins for the platform.
type site struct {
	t               *testing.T
	store, endpoint string // addresses
}

func newSite(t *testing.T) *site {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.CloseClientConnections)
		return strings.TrimPrefix(server.URL, "http://")
	}
	return &site{t: t, store: serve(kv.New(kv.Options{})), endpoint: serve(standin.NewWorker(standin.Options{}).Handler())}
}

// run runs a process until the returned function is called. That function waits until
// the process has drained.
func (s *site) run(run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	return func() {
		s.t.Helper()
		cancel()
		if err := <-done; err != nil {
			s.t.Errorf("drain: %v", err)
		}
	}
}

func (s *site) entry(name string) (*Entry, func()) {
	s.t.Helper()
	o := settings.DefaultEntry()
	o.Name, o.FailureDomain = name, "frame-hall"
	o.CallersListen, o.NodesListen, o.OperatorsListen = loopback, loopback, loopback
	o.StoreAddresses = []string{"127.0.0.1:1", s.store}
	e, err := NewEntry(EntryOptions{Settings: o, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		s.t.Fatal(err)
	}
	return e, s.run(e.Run)
}

func (s *site) agent(join string) (*Agent, func()) {
	s.t.Helper()
	o := settings.DefaultAgent()
	o.Name, o.Worker, o.Rack, o.FailureDomain = "agent-1", "worker-1", "rack-1", "frame-hall"
	o.NodesListen, o.OperatorsListen = loopback, loopback
	o.EndpointAddress, o.Join, o.Cores, o.MemoryBytes = s.endpoint, []string{join}, 16, 1<<30
	a, err := NewAgent(AgentOptions{Settings: o, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		s.t.Fatal(err)
	}
	return a, s.run(a.Run)
}

// await polls until the condition holds; the test's time limit bounds it.
func (s *site) await(holds func() bool) {
	for !holds() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *site) submit(e *Entry) int {
	s.t.Helper()
	body, err := json.Marshal(jobs.SubmitRequest{
		Contract: "desk", Kind: "gauge", TimeoutMillis: 20_000,
		Tasks: []jobs.Task{{Payload: []byte(`{"run_ms":1}`)}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.Post("http://"+e.CallersAddress()+jobs.PathJobs, "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// An agent joins through one entry, a second entry starts later, and the first is
// replaced. The agent must link to each of them without new settings: otherwise an
// entry has callers but no workers, and answers them with "deadline exceeded". The
// entries must also reach the store although the first address in their settings is
// dead.
func TestAgentLinksToEveryEntry(t *testing.T) {
	s := newSite(t)
	editor := config.NewEditor(etcdv3.New("http://"+s.store, etcdv3.Options{}), config.EditorOptions{})
	first, stopFirst := s.entry("entry-1")
	_, stopAgent := s.agent(first.NodesAddress())
	s.await(func() bool { return first.Links() == 1 })
	second, stopSecond := s.entry("entry-2")
	s.await(func() bool { return second.Links() == 1 })

	terms := &pb.Contract{Name: "desk", Rate: 100, Concurrency: 8, MemoryBytes: 1 << 30, Waiting: 100}
	_, err := editor.Apply(t.Context(), contract.Change{Contract: terms, ID: "c1", Author: "test", At: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range []*Entry{first, second} {
		s.await(func() bool { return e.Config().Contract("desk") != nil })
		if status := s.submit(e); status != http.StatusOK {
			t.Errorf("%s: status %d", e.Peer().Entry, status)
		}
	}
	stopFirst()
	third, stopThird := s.entry("entry-3")
	s.await(func() bool { return third.Links() == 1 && third.Config().Contract("desk") != nil })
	if status := s.submit(third); status != http.StatusOK {
		t.Errorf("entry-3: status %d", status)
	}
	stopAgent()
	stopSecond()
	stopThird()
}

// The store is unreachable when an entry starts, so the entry has no contracts and
// would refuse every job for an unknown contract. It must not be ready, so that the
// balancer sends it no callers.
func TestEntryWithoutContractsIsNotReady(t *testing.T) {
	s := newSite(t)
	s.store = "127.0.0.1:2"
	e, stop := s.entry("entry-1")
	response, err := http.Get("http://" + e.OperatorsAddress() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", response.StatusCode, http.StatusServiceUnavailable)
	}
	stop()
}
