package process

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// leasedMetrics counts what an entry or agent for leased workers decides. Labels are
// names of events and reasons, of which there are a few dozen.
type leasedMetrics struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	jobs      *prometheus.HistogramVec
	waits     prometheus.Histogram
	runs      *prometheus.HistogramVec
	calls     *prometheus.CounterVec
	frames    *prometheus.CounterVec
	exchanges prometheus.Counter
}

// secondsBuckets lie around the objectives of sub-second tasks.
var secondsBuckets = []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newLeasedMetrics() *leasedMetrics {
	m := &leasedMetrics{
		registry: prometheus.NewRegistry(),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_decisions_total", Help: "Decisions, by event and reason.",
		}, []string{"event", "reason"}),
		jobs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayahoist_job_seconds", Help: "Time from a job's arrival to its answer, by outcome.", Buckets: secondsBuckets,
		}, []string{"outcome"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayahoist_order_wait_seconds", Help: "Time from a job's arrival until a task was ordered.", Buckets: secondsBuckets,
		}),
		runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayahoist_run_seconds", Help: "How long runs lasted, by how they ended.", Buckets: secondsBuckets,
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_store_calls_total", Help: "Calls to the platform's store, by kind and result.",
		}, []string{"kind", "result"}),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_frames_total", Help: "Frames sent on links between entries and agents, by what they carry.",
		}, []string{"kind"}),
		exchanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayahoist_exchanges_total", Help: "Exchanges with other entries that this entry began.",
		}),
	}
	m.registry.MustRegister(m.decisions, m.jobs, m.waits, m.runs, m.calls, m.frames, m.exchanges, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// gauge shows a figure that is read at each scrape.
func (m *leasedMetrics) gauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
}

// decided counts one decision. A reason may end in details of another system's, which
// would make a series each.
func (m *leasedMetrics) decided(event, reason string) {
	reason, _, _ = strings.Cut(reason, ":")
	m.decisions.WithLabelValues(event, reason).Inc()
}

func (m *leasedMetrics) storeCall(kind string, _ time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.calls.WithLabelValues(kind, result).Inc()
}

// Kinds of frames. One that carries several things counts as the first of them.
const (
	frameOrders    = "orders"
	frameNews      = "news"
	frameReport    = "report"
	frameEntries   = "entries"
	frameHeartbeat = "heartbeat" // also acknowledgements, and word that runs may go on
)

func (m *leasedMetrics) toAgent(f *pb.OrderFrame) {
	kind := frameHeartbeat
	switch {
	case len(f.Orders) > 0 || len(f.Stops) > 0:
		kind = frameOrders
	case len(f.Entries) > 0 || len(f.InvitedBy) > 0:
		kind = frameEntries
	}
	m.frames.WithLabelValues(kind).Inc()
}

func (m *leasedMetrics) toEntry(f *pb.WorkerFrame) {
	kind := frameHeartbeat
	switch {
	case len(f.News) > 0:
		kind = frameNews
	case f.State != nil:
		kind = frameReport
	}
	m.frames.WithLabelValues(kind).Inc()
}

// serve serves the metrics at the address; empty: not at all.
func (m *leasedMetrics) serve(address string) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrStart.Wrap(err, "port for metrics")
	}
	s := &http.Server{Handler: promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: headerTimeout}
	go func() { _ = serveHTTP(s, l) }()
	return s, nil
}
