package process

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/dispatcher"
	"github.com/papayahoist/papayahoist/platform/adapter"
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
	storeBytes *prometheus.CounterVec
	frames     *prometheus.CounterVec
	frameWaits prometheus.Histogram
	exchanges  *prometheus.CounterVec
	// exchangeBytes and fetchedBytes count parts of messages, too, if the call has failed.
	exchangeBytes *prometheus.CounterVec
	fetches       *prometheus.CounterVec
	fetchedBytes  *prometheus.CounterVec
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
		storeBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_store_received_bytes_total", Help: "Bytes of responses of the platform's store, by kind of call and result.",
		}, []string{"kind", "result"}),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_frames_total", Help: "Frames sent on links between entries and agents, by kind of content.",
		}, []string{"kind"}),
		frameWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayahoist_frame_wait_seconds", Help: "Time from the decision to send a frame to an agent until it was passed to the connection.", Buckets: durationBuckets,
		}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_exchanges_total", Help: "Exchanges with other entries that this entry began, by result.",
		}, []string{"result"}),
		exchangeBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_exchange_bytes_total", Help: "Bytes of the messages of these exchanges, by direction and result.",
		}, []string{"direction", "result"}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_configuration_fetches_total", Help: "Fetches of a configuration from another entry, by result.",
		}, []string{"result"}),
		fetchedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayahoist_configuration_fetched_bytes_total", Help: "Bytes received by these fetches, by result.",
		}, []string{"result"}),
	}
	m.registry.MustRegister(m.decisions, m.jobs, m.orderWaits, m.runs, m.storeCalls, m.storeBytes, m.frames, m.frameWaits, m.exchanges, m.exchangeBytes, m.fetches, m.fetchedBytes, collectors.NewGoCollector(),
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

// callResult is the value of the label for the result of a call.
func callResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

func (m *leasedMetrics) countStoreCall(c adapter.Call) {
	result := callResult(c.Err)
	m.storeCalls.WithLabelValues(c.Kind, result).Inc()
	m.storeBytes.WithLabelValues(c.Kind, result).Add(float64(c.Received))
}

func (m *leasedMetrics) countExchange(t dispatcher.Transfer) {
	result := callResult(t.Err)
	m.exchanges.WithLabelValues(result).Inc()
	m.exchangeBytes.WithLabelValues("sent", result).Add(float64(t.Sent))
	m.exchangeBytes.WithLabelValues("received", result).Add(float64(t.Received))
}

func (m *leasedMetrics) countFetch(t dispatcher.Transfer) {
	result := callResult(t.Err)
	m.fetches.WithLabelValues(result).Inc()
	m.fetchedBytes.WithLabelValues(result).Add(float64(t.Received))
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

// maxScrapes limits concurrent scrapes, each of which holds all metrics.
const maxScrapes = 2

// serve serves the metrics at the address, within the limits. If the address is empty, it returns
// nil, nil.
func (m *leasedMetrics) serve(address string, limits clientLimits) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := connlimit.Listen(address, connlimit.SmallBuffers)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for metrics scrapes")
	}
	s := newInternalServer(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	limited := limits.Limit(connlimit.Port{Name: "metrics", MaxConns: limits.conns(operatorsFraction), Buffers: connlimit.SmallBuffers, Internal: true}, l, s)
	go func() { _ = serveHTTP(s, limited) }()
	return s, nil
}
