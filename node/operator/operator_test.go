package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
	"github.com/papayahoist/papayahoist/node/metrics"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type fixedStatus struct{}

func (fixedStatus) Status() *pb.StatusResponse { return &pb.StatusResponse{Process: "entry-1"} }

type fixture struct {
	ring     *event.Ring
	clock    *hlc.Clock
	requests *prometheus.CounterVec
	notReady error
	server   *httptest.Server
	client   papayahoistv1connect.OperatorServiceClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: new(hlc.Clock)}
	f.ring = event.NewRing(event.Options{Process: "entry-1", Clock: f.clock})
	registry := prometheus.NewRegistry()
	f.requests = metrics.NewEntry(registry, metrics.Options{Role: "entry", Ring: f.ring}).OperatorRequests
	f.server = httptest.NewServer(NewHandler(Options{
		Status:   fixedStatus{},
		Ring:     f.ring,
		Clock:    f.clock,
		Role:     "entry",
		Ready:    func() error { return f.notReady },
		Gatherer: registry,
		Requests: f.requests,
		Now:      func() time.Time { return epoch },
	}))
	t.Cleanup(f.server.Close)
	f.client = papayahoistv1connect.NewOperatorServiceClient(f.server.Client(), f.server.URL)
	return f
}

func (f *fixture) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := f.server.Client().Get(f.server.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func TestTimeline(t *testing.T) {
	f := newFixture(t)
	f.ring.Record(epoch, event.Event{Kind: event.JobAccepted, Job: "a", Contract: "reports", Value: 2})
	f.ring.Record(epoch, event.Event{Kind: event.TaskDispatched, Job: "a", Task: 1, Peer: "agent-1"})
	f.ring.Record(epoch, event.Event{Kind: event.JobAccepted, Job: "b"})
	response, err := f.client.Timeline(context.Background(), connect.NewRequest(&pb.TimelineRequest{Job: "a"}))
	if err != nil {
		t.Fatal(err)
	}
	got := response.Msg
	first := hlc.Pack(epoch, 0)
	want := []string{"job-accepted a 0 2 ", "task-dispatched a 1 0 agent-1"}
	var lines []string
	for _, e := range got.Events {
		lines = append(lines, strings.Join([]string{e.Kind, e.Job, digits(uint64(e.Task)), digits(e.Value), e.Peer}, " "))
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if got.Process != "entry-1" || got.Role != "entry" || got.OldestClock != first || got.Limited {
		t.Errorf("response is %v", got)
	}
	if got.Clock <= got.Events[1].Clock {
		t.Error("the clock of the response is not later than its events")
	}
}

func digits(n uint64) string { return string(rune('0' + n)) }

func TestMalformedTimelineRequests(t *testing.T) {
	// A script sends invalid filters. It must get an error instead of an empty time
	// line, which would look as if nothing had happened.
	long := strings.Repeat("x", maxNameLength+1)
	tests := []struct {
		name     string
		request  *pb.TimelineRequest
		code     connect.Code
		wantText string
	}{
		{"long job", &pb.TimelineRequest{Job: long}, connect.CodeInvalidArgument, "job has 257 bytes"},
		{"long contract", &pb.TimelineRequest{Contract: long}, connect.CodeInvalidArgument, "contract has"},
		{"long worker", &pb.TimelineRequest{Worker: long}, connect.CodeInvalidArgument, "worker has"},
		{"negative time", &pb.TimelineRequest{FromUnixMs: -1}, connect.CodeInvalidArgument, "negative"},
		{"empty time range", &pb.TimelineRequest{FromUnixMs: 2, UntilUnixMs: 2}, connect.CodeInvalidArgument, "before until"},
		{"huge", &pb.TimelineRequest{Job: strings.Repeat("x", maxRequestBytes)}, connect.CodeResourceExhausted, ""},
	}
	f := newFixture(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := f.client.Timeline(context.Background(), connect.NewRequest(tt.request))
			if connect.CodeOf(err) != tt.code || !strings.Contains(err.Error(), tt.wantText) {
				t.Errorf("error %v, want %v with %q", err, tt.code, tt.wantText)
			}
		})
	}
	if got := testutil.ToFloat64(f.requests.WithLabelValues("timeline", "invalid_argument")); got != 5 {
		t.Errorf("%v invalid requests counted, want 5", got)
	}
}

func TestConcurrentTimelinesAreLimited(t *testing.T) {
	// Several operators request complete time lines of every agent during an outage.
	// Each response holds a copy of the ring, and agents have little memory.
	s := &service{Options: Options{Clock: new(hlc.Clock), Now: func() time.Time { return epoch }},
		timelines: make(chan struct{}, 1)}
	s.timelines <- struct{}{}
	_, err := s.Timeline(context.Background(), connect.NewRequest(&pb.TimelineRequest{}))
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("error %v, want resource_exhausted", err)
	}
	<-s.timelines
	if _, err := s.Timeline(context.Background(), connect.NewRequest(&pb.TimelineRequest{})); err != nil {
		t.Errorf("error %v after the other request ended", err)
	}
}

func TestStatusAndClock(t *testing.T) {
	f := newFixture(t)
	ahead := hlc.Pack(epoch.Add(time.Second), 0)
	response, err := f.client.Status(context.Background(), connect.NewRequest(&pb.StatusRequest{Clock: ahead}))
	if err != nil {
		t.Fatal(err)
	}
	if response.Msg.Process != "entry-1" || response.Msg.Clock <= ahead {
		t.Errorf("status is %v", response.Msg)
	}
}

func TestHTTPPaths(t *testing.T) {
	f := newFixture(t)
	check := func(path string, wantCode int, wantText string) {
		t.Helper()
		if code, body := f.get(t, path); code != wantCode || !strings.Contains(body, wantText) {
			t.Errorf("%s: %d %.200q, want %d with %q", path, code, body, wantCode, wantText)
		}
	}
	check(PathHealth, http.StatusOK, "ok")
	check(PathReady, http.StatusOK, "ok")
	check(PathMetrics, http.StatusOK, "papayahoist_jobs_in_flight 0")
	check("/nothing", http.StatusNotFound, "")
	f.notReady = errors.New("draining")
	check(PathReady, http.StatusServiceUnavailable, "draining")
	check(PathHealth, http.StatusOK, "ok")
}
