package metrics

import (
	"sync/atomic"
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

func newProcess(reg prometheus.Registerer, o Options, agent bool) *Process {
	f := factory{reg}
	p := &Process{
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
		if agent && Message(m).betweenEntries() {
			continue
		}
		for d, direction := range directionNames {
			p.messages[m][d] = messages.WithLabelValues(kind, direction)
			p.messageBytes[m][d] = bytes.WithLabelValues(kind, direction)
		}
	}
	registerEvents(f, o.Ring, agent)
	f.gaugeVec("build_info", "Always 1; the labels tell what runs.", "version", "role").
		WithLabelValues(o.Version, o.Role).Set(1)
	if o.Clock != nil {
		f.counterFunc("clocks_rejected_total", "Timestamps of peers too far ahead.",
			func() float64 { return float64(o.Clock.Rejected()) })
	}
	reg.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return p
}

// Message counts one message and its encoded size. An agent must not call it
// for messages between entries.
func (p *Process) Message(m Message, d Direction, bytes int) {
	p.messages[m][d].Inc()
	p.messageBytes[m][d].Add(float64(bytes))
}

// registerEvents exports the ring's counts, so that what is counted and what
// the time line shows are the same decisions.
func registerEvents(f factory, r *event.Ring, agent bool) {
	for _, k := range event.Kinds() {
		if agent && entryEvents[k] {
			continue
		}
		f.counterFunc("events_total", "Events recorded, by kind.",
			func() float64 { n, _ := r.Count(k); return float64(n) }, "kind", k.String())
	}
	waste := entryWaste
	if agent {
		waste = agentWaste
	}
	for k, reason := range waste {
		f.counterFunc("messages_wasted_total", "Messages that need not have been sent.",
			func() float64 { n, _ := r.Count(k); return float64(n) }, "reason", reason)
	}
	for k, movement := range movements {
		f.counterFunc("credits_total", "Credits moved.",
			func() float64 { _, v := r.Count(k); return float64(v) }, "movement", movement)
	}
	f.counterFunc("events_overwritten_total", "Time line events lost to newer ones.",
		func() float64 { return float64(r.Overwritten()) })
}

// Agent holds the collectors of an agent.
type Agent struct {
	*Process
	// TasksFailed counts the tasks that the endpoint failed.
	TasksFailed prometheus.Counter
	// TaskRun is the run time of tasks at the endpoint.
	TaskRun prometheus.Histogram

	state source[AgentState]
}

// AgentState is what an agent is at the time of a scrape.
type AgentState struct {
	// Slots of the endpoint, and tasks running in them.
	Slots, TasksRunning int
	// ResultsHeld is the number of results not acknowledged by their home.
	ResultsHeld int
	// LinksUp is the number of links in use.
	LinksUp        int
	ConfigRevision uint64
}

// SetState sets where the agent's state is read at each scrape. read may be
// called from any goroutine.
func (a *Agent) SetState(read func() AgentState) { a.state.Store(&read) }

// source reads a state; until it is set, the state is zero.
type source[S any] struct{ atomic.Pointer[func() S] }

func (s *source[S]) read() S {
	if read := s.Load(); read != nil {
		return (*read)()
	}
	var zero S
	return zero
}

// taskRunBuckets cover tasks of 50 ms to a second, and the few longer ones.
var taskRunBuckets = []float64{.01, .025, .05, .1, .2, .4, .7, 1, 2, 5, 10, 60}

// NewAgent registers an agent's collectors with reg; it panics if they are
// registered there already.
func NewAgent(reg prometheus.Registerer, o Options) *Agent {
	f := factory{reg}
	a := &Agent{
		Process:     newProcess(reg, o, true),
		TasksFailed: f.counter("tasks_failed_total", "Tasks that the endpoint failed."),
		TaskRun:     f.histogram("task_run_seconds", "Run time of tasks at the endpoint.", taskRunBuckets),
	}
	gauge := func(name, help string, value func(AgentState) float64) {
		f.gaugeFunc(name, help, func() float64 { return value(a.state.read()) })
	}
	gauge("slots", "Slots of the endpoint.", func(s AgentState) float64 { return float64(s.Slots) })
	gauge("tasks_running", "Tasks running at the endpoint.", func(s AgentState) float64 { return float64(s.TasksRunning) })
	gauge("results_held", "Results not acknowledged by their home yet.", func(s AgentState) float64 { return float64(s.ResultsHeld) })
	gauge("links_up", "Links in use.", func(s AgentState) float64 { return float64(s.LinksUp) })
	gauge("config_revision", "Highest contract revision in force.", func(s AgentState) float64 { return float64(s.ConfigRevision) })
	return a
}

// Entry holds the collectors of an entry.
type Entry struct {
	*Process

	state         source[EntryState]
	storeCalls    [storeCallCount]storeSeries
	contracts     contractCache
	contractVecs  contractVecs
	otherContract *Contract
}

// EntryState is what an entry is at the time of a scrape.
type EntryState struct {
	// JobsInFlight is the number of jobs accepted and not answered.
	JobsInFlight int
	// TasksWaiting is the number of tasks accepted and not dispatched.
	TasksWaiting int
	// CreditsHeld is the number of starts that agents have granted.
	CreditsHeld int
	// LinksUp is the number of links in use, LinksDown of those that are missed.
	LinksUp, LinksDown int
	// WorkersSuspended is the number of workers that get no work for failing tasks.
	WorkersSuspended int
	ConfigRevision   uint64
	// StoreUp is whether the platform's store answers.
	StoreUp bool
}

// SetState sets where the entry's state is read at each scrape. read may be
// called from any goroutine.
func (e *Entry) SetState(read func() EntryState) { e.state.Store(&read) }

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
		Process:      newProcess(reg, o, false),
		contractVecs: newContractVecs(f),
	}
	e.registerState(f)
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

func (e *Entry) registerState(f factory) {
	gauge := func(name, help string, value func(EntryState) float64) {
		f.gaugeFunc(name, help, func() float64 { return value(e.state.read()) })
	}
	gauge("jobs_in_flight", "Jobs accepted and not answered.", func(s EntryState) float64 { return float64(s.JobsInFlight) })
	gauge("tasks_waiting", "Tasks accepted and not dispatched.", func(s EntryState) float64 { return float64(s.TasksWaiting) })
	gauge("credits_held", "Starts granted by agents and not used.", func(s EntryState) float64 { return float64(s.CreditsHeld) })
	gauge("links_up", "Links in use.", func(s EntryState) float64 { return float64(s.LinksUp) })
	gauge("links_down", "Agents not given up that have no link.", func(s EntryState) float64 { return float64(s.LinksDown) })
	gauge("workers_suspended", "Workers that get no work because tasks fail there.",
		func(s EntryState) float64 { return float64(s.WorkersSuspended) })
	gauge("config_revision", "Highest contract revision in force.", func(s EntryState) float64 { return float64(s.ConfigRevision) })
	gauge("store_up", "Whether the platform's store answers.", func(s EntryState) float64 {
		if s.StoreUp {
			return 1
		}
		return 0
	})
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
