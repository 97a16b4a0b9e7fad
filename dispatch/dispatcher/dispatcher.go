package dispatcher

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/evacuation"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/speed"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// Options configure a Dispatcher.
type Options struct {
	Entry, Incarnation, FailureDomain string

	Timeouts bounds.Timeouts
	// Link holds the timing options of links to agents.
	Link link.Options
	// DomainRoundTrip is the extra round-trip time to an agent in another failure
	// domain, compared with one in the entry's own.
	DomainRoundTrip time.Duration
	// RemoteFactor is how many times longer a task takes away from its data's rack.
	RemoteFactor float64
	// ReportsPerSecond limits the load reports that the entry requests from agents,
	// to bound their CPU cost. Reports sent with order updates aren't counted.
	ReportsPerSecond float64
	// Random returns numbers in [0, 1), for jitter; nil: no jitter.
	Random func() float64
	Health health.Options
	// Disabled is the set of disabled features, to measure what each is worth.
	Disabled disabled.Set
	// Events records events for the time line; nil: no recording.
	Events *event.Ring
	// OnDecision is called with each decision, for the log; nil: no logging.
	OnDecision func(Decision)
}

// Defaults of Options.
const (
	// DefaultDomainRoundTrip is for failure domains of one region.
	DefaultDomainRoundTrip = 2 * time.Millisecond
	// DefaultReportsPerSecond costs about a hundredth of a core.
	DefaultReportsPerSecond = 300
	defaultRemoteFactor     = 1.5
)

const (
	// usefulFactor is the multiple of a job's latency objective up to which its answer
	// is of use: users count it as late until then, and as missing beyond.
	usefulFactor = 3
	// minOrderWaitShare is the share of its job's latency objective for which an order
	// may always wait at one worker before it is offered elsewhere.
	minOrderWaitShare = 0.25
	// orderWaitFactor is the multiple of its predicted wait that an order may wait at one
	// worker: three of four of the most urgent tasks wait less. With minOrderWaitShare
	// alone, workers repeatedly refused at once tasks that were expected to start later.
	orderWaitFactor = 2
	// startupPeriod is how long after its start an entry may still lack handshakes with
	// agents. They retry every 50 ms, wait up to 150 ms for a connection to a machine
	// without power, and report after one poll of their worker. After a loss of power
	// the first handshake came after 80 to 180 ms, the last after 350 ms.
	startupPeriod = 500 * time.Millisecond
	// renewShare is the share of an agent's silence limit after which an entry with runs
	// there sends a frame, so that two frames may be delayed.
	renewShare = 0.33
)

// Decision is one decision, for the log.
type Decision struct {
	Event string
	// Domain is a failure domain.
	Domain  string
	Job     string
	Queue   string
	Version uint64
	Task    string
	Run     uint32
	Agent   string
	Order   uint64
	Reason  string
	// Age of the agent's state on which the decision is based.
	Age     time.Duration
	Elapsed time.Duration
	Waiting int
	Free    size.Size
	Outcome string
	Retry   time.Duration
	// Tasks is the job's number of tasks, and Longest the expected time of its critical path.
	Tasks   int
	Longest time.Duration
	// Limit is the job's time limit, and Objective its latency objective.
	Limit, Objective time.Duration
	// Speed of a worker; zero: not stated.
	Speed float64
}

// Outcome of a job.
type Outcome uint8

// Outcomes.
const (
	// Completed: all tasks succeeded.
	Completed Outcome = iota
	// Failed: a task failed as often as it may.
	Failed
	// NotRun: nothing has started, and nothing will.
	NotRun
	// Unknown: something has started, or may have, and not everything succeeded.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"completed", "failed", "not run", "unknown"}[o]
}

// Answer ends a job.
type Answer struct {
	Number  uint64
	Outcome Outcome
	Reason  string
	// Permanent: sending the job again would give the same answer.
	Permanent bool
	// RetryAfter is how long the caller should wait before it retries; zero: unspecified.
	RetryAfter time.Duration
}

