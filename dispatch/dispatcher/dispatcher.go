package dispatcher

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/evacuation"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/subset"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// Options configure a Dispatcher.
type Options struct {
	Entry, Incarnation, FailureDomain string

	Times bounds.Times
	// Link are the times of links to agents.
	Link link.Options
	// DomainRoundTrip is the round trip to an agent in another failure domain,
	// beyond the one to an agent in the entry's own.
	DomainRoundTrip time.Duration
	// RemoteFactor is how many times longer a task takes away from its data's rack.
	RemoteFactor float64
	// ReportsPerSecond is how many reports of agents' load the entry takes in for
	// its processor's sake, beside those that come with news of its own orders.
	ReportsPerSecond float64
	// Random gives numbers in [0, 1), for jitter; nil: none.
	Random func() float64
	Health health.Options
	// Without are mechanisms that are switched off, to measure what they are worth.
	Without without.Set
	// Events takes what happens, for the time line; nil: none.
	Events *event.Ring
	// Decided is told of each decision, for the log; nil: nobody.
	Decided func(Decision)
}

// Defaults of Options.
const (
	// DefaultDomainRoundTrip is between failure domains of one region.
	DefaultDomainRoundTrip = 2 * time.Millisecond
	// DefaultReportsPerSecond costs about a hundredth of a core.
	DefaultReportsPerSecond = 300
	defaultRemoteFactor     = 1.5
)

const (
	// usefulFactor is up to how many times its latency objective a job's answer is of
	// use: the users count it as late until then, and as none beyond.
	usefulFactor = 3
	// patiencePart is the part of its job's latency objective that an order waits at
	// one worker at least before it is offered elsewhere.
	patiencePart = 0.25
	// patienceFactor is up to how many times longer than foretold it waits there: of the
	// most urgent work, three of four wait less. With patiencePart alone, workers refused
	// at once what they were expected to start later, time and again.
	patienceFactor = 2
	// meetWithin is how long after its begin an entry may not have met the agents yet:
	// they try it again every 50 ms, take up to 150 ms for a connection to a machine
	// that has no power, and tell of their worker after one look. Measured after the
	// loss of power: the first after 80 to 180 ms, the last after 350.
	meetWithin = 500 * time.Millisecond
	// renewPart is the part of the silence that an agent bears after which an entry
	// with runs there speaks: two frames may be late.
	renewPart = 0.33
)

// Decision is one decision for the log.
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
	// Age of what is known of the agent.
	Age     time.Duration
	Elapsed time.Duration
	Waiting int
	Free    size.Size
	Outcome string
	Retry   time.Duration
	// Tasks of the job, and the longest time that one is expected to run.
	Tasks   int
	Longest time.Duration
	// Limit is the time that the job had, and Objective the one that it was to end in.
	Limit, Objective time.Duration
}

// Outcome of a job.
type Outcome uint8

// Outcomes.
const (
	// Completed: every task has ended well.
	Completed Outcome = iota
	// Failed: a task failed as often as it may.
	Failed
	// NotRun: nothing has started, and nothing will.
	NotRun
	// Unknown: something has started, or may have, and not everything ended well.
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
	// Permanent: sending the job again would be answered alike.
	Permanent bool
	// RetryAfter is when a caller should come back; zero: not said.
	RetryAfter time.Duration
}

// Reasons of answers.
const (
	ReasonNoWorkers   = "no workers known"
	ReasonEvacuated   = "the failure domains of all workers are evacuated"
	ReasonTooLarge    = "a task fits no worker"
	ReasonOverload    = "more urgent work takes all workers"
	ReasonBusy        = "the entry itself is behind"
	ReasonHeld        = "no worker came free in time"
	ReasonDeadline    = "time limit reached"
	ReasonHopeless    = "too little time left"
	ReasonAttempts    = "a task failed too often"
	ReasonCrashes     = "workers crashed under a task"
	ReasonAgentLost   = "an agent can't be reached"
	ReasonLeaving     = "the entry is shutting down"
	ReasonUnsupported = "not supported"
	ReasonCancelled   = "cancelled"
)

// Out is a frame for an agent.
type Out struct {
	Agent string // incarnation
	Epoch uint64
	Frame *pb.OrderFrame
}

// Ready is what the driver must carry out.
type Ready struct {
	Frames  []Out
	Answers []Answer
	// Close lists agents, by incarnation, whose links must be closed.
	Close []string
	// Wants are for other entries; see Invite.
	Wants []Want
}

