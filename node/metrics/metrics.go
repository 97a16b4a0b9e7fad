package metrics

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Options configures the collectors of one process.
type Options struct {
	// Role is "entry" or "agent".
	Role    string
	Version string
	// Ring and Clock are read on each scrape; both may be nil.
	Ring  *event.Ring
	Clock *hlc.Clock
}

// Process holds the collectors common to entries and agents. Its methods are safe
// for concurrent use.
type Process struct {
	messages     [messageCount][directionCount]prometheus.Counter
	messageBytes [messageCount][directionCount]prometheus.Counter

	// ConfigDelay is the time from the writing of a contract until it comes into
	// force in this process, computed from the clocks of both hosts.
	ConfigDelay prometheus.Histogram
	// LogLines and LogLinesSuppressed count the log lines that were written and
	// those that the rate limit suppressed.
	LogLines           prometheus.Counter
	LogLinesSuppressed prometheus.Counter
	// OperatorRequests counts the requests on the operators' port by request and
	// result.
	OperatorRequests *prometheus.CounterVec
}

// configDelayBuckets include 9 s, the time within which a change must come into
// force.
var configDelayBuckets = []float64{.01, .05, .1, .25, .5, 1, 2, 4, 9, 30, 120}

func newProcess(reg prometheus.Registerer, o Options, agent bool) *Process {
	f := factory{reg}
	p := &Process{
		LogLines:           f.counter("log_lines_total", "Log lines written."),
		LogLinesSuppressed: f.counter("log_lines_suppressed_total", "Log lines suppressed by the rate limit."),
		ConfigDelay: f.histogram("config_delay_seconds",
			"Time from the writing of a contract until it is in force in this process.", configDelayBuckets),
		OperatorRequests: f.counterVec("operator_requests_total",
			"Requests on the operators' port.", "request", "result"),
	}
	messages := f.counterVec("messages_total", "Messages between processes.", "kind", "direction")
	bytes := f.counterVec("message_bytes_total", "Encoded bytes of messages between processes.", "kind", "direction")
	for m, kind := range messageNames {
		if agent && MessageKind(m).betweenEntries() {
			continue
		}
		for d, direction := range directionNames {
			p.messages[m][d] = messages.WithLabelValues(kind, direction)
			p.messageBytes[m][d] = bytes.WithLabelValues(kind, direction)
		}
	}
	registerEvents(f, o.Ring, agent)
	f.gaugeVec("build_info", "Always 1; labeled by version and role of the process.", "version", "role").
		WithLabelValues(o.Version, o.Role).Set(1)
	if o.Clock != nil {
		f.counterFunc("clocks_rejected_total", "Timestamps of peers rejected as too far in the future.",
			func() float64 { return float64(o.Clock.Rejected()) })
	}
	reg.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return p
}

// CountMessage counts one message and its encoded size in bytes. An agent must not call
// it with a kind that is exchanged between entries only.
func (p *Process) CountMessage(m MessageKind, d Direction, bytes int) {
	p.messages[m][d].Inc()
	p.messageBytes[m][d].Add(float64(bytes))
}

// registerEvents exports the counts of the ring, so that the metrics and the time
// line report the same decisions.
func registerEvents(f factory, r *event.Ring, agent bool) {
	for _, k := range event.Kinds() {
		if agent && entryOnlyEvents[k] {
			continue
		}
		f.counterFunc("events_total", "Events recorded, by kind.",
			func() float64 { n, _ := r.Count(k); return float64(n) }, "kind", k.String())
	}
	wasteReasons := entryWasteReasons
	if agent {
		wasteReasons = agentWasteReasons
	}
	for k, reason := range wasteReasons {
		f.counterFunc("messages_wasted_total", "Messages that need not have been sent.",
			func() float64 { n, _ := r.Count(k); return float64(n) }, "reason", reason)
	}
	for k, movement := range creditMovements {
		f.counterFunc("credits_total", "Credits moved.",
			func() float64 { _, v := r.Count(k); return float64(v) }, "movement", movement)
	}
	f.counterFunc("events_overwritten_total", "Time line events overwritten by newer ones.",
		func() float64 { return float64(r.Overwritten()) })
}

// Agent holds the collectors of an agent.
type Agent struct {
	*Process
	// TasksFailed counts the tasks that failed at the endpoint.
	TasksFailed prometheus.Counter
	// TaskRunTime observes the run time of tasks at the endpoint.
	TaskRunTime prometheus.Histogram

	state stateSource[AgentState]
}

// AgentState is the state of an agent at the time of a scrape.
type AgentState struct {
	// Slots is the number of slots of the endpoint, TasksRunning the number of
	// tasks that run in them.
	Slots, TasksRunning int
	// ResultsHeld is the number of results not yet acknowledged by their home.
	ResultsHeld int
	// LinksUp is the number of links in use.
	LinksUp        int
	ConfigRevision uint64
}

