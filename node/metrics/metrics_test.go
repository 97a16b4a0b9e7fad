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

// series counts the exported samples, a histogram's buckets one by one.
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
	NewAgent(agents, Options{Role: "agent"})
	if n := series(t, agents); n >= 120 {
		t.Errorf("agent exports %d series, want under 120", n)
	}

	// A caller sends requests with made-up contract names. Were each a series,
	// the process would grow until it is killed, and the metrics server with it.
	for i := range 10_000 {
		e.Contract(fmt.Sprintf("made-up-%d", i)).Offered.Inc()
	}
	if after := series(t, reg); after != before {
		t.Errorf("%d series after made-up names, want %d", after, before)
	}
	if got := testutil.ToFloat64(e.Contract("made-up").Offered); got != 10_000 {
		t.Errorf("other contracts count %v, want 10000", got)
	}
	for i := range 2 * MaxContracts {
		e.AddContract(fmt.Sprintf("extra-%d", i))
	}
	if n := len(e.contracts.load()); n != MaxContracts {
		t.Errorf("%d contracts with series, want %d", n, MaxContracts)
	}
}

func TestRemovedContractLeavesNoSeries(t *testing.T) {
	reg := prometheus.NewRegistry()
	e := NewEntry(reg, Options{Role: "entry"})
	before := series(t, reg)
	e.AddContract("stamps")
	e.Contract("stamps").Refused(jobs.CodeRateLimited)
	e.RemoveContract("stamps")
	e.RemoveContract("never-there")
	if after := series(t, reg); after != before {
		t.Errorf("%d series after removal, want %d", after, before)
	}
}

func TestContractCounts(t *testing.T) {
	reg := prometheus.NewRegistry()
	e := NewEntry(reg, Options{Role: "entry"})
	e.AddContract("reports")
	c := e.Contract("reports")
	c.Refused(jobs.CodeQueueFull)
	c.Refused("a-code-of-tomorrow")
	c.Response(300*time.Millisecond, 200*time.Millisecond)
	c.Response(300*time.Millisecond, 0)
	e.StoreCall(StoreWrite, time.Millisecond, nil)
	e.StoreCall(StoreWrite, time.Second, errors.New("timeout"))
	e.Wasted(WasteResentStart, 3)
	e.Credits(CreditsGranted, 8)
	want := `
# HELP papayahoist_messages_wasted_total Messages that need not have been sent.
# TYPE papayahoist_messages_wasted_total counter
papayahoist_messages_wasted_total{reason="duplicate_start"} 0
papayahoist_messages_wasted_total{reason="forward"} 0
papayahoist_messages_wasted_total{reason="refused_start"} 0
papayahoist_messages_wasted_total{reason="repeated_result"} 0
papayahoist_messages_wasted_total{reason="resent_start"} 3
papayahoist_messages_wasted_total{reason="returned_credit"} 0
papayahoist_messages_wasted_total{reason="stale_frame"} 0
`
	if err := testutil.GatherAndCompare(reg, strings.NewReader(want), "papayahoist_messages_wasted_total"); err != nil {
		t.Error(err)
	}
	counts := []struct {
		name    string
		counter prometheus.Counter
		want    float64
	}{
		{"queue full", c.refused[jobs.CodeQueueFull], 1},
		{"unlisted code", c.refused[otherCode], 1},
		{"write ok", e.storeCalls[StoreWrite].ok, 1},
		{"write failed", e.storeCalls[StoreWrite].failed, 1},
		{"granted", e.credits[CreditsGranted], 8},
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
				t.Errorf("%d responses observed, want 1: a job without run time has no ratio",
					m.GetHistogram().GetSampleCount())
			}
		}
	}
}

func TestFrameKinds(t *testing.T) {
	entry := []struct {
		frame *pb.EntryFrame
		want  Message
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
		want  Message
	}{
		{&pb.AgentFrame{Hello: &pb.AgentHello{}}, MessageHello},
		{&pb.AgentFrame{News: []*pb.TaskNews{{}}, Granted: 1}, MessageNews},
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

// BenchmarkRequestPath is what the metrics of one served job cost an entry.
func BenchmarkRequestPath(b *testing.B) {
	e := NewEntry(prometheus.NewRegistry(), Options{Role: "entry"})
	e.AddContract("reports")
	b.ReportAllocs()
	for b.Loop() {
		c := e.Contract("reports")
		c.Offered.Inc()
		c.TasksStarted.Inc()
		e.Message(MessageStart, Sent, 200)
		e.Message(MessageNews, Received, 200)
		c.Served.Inc()
		c.Response(300*time.Millisecond, 200*time.Millisecond)
	}
}