// Reasons of answers.
const (
	ReasonNoWorkers    = "no workers known"
	ReasonEvacuated    = "the failure domains of all workers are evacuated"
	ReasonTooLarge     = "a task fits no worker"
	ReasonOverload     = "more urgent work takes all workers"
	ReasonLagging      = "the entry itself is behind"
	ReasonNoFreeWorker = "no worker came free in time"
	ReasonDeadline     = "time limit reached"
	ReasonInfeasible   = "too little time left"
	ReasonAttempts     = "a task failed too often"
	ReasonCrashes      = "workers crashed under a task"
	ReasonAgentLost    = "an agent can't be reached"
	ReasonShuttingDown = "the entry is shutting down"
	ReasonUnsupported  = "not supported"
	ReasonCancelled    = "cancelled"
)

// ReasonRunsEnded is the reason for losing the runs at an agent that can't be reached: they must have
// ended by now.
const ReasonRunsEnded = "the agent can't be reached"

// OutgoingFrame is a frame to be sent to an agent.
type OutgoingFrame struct {
	Agent string // incarnation
	Epoch uint64
	Frame *pb.OrderFrame
}

// Ready holds what the driver must carry out.
type Ready struct {
	Frames  []OutgoingFrame
	Answers []Answer
	// Close lists the agents, by incarnation, whose links must be closed.
	Close []string
	// AgentRequests holds requests to other entries for agents; see InviteAgents.
	AgentRequests []AgentRequest
}

// Dispatcher is the state of one entry. It isn't safe for concurrent use.
type Dispatcher struct {
	opts   Options
	health *health.Tracker
	speeds *speed.Tracker

	agents        []*agent // in order of arrival
	byIncarnation map[string]*agent
	touched       []*agent               // since the last call of Ready
	timers        indexheap.Heap[*agent] // next wake-ups of the agents that aren't touched
	handshakes    map[string]handshake   // handshakes that the agents haven't completed, by incarnation
	entries       []string               // addresses of live entries, sent to agents
	orderRate     rate                   // of orders sent
	expedited     int                    // agents that have been asked for immediate reports
	cursor        int

	lastJob     uint64 // number of the last job
	lastOrder   uint64
	lastLink    uint64 // number of the last link to an agent
	lost        []lostOrder
	jobs        map[uint64]*job
	byID        map[string]*job            // by queue and id
	ending      map[string]*job            // answered, with live runs; by queue and id
	jobTimers   indexheap.Heap[*job]       // unanswered jobs, by dueAt
	waitlists   map[string]*waitlist       // by service
	runTimes    map[string]*runTimeModel   // by queue
	requests    map[string]*requestBackoff // by service and label
	waitMargins map[string]*waitMargin     // by queue
	// lateCompletion is the share of late jobs that were completed recently.
	lateCompletion completionRatio
	config         *pb.Configuration
	// evacuations holds the failure domains in which nothing may start.
	evacuations evacuation.View
	crashes     crashes

	startedAt time.Time // time of the first input
	// tickDueAt is when the requested tick is due, and timerLag how far the process
	// has been behind recently, as shown by ticks and inputs.
	tickDueAt   time.Time
	lastReadyAt time.Time // time of the last call of Ready
	timerLag    lagMeter
	// staleAgent is the agent that last refused an order as stale, and staleAt when.
	staleAgent *agent
	staleAt    time.Time

	// shutdownAt is when a process that shuts down ends; zero: it isn't shutting down.
	shutdownAt time.Time
	terminated bool
	ready      Ready
}

// New returns a Dispatcher without agents.
func New(o Options) *Dispatcher {
	o.DomainRoundTrip = cmp.Or(o.DomainRoundTrip, DefaultDomainRoundTrip)
	o.RemoteFactor = cmp.Or(o.RemoteFactor, defaultRemoteFactor)
	o.ReportsPerSecond = cmp.Or(o.ReportsPerSecond, DefaultReportsPerSecond)
	if o.Random == nil {
		o.Random = func() float64 { return 0.5 }
	}
	if o.OnDecision == nil {
		o.OnDecision = func(Decision) {}
	}
	return &Dispatcher{
		opts:          o,
		health:        health.New(o.Health),
		speeds:        speed.New(speed.Options{}),
		byIncarnation: make(map[string]*agent),
		handshakes:    make(map[string]handshake),
		jobs:          make(map[uint64]*job),
		byID:          make(map[string]*job),
		ending:        make(map[string]*job),
		waitlists:     make(map[string]*waitlist),
		runTimes:      make(map[string]*runTimeModel),
		requests:      make(map[string]*requestBackoff),
		waitMargins:   make(map[string]*waitMargin),
	}
}

