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

// leasedMetrics are the metrics of an entry or agent for leased workers. Label values
// are names of events and reasons, of which there are a few dozen.
type leasedMetrics struct {
	registry   *prometheus.Registry
	decisions  *prometheus.CounterVec
	jobs       *prometheus.HistogramVec
	orderWaits prometheus.Histogram
	runs       *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	frames     *prometheus.CounterVec
	frameWaits prometheus.Histogram
	exchanges  prometheus.Counter
}

// durationBuckets are in seconds, around the latency objectives of sub-second tasks.
var durationBuckets = []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newLeasedMetrics() *leasedMetrics {
	m := &leasedMetrics{
		registry: prometheus.NewRegistry(),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_decisions_total", Help: "Decisions, by event and reason.",
		}, []string{"event", "reason"}),
		jobs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayahoist_job_seconds", Help: "Time from a job's arrival to its answer, by outcome.", Buckets: durationBuckets,
		}, []string{"outcome"}),
		orderWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayahoist_order_wait_seconds", Help: "Time from a job's arrival until a task was ordered.", Buckets: durationBuckets,
		}),
		runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayahoist_run_seconds", Help: "Duration of runs, by outcome.", Buckets: durationBuckets,
		}, []string{"outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_store_calls_total", Help: "Calls to the platform's store, by kind and result.",
		}, []string{"kind", "result"}),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_frames_total", Help: "Frames sent on links between entries and agents, by kind of content.",
		}, []string{"kind"}),
		frameWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayahoist_frame_wait_seconds", Help: "Time from the decision to send a frame to an agent until it was passed to the connection.", Buckets: durationBuckets,
		}),
		exchanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayahoist_exchanges_total", Help: "Exchanges with other entries that this entry began.",
		}),
	}
	m.registry.MustRegister(m.decisions, m.jobs, m.orderWaits, m.runs, m.storeCalls, m.frames, m.frameWaits, m.exchanges, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerGauge registers a gauge that calls f at each scrape.
func (m *leasedMetrics) registerGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
}

// countDecision counts one decision. Details after a colon in the reason may come from
// another system; they are cut off, since each would create a time series.
func (m *leasedMetrics) countDecision(event, reason string) {
	reason, _, _ = strings.Cut(reason, ":")
	m.decisions.WithLabelValues(event, reason).Inc()
}

func (m *leasedMetrics) observeFrameWait(wait time.Duration) { m.frameWaits.Observe(wait.Seconds()) }

func (m *leasedMetrics) countStoreCall(kind string, _ time.Duration, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(kind, result).Inc()
}

// Kinds of frames. A frame with several kinds of content counts as the first of them
// that countOrderFrame or countWorkerFrame checks.
const (
	frameOrders    = "orders"
	frameUpdates   = "news"
	frameReport    = "report"
	frameEntries   = "entries"
	frameHeartbeat = "heartbeat" // also acknowledgements and permissions for runs to go on
)

func (m *leasedMetrics) countOrderFrame(f *pb.OrderFrame) {
	kind := frameHeartbeat
	switch {
	case len(f.Orders) > 0 || len(f.Stops) > 0:
		kind = frameOrders
	case len(f.Entries) > 0 || len(f.InvitedBy) > 0:
		kind = frameEntries
	}
	m.frames.WithLabelValues(kind).Inc()
}

func (m *leasedMetrics) countWorkerFrame(f *pb.WorkerFrame) {
	kind := frameHeartbeat
	switch {
	case len(f.News) > 0:
		kind = frameUpdates
	case f.State != nil:
		kind = frameReport
	}
	m.frames.WithLabelValues(kind).Inc()
}

// serve serves the metrics at the address. If that is empty, it returns nil, nil.
func (m *leasedMetrics) serve(address string) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for metrics scrapes")
	}
	s := &http.Server{Handler: promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: headerTimeout}
	go func() { _ = serveHTTP(s, l) }()
	return s, nil
}