// SetState sets the function that reads the agent's state on each scrape. It must
// be safe for concurrent use.
func (a *Agent) SetState(read func() AgentState) { a.state.Store(&read) }

// stateSource reads a state; the state is zero until a function is set.
type stateSource[S any] struct{ atomic.Pointer[func() S] }

func (s *stateSource[S]) read() S {
	if read := s.Load(); read != nil {
		return (*read)()
	}
	var zero S
	return zero
}

// taskRunBuckets cover tasks of 50 ms to 1 s, and the few longer ones.
var taskRunBuckets = []float64{.01, .025, .05, .1, .2, .4, .7, 1, 2, 5, 10, 60}

// NewAgent registers an agent's collectors with reg; it panics if they are
// registered there already.
func NewAgent(reg prometheus.Registerer, o Options) *Agent {
	f := factory{reg}
	a := &Agent{
		Process:     newProcess(reg, o, true),
		TasksFailed: f.counter("tasks_failed_total", "Tasks that failed at the endpoint."),
		TaskRunTime: f.histogram("task_run_seconds", "Run time of tasks at the endpoint.", taskRunBuckets),
	}
	gauge := func(name, help string, value func(AgentState) float64) {
		f.gaugeFunc(name, help, func() float64 { return value(a.state.read()) })
	}
	gauge("slots", "Slots of the endpoint.", func(s AgentState) float64 { return float64(s.Slots) })
	gauge("tasks_running", "Tasks running at the endpoint.", func(s AgentState) float64 { return float64(s.TasksRunning) })
	gauge("results_held", "Results not yet acknowledged by their home.", func(s AgentState) float64 { return float64(s.ResultsHeld) })
	gauge("links_up", "Links in use.", func(s AgentState) float64 { return float64(s.LinksUp) })
	gauge("config_revision", "Highest contract revision in force.", func(s AgentState) float64 { return float64(s.ConfigRevision) })
	return a
}

// Entry holds the collectors of an entry.
type Entry struct {
	*Process

	state         stateSource[EntryState]
	storeCalls    [storeCallCount]storeCallSeries
	contracts     contractCache
	contractVecs  contractVecs
	otherContract *ContractMetrics
}

// EntryState is the state of an entry at the time of a scrape.
type EntryState struct {
	// JobsInFlight is the number of jobs accepted and not yet answered.
	JobsInFlight int
	// TasksWaiting is the number of tasks accepted and not yet dispatched.
	TasksWaiting int
	// CreditsHeld is the number of starts granted by agents and not yet used.
	CreditsHeld int
	// LinksUp is the number of links in use, LinksDown the number of agents that
	// have no link and have not been abandoned.
	LinksUp, LinksDown int
	// WorkersSuspended is the number of workers that get no work because tasks fail
	// on them.
	WorkersSuspended int
	ConfigRevision   uint64
	// StoreUp reports whether the platform's store answers.
	StoreUp bool
}

// SetState sets the function that reads the entry's state on each scrape. It must
// be safe for concurrent use.
func (e *Entry) SetState(read func() EntryState) { e.state.Store(&read) }

type storeCallSeries struct {
	ok, failed prometheus.Counter
	duration   prometheus.Observer
}

// storeCallBuckets range from a fast read to the timeout of an overloaded store.
var storeCallBuckets = []float64{.001, .0025, .005, .01, .025, .1, .5, 2, 10}

// NewEntry registers an entry's collectors with reg; it panics if they are
// registered there already.
func NewEntry(reg prometheus.Registerer, o Options) *Entry {
	f := factory{reg}
	e := &Entry{
		Process:      newProcess(reg, o, false),
		contractVecs: newContractVecs(f),
	}
	e.registerState(f)
	e.otherContract = e.contractVecs.newContract(OtherContract)
	calls := f.counterVec("store_calls_total", "Calls to the platform's store.", "call", "result")
	duration := f.histogramVec("store_call_duration_seconds", "Duration of calls to the platform's store, excluding watches.",
		storeCallBuckets, "call")
	for c, call := range storeCallNames {
		e.storeCalls[c] = storeCallSeries{
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
	gauge("links_down", "Agents without a link that have not been abandoned.", func(s EntryState) float64 { return float64(s.LinksDown) })
	gauge("workers_suspended", "Workers that get no work because tasks fail on them.",
		func(s EntryState) float64 { return float64(s.WorkersSuspended) })
	gauge("config_revision", "Highest contract revision in force.", func(s EntryState) float64 { return float64(s.ConfigRevision) })
	gauge("store_up", "Whether the platform's store answers.", func(s EntryState) float64 {
		if s.StoreUp {
			return 1
		}
		return 0
	})
}

// ObserveStoreCall counts a call to the platform's store and records its duration d, except
// for watches.
func (e *Entry) ObserveStoreCall(c StoreCall, d time.Duration, err error) {
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
