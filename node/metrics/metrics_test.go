package metrics

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// series returns the number of exported series, including those of each histogram
// bucket.
func series(t *testing.T, reg *prometheus.Registry) int {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), namespace) {
			continue
		}
		for _, m := range f.GetMetric() {
			n++
			if h := m.GetHistogram(); h != nil {
				n += len(h.GetBucket()) + 2
			}
		}
	}
	return n
}

func TestSeriesAreBounded(t *testing.T) {
	reg := prometheus.NewRegistry()
	e := NewEntry(reg, Options{Role: "entry", Ring: event.NewRing(event.Options{}), Clock: new(hlc.Clock)})
	for i := range 41 {
		e.AddContract(fmt.Sprintf("contract-%d", i))
	}
	before := series(t, reg)
	t.Logf("entry with 41 contracts: %d series", before)
	if before >= 2000 {
		t.Errorf("%d series, want under 2000", before)
	}
	agents := prometheus.NewRegistry()
	ring := event.NewRing(event.Options{})
	NewAgent(agents, Options{Role: "agent", Ring: ring})
	ring.Record(time.Unix(0, 0), event.Event{Kind: event.TaskDuplicate})
	ring.Record(time.Unix(0, 0), event.Event{Kind: event.CreditsReturned, Value: 1})
	wantWasted := `
# HELP papayahoist_messages_wasted_total Messages that need not have been sent.
# TYPE papayahoist_messages_wasted_total counter
papayahoist_messages_wasted_total{reason="duplicate_start"} 1
papayahoist_messages_wasted_total{reason="refused_start"} 0
`
	if err := testutil.GatherAndCompare(agents, strings.NewReader(wantWasted), "papayahoist_messages_wasted_total"); err != nil {
		t.Error(err)
	}
	if n := series(t, agents); n >= 120 {
		t.Errorf("agent exports %d series, want under 120", n)
	}

	// A caller sends requests with made-up contract names. With a series for each
	// name, the process and the Prometheus server would run out of memory.
	for i := range 10_000 {
		e.Contract(fmt.Sprintf("made-up-%d", i)).Offered.Add(1)
	}
	if after := series(t, reg); after != before {
		t.Errorf("%d series after made-up names, want %d", after, before)
	}
	if got := e.Contract("made-up").Offered.Value(); got != 10_000 {
		t.Errorf("other contracts count %v, want 10000", got)
	}
	for i := range 2 * MaxContracts {
		e.AddContract(fmt.Sprintf("extra-%d", i))
	}
	if n := len(e.contracts.load()); n != MaxContracts {
		t.Errorf("%d contracts with series, want %d", n, MaxContracts)
	}
}

func TestRemoveContractRemovesSeries(t *testing.T) {
	reg := prometheus.NewRegistry()
	e := NewEntry(reg, Options{Role: "entry"})
	before := series(t, reg)
	e.AddContract("stamps")
	e.Contract("stamps").CountRefused(jobs.CodeRateLimited)
	e.RemoveContract("stamps")
	e.RemoveContract("never-there")
	if after := series(t, reg); after != before {
		t.Errorf("%d series after removal, want %d", after, before)
	}
}

