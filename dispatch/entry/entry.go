package entry

import (
	"cmp"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/keyhome"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Options configure an Entry.
type Options struct {
	// Hello identifies the entry. AgentIncarnation and Epoch are set per link.
	Hello *pb.EntryHello
	// Started is the start time of this process. Periods of home tokens count from it.
	Started time.Time
	Link    link.Options
	// Contract returns the contract in force, or nil if there is none. It is called
	// on the goroutine that calls the input methods.
	Contract func(name string) *pb.Contract
	// AnswerTTL is how long an answer can be fetched after the job has ended.
	AnswerTTL time.Duration
	// TokenTTL is how long an id made from a home token may start a job. Retired ids
	// are remembered at least that long.
	TokenTTL time.Duration
	// TokenPeriod is the longest time for which the same token is handed out.
	TokenPeriod time.Duration
	// RevokeWait is how long the answer of a job that was cancelled or has expired
	// may wait for the agents to confirm that nothing has run.
	RevokeWait time.Duration
	// RecoverWait is how long a recovery waits for unreachable agents.
	RecoverWait time.Duration
	// AgentLostAfter is how long an agent may be without a link before it is
	// abandoned. The outcome of the tasks sent to it is then unknown.
	AgentLostAfter time.Duration
	// RedialAfter bounds the delay before the second attempt to reach an agent. The
	// bound doubles with each further attempt, up to RedialMax.
	RedialAfter, RedialMax time.Duration
	// Random returns numbers in [0, 1) for jitter. Nil disables jitter.
	Random func() float64
	// NewPicker returns the strategy that chooses agents for tasks. Nil selects late
	// binding by credits, with MessageCost.
	NewPicker func() place.Picker
	// MinExchangeInterval is the least time between exchanges that the entry requests
	// because its share of a contract limits its work.
	MinExchangeInterval time.Duration
	// OverbookDelay is how long tasks wait for a spare slot before one is sent to
	// each agent to queue there.
	OverbookDelay time.Duration
	// MessageCost is how much later a task may end if that saves one message.
	MessageCost time.Duration
	// DomainRoundTrip is the additional round-trip time to an agent in another
	// failure domain, compared with one in the entry's own.
	DomainRoundTrip time.Duration
	// MaxWaiting bounds the number of waiting tasks.
	MaxWaiting int
	// MaxJobs bounds the number of jobs without an answer, and that of answers kept.
	MaxJobs int
	// MaxAnswerBytes bounds the total size of the results in the answers kept.
	MaxAnswerBytes int
	// KeyResolver configures how the homes of caller-made keys are resolved.
	KeyResolver keyhome.Options
	// MaxRetiredIDs bounds the ids remembered as not to be started again. Beyond it
	// the oldest tokens expire early.
	MaxRetiredIDs int
	// MaxRecoveries bounds the recoveries kept, including ended ones.
	MaxRecoveries int
	// Events records events for the time line and stamps messages. Nil disables both.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultAnswerTTL           = 2 * time.Minute
	DefaultTokenTTL            = 15 * time.Minute
	DefaultRevokeWait          = 50 * time.Millisecond
	DefaultRecoverWait         = 2 * time.Second
	DefaultAgentLostAfter      = 10 * time.Second
	DefaultRedialAfter         = 250 * time.Millisecond
	DefaultRedialMax           = 2 * time.Second
	DefaultMaxJobs             = 200_000
	DefaultMaxAnswerBytes      = 64 << 20
	DefaultMaxRetiredIDs       = 1_000_000
	DefaultMaxRecoveries       = 10_000
	DefaultMaxWaiting          = 100_000
	DefaultMinExchangeInterval = 50 * time.Millisecond
	DefaultOverbookDelay       = 5 * time.Millisecond
	DefaultMessageCost         = time.Millisecond
	DefaultSpreadCost          = 2 * time.Millisecond
	DefaultCollisionCost       = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Link = o.Link.WithDefaults()
	o.AnswerTTL = cmp.Or(o.AnswerTTL, DefaultAnswerTTL)
	o.TokenTTL = cmp.Or(o.TokenTTL, DefaultTokenTTL)
	o.TokenPeriod = cmp.Or(o.TokenPeriod, min(job.TokenPeriod, o.TokenTTL/4))
	o.KeyResolver.KeyTTL = cmp.Or(o.KeyResolver.KeyTTL, o.TokenTTL)
	o.KeyResolver = o.KeyResolver.WithDefaults()
	o.RevokeWait = cmp.Or(o.RevokeWait, DefaultRevokeWait)
	o.RecoverWait = cmp.Or(o.RecoverWait, DefaultRecoverWait)
	o.AgentLostAfter = cmp.Or(o.AgentLostAfter, DefaultAgentLostAfter)
	o.RedialAfter = cmp.Or(o.RedialAfter, DefaultRedialAfter)
	o.MessageCost = cmp.Or(o.MessageCost, DefaultMessageCost)
	o.MinExchangeInterval = cmp.Or(o.MinExchangeInterval, DefaultMinExchangeInterval)
	o.OverbookDelay = cmp.Or(o.OverbookDelay, DefaultOverbookDelay)
	o.RedialMax = cmp.Or(o.RedialMax, DefaultRedialMax)
	if o.Random == nil {
		o.Random = func() float64 { return 1 }
	}
	if o.NewPicker == nil {
		o.NewPicker = func() place.Picker {
			return &place.Credits{MessageCost: o.MessageCost, SpreadCost: DefaultSpreadCost, CollisionCost: DefaultCollisionCost}
		}
	}
	o.MaxWaiting = cmp.Or(o.MaxWaiting, DefaultMaxWaiting)
	o.MaxJobs = cmp.Or(o.MaxJobs, DefaultMaxJobs)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.MaxRetiredIDs = cmp.Or(o.MaxRetiredIDs, DefaultMaxRetiredIDs)
	o.MaxRecoveries = cmp.Or(o.MaxRecoveries, DefaultMaxRecoveries)
	return o
}

// ApplyPreset sets the zero fields of o that the preset has a value for.
func (o *Options) ApplyPreset(p preset.Preset) {
	if o.Link == (link.Options{}) {
		o.Link = p.Link
	}
	o.OverbookDelay = cmp.Or(o.OverbookDelay, p.OverbookDelay)
	o.MinExchangeInterval = cmp.Or(o.MinExchangeInterval, p.MinExchangeInterval)
	o.MessageCost = cmp.Or(o.MessageCost, p.MessageCost)
}

// OutgoingFrame is a frame for one agent.
type OutgoingFrame struct {
	Agent string // name
	Epoch uint64
	Frame *pb.EntryFrame
}

// Dial requests a new link to an agent. The driver closes any earlier link to the
// agent and reports LinkUp or LinkDown with the same epoch.
type Dial struct {
	Agent   string
	Address string
	Hello   *pb.EntryHello
}

// JobAnswer is the final answer of a job.
type JobAnswer struct {
	Contract string
	Answer   *pb.Answer
}

// Ready holds the actions that the driver must carry out, in any order.
type Ready struct {
	Dials   []Dial
	Frames  []OutgoingFrame
	Answers []JobAnswer
	// Exchange requests an immediate exchange with the other entries: this one
	// waits for a share of a contract that they hold.
	Exchange bool
}

// Entry is the state of one entry: its jobs, and its links to agents.
type Entry struct {
	opts Options

	agents           []*agent // sorted by name
	byName           map[string]*agent
	pastIncarnations map[string][]string // ended incarnations by agent name, oldest first
	lastEpoch        uint64              // of the last link requested

	jobs            map[string]*jobState      // by job.Name
	deadlines       indexheap.Heap[*jobState] // jobs without an answer
	answeredJobs    []*jobState               // answered jobs, oldest first
	answerBytes     int
	retired         *retiredIDs
	keyResolver     *keyhome.Resolver
	policy          *policy
	otherEntries    map[string]bool      // incarnations of the other entries
	peers           []*pb.Peer           // live entries, as last sent to the agents
	recoveries      map[string]*recovery // by job.Name
	endedRecoveries []*recovery          // ended ones, oldest first

	leaving bool
	exiting bool // set by NotifyExit
	ready   Ready
}

// New returns an Entry without agents.
func New(opts Options) *Entry {
	opts = opts.withDefaults()
	return &Entry{
		opts:             opts,
		policy:           newPolicy(opts),
		byName:           make(map[string]*agent),
		pastIncarnations: make(map[string][]string),
		jobs:             make(map[string]*jobState),
		retired:          newRetiredIDs(opts.Started, opts),
		keyResolver:      keyhome.New(opts.Hello.Incarnation, opts.KeyResolver),
		recoveries:       make(map[string]*recovery),
	}
}

// Token returns the home token to hand out to callers at the given time.
func (e *Entry) Token(now time.Time) job.Token {
	return job.Token{Incarnation: e.opts.Hello.Incarnation, Period: e.retired.period(now)}
}

// Leave makes the entry refuse new jobs. Accepted jobs continue.
func (e *Entry) Leave(now time.Time) {
	e.leaving = true
	e.record(now, event.DrainBegun, "", "", "no new jobs", e.deadlines.Len())
	for _, a := range e.agents {
		a.dirty = a.session.IsUp()
	}
}

// Links returns the number of agents with an open link.
func (e *Entry) Links() int {
	n := 0
	for _, a := range e.agents {
		if a.session.IsUp() {
			n++
		}
	}
	return n
}

// NotifyExit notifies every agent that this process is about to exit. Call it once
// drained, and allow the frames of the following Ready time to be sent: agents that
// miss them wait for this entry until they time it out.
func (e *Entry) NotifyExit(now time.Time) {
	e.exiting = true
	for _, a := range e.agents {
		a.dirty = a.session.IsUp()
	}
}

// Drained reports whether every job has its answer.
func (e *Entry) Drained() bool {
	return e.deadlines.Len() == 0 && len(e.recoveries) == len(e.endedRecoveries)
}

// Tick handles timeouts. Call it no later than the time that Next returns.
func (e *Entry) Tick(now time.Time) {
	e.expireJobs(now)
	e.expireRecoveries(now)
	for _, a := range e.agents {
		e.tickAgent(now, a)
	}
	e.recheck(now)
	e.forgetAbandoned(now)
	e.dropAnswers(now)
}

// Next returns when Tick is due, or zero if not before the next input.
func (e *Entry) Next() time.Time {
	var next time.Time
	if e.deadlines.Len() > 0 {
		next = e.deadlines.First().deadline
	}
	next = link.Earlier(next, e.nextRecheck())
	for _, r := range e.recoveries {
		next = link.Earlier(next, r.next())
	}
	for _, a := range e.agents {
		next = link.Earlier(next, a.next(&e.opts))
	}
	if len(e.answeredJobs) > 0 {
		next = link.Earlier(next, e.answeredJobs[0].answeredAt.Add(e.opts.AnswerTTL))
	}
	return next
}

// Ready returns the actions that have accumulated since the last call.
func (e *Entry) Ready(now time.Time) Ready {
	// A process that was paused may handle messages before its timer fires. Jobs that
	// have expired by now must not be sent to an agent any more.
	e.expireJobs(now)
	e.place(now)
	for _, a := range e.agents {
		if a.dirty && a.session.IsUp() {
			e.flush(now, a)
		}
	}
	r := e.ready
	e.ready = Ready{}
	e.recordAnswers(now, r.Answers)
	return r
}