// Dispatcher is the state of one entry.
type Dispatcher struct {
	opts   Options
	health *health.Judge

	agents        []*agent // in order of arrival
	byIncarnation map[string]*agent
	touched       []*agent               // since the last call of Ready
	wakes         indexheap.Heap[*agent] // the agents that are not touched
	greeted       map[string]greeting    // links that their agents have not taken, by incarnation
	entries       []string               // addresses of living entries, for agents
	ordered       rate                   // orders
	cursor        int

	number  uint64 // of the last job
	orderNo uint64
	jobs    map[uint64]*job
	byID    map[string]*job      // by queue and id
	ending  map[string]*job      // ended, with runs that have not; by queue and id
	due     indexheap.Heap[*job] // those without an answer, by when they are due
	waits   map[string]*waitlist // by service
	learned map[string]*learned  // by queue
	wants   map[string]*asked    // by service and label
	margins map[string]*margin   // by queue
	// lateYield is what comes of late work.
	lateYield yield
	config    *pb.Configuration
	// evacuations are the failure domains in which nothing may start.
	evacuations evacuation.View
	crashes     crashes

	begunAt time.Time // when the first input came
	// dueAt is when a tick was asked for, and lag how late the process is, as ticks
	// and inputs have shown lately.
	dueAt   time.Time
	readyAt time.Time // of the last call of Ready
	lag     lagMeter
	// lateAt is the agent that last refused an order as late, and lateSince when.
	lateAt    *agent
	lateSince time.Time

	// endsAt is when a process that leaves ends; zero: it stays.
	endsAt time.Time
	over   bool
	ready  Ready
}

// New returns a Dispatcher without agents.
func New(o Options) *Dispatcher {
	o.DomainRoundTrip = cmp.Or(o.DomainRoundTrip, DefaultDomainRoundTrip)
	o.RemoteFactor = cmp.Or(o.RemoteFactor, defaultRemoteFactor)
	o.ReportsPerSecond = cmp.Or(o.ReportsPerSecond, DefaultReportsPerSecond)
	if o.Random == nil {
		o.Random = func() float64 { return 0.5 }
	}
	if o.Decided == nil {
		o.Decided = func(Decision) {}
	}
	return &Dispatcher{
		opts: o, health: health.New(o.Health),
		jobs: make(map[uint64]*job), byID: make(map[string]*job), ending: make(map[string]*job),
		waits: make(map[string]*waitlist), learned: make(map[string]*learned), wants: make(map[string]*asked), margins: make(map[string]*margin), byIncarnation: make(map[string]*agent), greeted: make(map[string]greeting),
	}
}

// SetConfiguration takes in a version of the configuration; an older one than
// that in force is ignored. It reports whether the version is in force now.
func (d *Dispatcher) SetConfiguration(c *pb.Configuration) bool {
	if d.config != nil && c.Version <= d.config.Version {
		return false
	}
	old := d.config.GetVersion()
	d.config = c
	d.opts.Decided(Decision{Event: "configuration", Version: c.Version, Reason: "newer than " + utoa(old)})
	return true
}

// Configuration in force; nil before the first.
func (d *Dispatcher) Configuration() *pb.Configuration { return d.config }

// SetEntries tells the addresses of the living entries. Each agent is told those among
// which it chooses.
func (d *Dispatcher) SetEntries(addresses []string) {
	d.entries = addresses
	for _, a := range d.agents {
		d.setEntriesOf(a)
	}
}

func (d *Dispatcher) setEntriesOf(a *agent) {
	entries := subset.First(a.name, d.entries, subset.Told)
	if !slices.Equal(entries, a.entries) {
		a.entries, a.tellEntries = entries, true
		d.touch(a)
	}
}

// Links is the number of agents with a link.
func (d *Dispatcher) Links() int {
	n := 0
	for _, a := range d.agents {
		if a.session.IsUp() {
			n++
		}
	}
	return n
}

// Waiting counts, per queue, the jobs of which nothing has started and that came so long
// ago or longer.
func (d *Dispatcher) Waiting(now time.Time, since time.Duration) map[string]int {
	out := make(map[string]int)
	for _, j := range d.jobs {
		if !j.ended && !j.started && now.Sub(j.arrived) >= since {
			out[j.queue.Name]++
		}
	}
	return out
}

// Open is the number of jobs without an answer.
func (d *Dispatcher) Open() int { return len(d.jobs) }

// End tells agents that the process ends now.
func (d *Dispatcher) End() {
	d.over = true
	d.touchAll()
}

// Tick takes in the passing of time.
func (d *Dispatcher) Tick(now time.Time) {
	if !d.dueAt.IsZero() && !now.Before(d.dueAt) {
		d.lag.take(now, now.Sub(d.dueAt))
	}
	for d.due.Len() > 0 && !now.Before(d.due.First().dueAt) {
		d.jobDue(now, d.due.First())
	}
	d.tickAgents(now)
}

// Next is when Tick is due; zero: not before the next input.
func (d *Dispatcher) Next() time.Time {
	var next time.Time
	if d.due.Len() > 0 {
		next = d.due.First().dueAt
	}
	next = link.Earlier(next, d.nextUnconfirmed())
	if d.wakes.Len() > 0 {
		next = link.Earlier(next, d.wakes.First().wakeAt)
	}
	// A tick at least this often shows whether the process keeps up.
	if len(d.jobs) > 0 {
		next = link.Earlier(next, d.lag.next())
	}
	d.dueAt = next
	if next.Before(d.readyAt) {
		d.dueAt = d.readyAt
	}
	return next
}

// Ready returns what has to be done since the last call.
func (d *Dispatcher) Ready(now time.Time) Ready {
	d.readyAt = now
	for d.due.Len() > 0 && !now.Before(d.due.First().dueAt) {
		d.jobDue(now, d.due.First())
	}
	d.place(now)
	d.tellEager(now)
	d.flushTouched(now)
	r := d.ready
	d.ready = Ready{}
	return r
}