func TestContractCounts(t *testing.T) {
	reg := prometheus.NewRegistry()
	ring := event.NewRing(event.Options{})
	e := NewEntry(reg, Options{Role: "entry", Ring: ring})
	e.SetState(func() EntryState { return EntryState{JobsInFlight: 7, StoreUp: true} })
	e.AddContract("reports")
	c := e.Contract("reports")
	c.CountRefused(jobs.CodeQueueFull)
	c.CountRefused("a-code-of-tomorrow")
	c.ObserveResponse(300*time.Millisecond, 200*time.Millisecond)
	c.ObserveResponse(300*time.Millisecond, 0)
	e.ObserveStoreCall(StoreWrite, time.Millisecond, nil)
	e.ObserveStoreCall(StoreWrite, time.Second, errors.New("timeout"))
	for range 3 {
		ring.Record(time.Unix(0, 0), event.Event{Kind: event.JobForwarded})
	}
	ring.Record(time.Unix(0, 0), event.Event{Kind: event.CreditsReturned, Value: 8})
	want := `
# HELP papayahoist_credits_total Credits moved.
# TYPE papayahoist_credits_total counter
papayahoist_credits_total{movement="granted"} 0
papayahoist_credits_total{movement="lost"} 0
papayahoist_credits_total{movement="recalled"} 0
papayahoist_credits_total{movement="returned"} 8
# HELP papayahoist_jobs_in_flight Jobs accepted and not answered.
# TYPE papayahoist_jobs_in_flight gauge
papayahoist_jobs_in_flight 7
# HELP papayahoist_messages_wasted_total Messages that need not have been sent.
# TYPE papayahoist_messages_wasted_total counter
papayahoist_messages_wasted_total{reason="forwarded_job"} 3
# HELP papayahoist_store_up Whether the platform's store answers.
# TYPE papayahoist_store_up gauge
papayahoist_store_up 1
`
	if err := testutil.GatherAndCompare(reg, strings.NewReader(want), "papayahoist_messages_wasted_total",
		"papayahoist_credits_total", "papayahoist_jobs_in_flight", "papayahoist_store_up"); err != nil {
		t.Error(err)
	}
	wantRefused := "code:\"other\" count:1 code:\"queue_full\" count:1"
	if got := refusedText(c); got != wantRefused {
		t.Errorf("refused %s, want %s", got, wantRefused)
	}
	counts := []struct {
		name    string
		counter prometheus.Counter
		want    float64
	}{
		{"write ok", e.storeCalls[StoreWrite].ok, 1},
		{"write failed", e.storeCalls[StoreWrite].failed, 1},
	}
	for _, tt := range counts {
		if got := testutil.ToFloat64(tt.counter); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	if problems, err := testutil.GatherAndLint(reg); err != nil || len(problems) > 0 {
		t.Errorf("lint: %v, %v", problems, err)
	}
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "papayahoist_job_response_ratio" {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == "reports" && m.GetHistogram().GetSampleCount() != 1 {
				t.Errorf("%d responses observed, want 1: jobs without a run time must be ignored",
					m.GetHistogram().GetSampleCount())
			}
		}
	}
}

func refusedText(c *ContractMetrics) string {
	var parts []string
	for _, r := range c.RefusedCounts() {
		parts = append(parts, fmt.Sprintf("code:%q count:%d", r.Code, r.Count))
	}
	return strings.Join(parts, " ")
}

func TestFrameKinds(t *testing.T) {
	entry := []struct {
		frame *pb.EntryFrame
		want  MessageKind
	}{
		{&pb.EntryFrame{Hello: &pb.EntryHello{}}, MessageHello},
		{&pb.EntryFrame{Starts: []*pb.StartBatch{{}}, Want: 1}, MessageStart},
		{&pb.EntryFrame{Revokes: []*pb.Revoke{{}}}, MessageRevoke},
		{&pb.EntryFrame{Fences: []*pb.Fence{{}}}, MessageFence},
		{&pb.EntryFrame{Returned: 1}, MessageCredits},
		{&pb.EntryFrame{Finished: []string{"a"}}, MessageFinished},
		{&pb.EntryFrame{Contracts: []*pb.Contract{{}}}, MessageConfig},
		{&pb.EntryFrame{Leaving: true}, MessageLeaving},
		{&pb.EntryFrame{Seq: 3, Ack: 4}, MessageHeartbeat},
	}
	for _, tt := range entry {
		if got := EntryFrameKind(tt.frame); got != tt.want {
			t.Errorf("%v: %s, want %s", tt.frame, messageNames[got], messageNames[tt.want])
		}
	}
	agent := []struct {
		frame *pb.AgentFrame
		want  MessageKind
	}{
		{&pb.AgentFrame{Hello: &pb.AgentHello{}}, MessageHello},
		{&pb.AgentFrame{News: []*pb.TaskNews{{}}, Granted: 1}, MessageUpdate},
		{&pb.AgentFrame{Fenced: []*pb.FenceReport{{}}}, MessageFence},
		{&pb.AgentFrame{Recall: 1}, MessageCredits},
		{&pb.AgentFrame{Leaving: true}, MessageLeaving},
		{&pb.AgentFrame{Load: &pb.AgentLoad{}}, MessageHeartbeat},
	}
	for _, tt := range agent {
		if got := AgentFrameKind(tt.frame); got != tt.want {
			t.Errorf("%v: %s, want %s", tt.frame, messageNames[got], messageNames[tt.want])
		}
	}
}

// BenchmarkRequestPath measures the cost of the metrics of one served job at an
// entry.
func BenchmarkRequestPath(b *testing.B) {
	e := NewEntry(prometheus.NewRegistry(), Options{Role: "entry"})
	e.AddContract("reports")
	b.ReportAllocs()
	for b.Loop() {
		c := e.Contract("reports")
		c.Offered.Add(1)
		c.TasksDispatched.Add(1)
		e.CountMessage(MessageStart, Sent, 200)
		e.CountMessage(MessageUpdate, Received, 200)
		c.Served.Add(1)
		c.ObserveResponse(300*time.Millisecond, 200*time.Millisecond)
	}
}
