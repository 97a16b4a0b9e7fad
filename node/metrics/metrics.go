package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Options of the collectors of one process.
type Options struct {
	// Role is "entry" or "agent".
	Role    string
	Version string
	// Ring and Clock are read at each scrape; both may be nil.
	Ring  *event.Ring
	Clock *hlc.Clock
}

// Process holds what entries and agents both measure. A Process's methods may
// be called from any goroutine.
type Process struct {
	messages     [messageCount][directionCount]prometheus.Counter
	messageBytes [messageCount][directionCount]prometheus.Counter
	wasted       [wasteCount]prometheus.Counter
	credits      [movementCount]prometheus.Counter

	// LinksUp is the number of links in use.
	LinksUp prometheus.Gauge
	// LinksOpened and LinksLost count links; a link that goes silent is lost.
	LinksOpened prometheus.Counter
	LinksLost   prometheus.Counter
	// PeersSuspected is the number of peers that have not been heard in time.
	PeersSuspected prometheus.Gauge
	// ConfigRevision is the highest contract revision in force here.
	ConfigRevision prometheus.Gauge
	// ConfigDelay is the time from the writing of a contract to its coming into
	// force here, by the two hosts' clocks.
	ConfigDelay prometheus.Histogram
	// LogLines and LogLinesSuppressed count lines written and held back.
	LogLines           prometheus.Counter
	LogLinesSuppressed prometheus.Counter
	// OperatorRequests counts the requests on the operators' port, by result.
	OperatorRequests *prometheus.CounterVec
}

// configDelayBuckets lie around the 9 s within which a change must be in force.
var configDelayBuckets = []float64{.01, .05, .1, .25, .5, 1, 2, 4, 9, 30, 120}

func newProcess(reg prometheus.Registerer, o Options) *Process {
	f := factory{reg}
	p := &Process{
		LinksUp:            f.gauge("links_up", "Links in use."),
		LinksOpened:        f.counter("links_opened_total", "Links opened."),
		LinksLost:          f.counter("links_lost_total", "Links that failed or went silent."),
		PeersSuspected:     f.gauge("peers_suspected", "Peers not heard from in time."),
		ConfigRevision:     f.gauge("config_revision", "Highest contract revision in force."),
		LogLines:           f.counter("log_lines_total", "Log lines written."),
		LogLinesSuppressed: f.counter("log_lines_suppressed_total", "Log lines held back by the rate limit."),
		ConfigDelay: f.histogram("config_delay_seconds",
			"Time from the writing of a contract to its coming into force here.", configDelayBuckets),
		OperatorRequests: f.counterVec("operator_requests_total",
			"Requests on the operators' port.", "request", "result"),
	}
	messages := f.counterVec("messages_total", "Messages between processes.", "kind", "direction")
	bytes := f.counterVec("message_bytes_total", "Encoded bytes of messages between processes.", "kind", "direction")
	for m, kind := range messageNames {
		for d, direction := range directionNames {
			p.messages[m][d] = messages.WithLabelValues(kind, direction)
			p.messageBytes[m][d] = bytes.WithLabelValues(kind, direction)
		}
	}
	wasted := f.counterVec("messages_wasted_total", "Messages that need not have been sent.", "reason")
	for w, reason := range wasteNames {
		p.wasted[w] = wasted.WithLabelValues(reason)
	}
	credits := f.counterVec("credits_total", "Credits moved.", "movement")
	for m, movement := range movementNames {
		p.credits[m] = credits.WithLabelValues(movement)
	}
	f.gaugeVec("build_info", "Always 1; the labels tell what runs.", "version", "role").
		WithLabelValues(o.Version, o.Role).Set(1)
	f.counterFunc("events_overwritten_total", "Time line events lost to newer ones.",
		func() float64 { return float64(o.Ring.Overwritten()) })
	if o.Clock != nil {
		f.counterFunc("clocks_rejected_total", "Timestamps of peers too far ahead.",
			func() float64 { return float64(o.Clock.Rejected()) })
	}
	reg.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return p
}

// Message counts one message and its encoded size.
func (p *Process) Message(m Message, d Direction, bytes int) {
	p.messages[m][d].Inc()
	p.messageBytes[m][d].Add(float64(bytes))
}

// Wasted counts messages that need not have been sent.
func (p *Process) Wasted(w Waste, n int) { p.wasted[w].Add(float64(n)) }

