//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
	"github.com/papayahoist/papayahoist/platform/standin/endpoint"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// site is an entry and an agent with the stand-ins that they need.
type site struct {
	t            *testing.T
	entry, agent *process
	// job submits one ordinary job at the entry and reports whether it was completed.
	job func() bool
}

// bodyBytes is the limit of a request body in the configuration of leased sites.
const bodyBytes = 262144

// limits are what the processes of a site may use.
type limits struct{ memoryMB, descriptors int }

// newLeasedSite starts an entry and an agent for a worker that runs tasks under leases.
func newLeasedSite(t *testing.T, l limits) *site {
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	configuration, _ := json.Marshal(map[string]any{
		"version": 3, "services": []any{map[string]any{"name": "s"}},
		"routes": []any{map[string]any{
			"name": "stamps", "host": "desk", "prefix": "/stamps/", "service": "s", "timeout_ms": 5000, "target_latency_ms": 500, "attempts": 2, "stretch": 20,
		}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	store.Put(adapter.ConfigurationKey, configuration)

	entryIP, agentIP := newIP(), newIP()
	worker := standin.NewWorker(standin.WorkerOptions{
		ID: "w0", Service: "s", CPU: 4000, Memory: 1000, Agent: net.JoinHostPort(agentIP, reportsPort),
		RunTime: func(string) time.Duration { return time.Millisecond },
	})
	workerServer := httptest.NewServer(worker)
	t.Cleanup(workerServer.Close)
	t.Cleanup(func() { worker.Close(nil) })

	shared := map[string]any{
		"failure_domain": "hall", "store_address": strings.TrimPrefix(storeServer.URL, "http://"), "memory_mb": l.memoryMB,
		"seeds":  []string{net.JoinHostPort(entryIP, nodesPort)},
		"bounds": map[string]string{"resend": "1300ms", "max_lease": "1s", "stop": "50ms", "grace": "4s"},
	}
	settings := func(ip string, own map[string]any) map[string]any {
		maps.Copy(own, shared)
		own["metrics_listen"] = net.JoinHostPort(ip, metricsPort)
		return own
	}
	s := &site{t: t}
	s.entry = startProcess(t, entryIP, "entry-0", "leased-entry", l.descriptors, settings(entryIP, map[string]any{
		"callers_listen": net.JoinHostPort(entryIP, callersPort), "ready_listen": net.JoinHostPort(entryIP, readyPort),
		"nodes_listen": net.JoinHostPort(entryIP, nodesPort), "processor_share": 1,
	}))
	s.agent = startProcess(t, agentIP, "agent-0", "leased-agent", l.descriptors, settings(agentIP, map[string]any{
		"reports_listen": net.JoinHostPort(agentIP, reportsPort), "worker_address": strings.TrimPrefix(workerServer.URL, "http://"), "connections": 8,
	}))
	go worker.Report()
	jobs := 0
	s.job = func() bool {
		jobs++
		status, body := request(http.MethodPost, s.entry.address(callersPort), fmt.Sprintf("/stamps/%016x", jobs), leasedJob)
		return status == http.StatusOK && body == `{"state":"completed"}`
	}
	s.waitUntil("the first job to be answered", s.job)
	return s
}

// leasedJob is an ordinary job of a leased site.
const leasedJob = `{"specification":"x","best_effort":true,"steps":[{"count":2,"cpu":500,"task_memory_mb":10,"estimated_ms":1}]}`

// newContractSite starts an entry and an agent beside an endpoint whose limits follow from
// contracts.
func newContractSite(t *testing.T, l limits) *site {
	store := httptest.NewServer(kv.New(kv.Options{}))
	t.Cleanup(store.Close)
	editor := config.NewEditor(etcdv3.New(store.URL, etcdv3.Options{}), config.EditorOptions{})
	_, err := editor.Apply(t.Context(), contract.Change{ID: "c", Author: "test", At: time.Now(), Contract: &pb.Contract{
		Name: "reports", Class: pb.Class_CLASS_URGENT, Weight: 1, Rate: 1000, Concurrency: 8, MemoryBytes: 1 << 33, Waiting: 1000, DefaultTimeoutMs: 5000,
	}})
	if err != nil {
		t.Fatal(err)
	}
	worker := httptest.NewServer(endpoint.NewWorker(endpoint.Options{}).Handler())
	t.Cleanup(worker.Close)
	entryIP, agentIP := newIP(), newIP()
	s := &site{t: t}
	s.entry = startProcess(t, entryIP, "entry-0", "entry", l.descriptors, map[string]any{
		"failure_domain": "hall", "callers_listen": net.JoinHostPort(entryIP, callersPort), "nodes_listen": net.JoinHostPort(entryIP, nodesPort),
		"operators_listen": net.JoinHostPort(entryIP, metricsPort), "store_addresses": []string{strings.TrimPrefix(store.URL, "http://")},
	})
	s.agent = startProcess(t, agentIP, "agent-0", "agent", l.descriptors, map[string]any{
		"failure_domain": "hall", "worker": "worker-0", "rack": "rack-0", "nodes_listen": net.JoinHostPort(agentIP, nodesPort),
		"operators_listen": net.JoinHostPort(agentIP, metricsPort), "endpoint_address": strings.TrimPrefix(worker.URL, "http://"),
		"join": []string{net.JoinHostPort(entryIP, nodesPort)}, "cores": 16, "memory_bytes": 1 << 34,
	})
	s.job = func() bool {
		status, _ := request(http.MethodPost, s.entry.address(callersPort), "/v1/jobs", contractJob)
		return status == http.StatusOK
	}
	s.waitUntil("the first job to be answered", s.job)
	return s
}

// contractJob is an ordinary job of a contract site. The payload is base64 of {"run_ms":1}.
const contractJob = `{"contract":"reports","kind":"report","tasks":[{"payload":"eyJydW5fbXMiOjF9","memory_bytes":1048576,"cpu_millis":100}]}`

// request sends one request on a connection of its own.
func request(method, address, path, body string) (status int, response string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "desk"
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// answered returns a function that reports whether a GET at the address succeeds.
func answered(address, path string) func() bool {
	return func() bool {
		status, _ := request(http.MethodGet, address, path, "")
		return status == http.StatusOK
	}
}

const patience = 60 * time.Second

// waitUntil waits for a condition that is reached unless something hangs.
func (s *site) waitUntil(what string, reached func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !reached(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited %v for %s", patience, what)
		}
	}
}