// SetConfiguration applies a version of the configuration; one that isn't newer than
// the version in force is ignored. It reports whether c is in force now.
func (d *Dispatcher) SetConfiguration(c *pb.Configuration) bool {
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	old := d.config.GetVersion()
	d.config = c
	d.opts.OnDecision(Decision{Event: "configuration", Version: c.Version, Reason: "newer than " + utoa(old)})
	return true
}

// Configuration returns the configuration in force; nil before the first.
func (d *Dispatcher) Configuration() *pb.Configuration { return d.config }

// SetEntries sets the addresses of the live entries. Each agent is sent the subset
// from which it chooses its links.
func (d *Dispatcher) SetEntries(addresses []string) {
	d.entries = addresses
	for _, a := range d.agents {
		d.updateEntries(a)
	}
}

func (d *Dispatcher) updateEntries(a *agent) {
	entries := subset.First(a.name, d.entries, subset.Advertised)
	if !slices.Equal(entries, a.entries) {
		a.entries, a.sendEntries = entries, true
		d.touch(a)
	}
}

// Links returns the number of linked agents.
func (d *Dispatcher) Links() int {
	n := 0
	for _, a := range d.agents {
		if a.session.IsUp() {
			n++
		}
	}
	return n
}

// WaitingJobs returns, per queue, the number of jobs that arrived at least since ago and of
// which nothing has started.
func (d *Dispatcher) WaitingJobs(now time.Time, since time.Duration) map[string]int {
	out := make(map[string]int)
	for _, j := range d.jobs {
		if !j.ended && !j.started && now.Sub(j.arrived) >= since {
			out[j.queue.Name]++
		}
	}
	return out
}

// OpenJobs returns the number of unanswered jobs.
func (d *Dispatcher) OpenJobs() int { return len(d.jobs) }

// NotifyExit notifies agents that the process ends now.
func (d *Dispatcher) NotifyExit() {
	d.terminated = true
	d.touchAll()
}

// Tick handles everything that is due by now.
func (d *Dispatcher) Tick(now time.Time) {
	if !d.tickDueAt.IsZero() && !now.Before(d.tickDueAt) {
		d.timerLag.observe(now, now.Sub(d.tickDueAt))
	}
	for d.jobTimers.Len() > 0 && !now.Before(d.jobTimers.First().dueAt) {
		d.handleJobTimer(now, d.jobTimers.First())
	}
	d.tickAgents(now)
}

// Next returns when Tick is due; zero: not before the next input.
func (d *Dispatcher) Next() time.Time {
	var next time.Time
	if d.jobTimers.Len() > 0 {
		next = d.jobTimers.First().dueAt
	}
	next = link.Earlier(next, d.nextHandshakeExpiry())
	if d.timers.Len() > 0 {
		next = link.Earlier(next, d.timers.First().wakeAt)
	}
	// Ticks at least this often reveal whether the process keeps up.
	if len(d.jobs) > 0 {
		next = link.Earlier(next, d.timerLag.nextSample())
	}
	d.tickDueAt = next
	if next.Before(d.lastReadyAt) {
		d.tickDueAt = d.lastReadyAt
	}
	return next
}

// Ready returns what must be carried out since the last call.
func (d *Dispatcher) Ready(now time.Time) Ready {
	d.lastReadyAt = now
	for d.jobTimers.Len() > 0 && !now.Before(d.jobTimers.First().dueAt) {
		d.handleJobTimer(now, d.jobTimers.First())
	}
	d.place(now)
	d.updateExpedite(now)
	d.flushTouched(now)
	r := d.ready
	d.ready = Ready{}
	return r
}