// Credits counts credits moved.
func (p *Process) Credits(m Movement, n int) { p.credits[m].Add(float64(n)) }

// Agent holds the collectors of an agent.
type Agent struct {
	*Process
	// Slots of the endpoint, and tasks running in them.
	Slots        prometheus.Gauge
	TasksRunning prometheus.Gauge
	// TasksStarted counts starts at the endpoint, TasksFailed those that it failed.
	TasksStarted prometheus.Counter
	TasksFailed  prometheus.Counter
	// ResultsHeld is the number of results not acknowledged by their home.
	ResultsHeld prometheus.Gauge
	// TaskRun is the run time of tasks at the endpoint.
	TaskRun prometheus.Histogram
}

// taskRunBuckets cover tasks of 50 ms to a second, and the few longer ones.
var taskRunBuckets = []float64{.01, .025, .05, .1, .2, .4, .7, 1, 2, 5, 10, 60}

// NewAgent registers an agent's collectors with reg; it panics if they are
// registered there already.
func NewAgent(reg prometheus.Registerer, o Options) *Agent {
	f := factory{reg}
	return &Agent{
		Process:      newProcess(reg, o),
		Slots:        f.gauge("slots", "Slots of the endpoint."),
		TasksRunning: f.gauge("tasks_running", "Tasks running at the endpoint."),
		TasksStarted: f.counter("tasks_started_total", "Tasks started at the endpoint."),
		TasksFailed:  f.counter("tasks_failed_total", "Tasks that the endpoint failed."),
		ResultsHeld:  f.gauge("results_held", "Results not acknowledged by their home yet."),
		TaskRun:      f.histogram("task_run_seconds", "Run time of tasks at the endpoint.", taskRunBuckets),
	}
}

// Entry holds the collectors of an entry.
type Entry struct {
	*Process
	// JobsInFlight is the number of jobs accepted and not answered.
	JobsInFlight prometheus.Gauge
	// TasksWaiting is the number of tasks accepted and not dispatched.
	TasksWaiting prometheus.Gauge
	// CreditsHeld is the number of starts that agents have granted.
	CreditsHeld prometheus.Gauge
	// WorkersSuspended is the number of workers that get no work for failing tasks.
	WorkersSuspended prometheus.Gauge
	// StoreUp is 1 while the platform's store answers.
	StoreUp prometheus.Gauge

	storeCalls    [storeCallCount]storeSeries
	contracts     contractCache
	contractVecs  contractVecs
	otherContract *Contract
}

type storeSeries struct {
	ok, failed prometheus.Counter
	duration   prometheus.Observer
}

// storeBuckets reach from a fast read to the timeout of a store in trouble.
var storeBuckets = []float64{.001, .0025, .005, .01, .025, .1, .5, 2, 10}

// NewEntry registers an entry's collectors with reg; it panics if they are
// registered there already.
func NewEntry(reg prometheus.Registerer, o Options) *Entry {
	f := factory{reg}
	e := &Entry{
		Process:          newProcess(reg, o),
		JobsInFlight:     f.gauge("jobs_in_flight", "Jobs accepted and not answered."),
		TasksWaiting:     f.gauge("tasks_waiting", "Tasks accepted and not dispatched."),
		CreditsHeld:      f.gauge("credits_held", "Starts granted by agents and not used."),
		WorkersSuspended: f.gauge("workers_suspended", "Workers that get no work because tasks fail there."),
		StoreUp:          f.gauge("store_up", "Whether the platform's store answers."),
		contractVecs:     newContractVecs(f),
	}
	e.otherContract = e.contractVecs.resolve(OtherContract)
	calls := f.counterVec("store_calls_total", "Calls to the platform's store.", "call", "result")
	duration := f.histogramVec("store_call_duration_seconds", "Duration of calls to the platform's store, watches excepted.",
		storeBuckets, "call")
	for c, call := range storeCallNames {
		e.storeCalls[c] = storeSeries{
			ok:       calls.WithLabelValues(call, "ok"),
			failed:   calls.WithLabelValues(call, "failed"),
			duration: duration.WithLabelValues(call),
		}
	}
	return e
}

// StoreCall counts a call to the platform's store that took d.
func (e *Entry) StoreCall(c StoreCall, d time.Duration, err error) {
	s := e.storeCalls[c]
	if err != nil {
		s.failed.Inc()
	} else {
		s.ok.Inc()
	}
	if c != StoreWatch {
		s.duration.Observe(d.Seconds())
	}
}
