package entry

import (
	"cmp"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/door"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/internal/indexheap"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Options configure an Entry.
type Options struct {
	// Hello names the entry. AgentIncarnation and Epoch are set per link.
	Hello *pb.EntryHello
	// Started is when this process began; home tokens count from it.
	Started time.Time
	Link    link.Options
	// Contract returns the contract in force, nil for none. It is called in
	// the same thread as the input methods.
	Contract func(name string) *pb.Contract
	// AnswerTTL is how long an answer can be fetched after the job's end.
	AnswerTTL time.Duration
	// TokenTTL is how long an id made from a home token may start a job. Ids are
	// remembered at least that long.
	TokenTTL time.Duration
	// TokenPeriod is how long the same token is handed out, at most.
	TokenPeriod time.Duration
	// RevokeWait is how long the answer of a job that was cancelled or is late
	// may wait for the agents' proof that nothing has run.
	RevokeWait time.Duration
	// RecoverWait is how long a recovery waits for agents that can't be reached.
	RecoverWait time.Duration
	// AgentLostAfter is when an agent without a link is given up, and the outcome
	// of what was sent to it is unknown.
	AgentLostAfter time.Duration
	// RedialAfter is the longest time until a second attempt to reach an agent; it
	// doubles with each further one up to RedialMax.
	RedialAfter, RedialMax time.Duration
	// Random gives numbers in [0, 1), for jitter; nil: none.
	Random func() float64
	// NewPicker returns what chooses agents for tasks; nil: late binding by
	// credits, with MessageCost.
	NewPicker func() place.Picker
	// ExchangeAfter is the least time between exchanges that the entry asks for
	// because a part of a contract holds up its work.
	ExchangeAfter time.Duration
	// OverbookAfter is how long tasks wait for a spare slot before one is sent to
	// wait at each agent.
	OverbookAfter time.Duration
	// MessageCost is how much later a task may end to save one message.
	MessageCost time.Duration
	// DomainRoundTrip is the round trip to an agent in another failure domain,
	// beyond the one to an agent in the entry's own.
	DomainRoundTrip time.Duration
	// MaxWaiting bounds the tasks that wait.
	MaxWaiting int
	// MaxJobs bounds the jobs without an answer, and the answers kept.
	MaxJobs int
	// MaxAnswerBytes bounds the results in the answers kept.
	MaxAnswerBytes int
	// Door is for ids that are keys of the callers' own.
	Door door.Options
	// MaxSpent bounds the ids remembered as not to be started again; beyond it
	// the oldest tokens expire early.
	MaxSpent int
	// MaxRecoveries bounds the recoveries held, ended ones included.
	MaxRecoveries int
	// Events takes what happens, for the time line, and stamps messages; nil: none.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultAnswerTTL      = 2 * time.Minute
	DefaultTokenTTL       = 15 * time.Minute
	DefaultRevokeWait     = 50 * time.Millisecond
	DefaultRecoverWait    = 2 * time.Second
	DefaultAgentLostAfter = 10 * time.Second
	DefaultRedialAfter    = 250 * time.Millisecond
	DefaultRedialMax      = 2 * time.Second
	DefaultMaxJobs        = 200_000
	DefaultMaxAnswerBytes = 64 << 20
	DefaultMaxSpent       = 1_000_000
	DefaultMaxRecoveries  = 10_000
	DefaultMaxWaiting     = 100_000
	DefaultExchangeAfter  = 50 * time.Millisecond
	DefaultOverbookAfter  = 5 * time.Millisecond
	DefaultMessageCost    = time.Millisecond
	DefaultSpreadCost     = 2 * time.Millisecond
	DefaultCollisionCost  = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Link = o.Link.WithDefaults()
	o.AnswerTTL = cmp.Or(o.AnswerTTL, DefaultAnswerTTL)
	o.TokenTTL = cmp.Or(o.TokenTTL, DefaultTokenTTL)
	o.TokenPeriod = cmp.Or(o.TokenPeriod, min(job.TokenPeriod, o.TokenTTL/4))
	o.Door.KeyTTL = cmp.Or(o.Door.KeyTTL, o.TokenTTL)
	o.Door = o.Door.WithDefaults()
	o.RevokeWait = cmp.Or(o.RevokeWait, DefaultRevokeWait)
	o.RecoverWait = cmp.Or(o.RecoverWait, DefaultRecoverWait)
	o.AgentLostAfter = cmp.Or(o.AgentLostAfter, DefaultAgentLostAfter)
	o.RedialAfter = cmp.Or(o.RedialAfter, DefaultRedialAfter)
	o.MessageCost = cmp.Or(o.MessageCost, DefaultMessageCost)
	o.ExchangeAfter = cmp.Or(o.ExchangeAfter, DefaultExchangeAfter)
	o.OverbookAfter = cmp.Or(o.OverbookAfter, DefaultOverbookAfter)
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
	o.MaxSpent = cmp.Or(o.MaxSpent, DefaultMaxSpent)
	o.MaxRecoveries = cmp.Or(o.MaxRecoveries, DefaultMaxRecoveries)
	return o
}

// UsePreset fills in what a preset says and the options leave open.
func (o *Options) UsePreset(p preset.Preset) {
	if o.Link == (link.Options{}) {
		o.Link = p.Link
	}
	o.OverbookAfter = cmp.Or(o.OverbookAfter, p.OverbookAfter)
	o.ExchangeAfter = cmp.Or(o.ExchangeAfter, p.ExchangeAfter)
	o.MessageCost = cmp.Or(o.MessageCost, p.MessageCost)
}

// Out is a frame for one agent.
type Out struct {
	Agent string // name
	Epoch uint64
	Frame *pb.EntryFrame
}

// Dial asks for a new link to an agent; the driver reports LinkUp or LinkDown
// with the same epoch. An earlier link to the agent is to be closed.
type Dial struct {
	Agent   string
	Address string
	Hello   *pb.EntryHello
}

// Ended is the answer of a job.
type Ended struct {
	Contract string
	Answer   *pb.Answer
}

// Ready is what the driver must carry out, in any order.
type Ready struct {
	Dials   []Dial
	Frames  []Out
	Answers []Ended
	// Exchange asks for an exchange with the other entries now: this one waits
	// for a part of a contract that they hold.
	Exchange bool
}

// Entry is the state of one entry: its jobs, and its links to agents.
type Entry struct {
	opts Options

	agents []*agent // sorted by name
	byName map[string]*agent
	past   map[string][]string // ended incarnations by name, oldest first
	epoch  uint64              // of the last link asked for

	jobs        map[string]*jobState      // by job.Name
	deadlines   indexheap.Heap[*jobState] // jobs without an answer
	ended       []*jobState               // answered jobs, oldest first
	answerBytes int
	spent       *spent
	door        *door.Door
	policy      *policy
	others      map[string]bool      // incarnations of the other entries
	peers       []*pb.Peer           // the entries that live, as agents were last told
	recoveries  map[string]*recovery // by job.Name
	recovered   []*recovery          // ended ones, oldest first

	leaving bool
	over    bool // End was called
	ready   Ready
}

// New returns an Entry without agents.
func New(opts Options) *Entry {
	opts = opts.withDefaults()
	return &Entry{
		opts:       opts,
		policy:     newPolicy(opts),
		byName:     make(map[string]*agent),
		past:       make(map[string][]string),
		jobs:       make(map[string]*jobState),
		spent:      newSpent(opts.Started, opts),
		door:       door.New(opts.Hello.Incarnation, opts.Door),
		recoveries: make(map[string]*recovery),
	}
}

// Token is the home token to hand to callers now.
func (e *Entry) Token(now time.Time) job.Token {
	return job.Token{Incarnation: e.opts.Hello.Incarnation, Period: e.spent.period(now)}
}

// Leave stops the entry from taking new jobs; those it has go on.
func (e *Entry) Leave(now time.Time) {
	e.leaving = true
	e.record(now, event.DrainBegun, "", "", "no new jobs", e.deadlines.Len())
	for _, a := range e.agents {
		a.dirty = a.session.IsUp()
	}
}

// Links is the number of agents with an open link.
func (e *Entry) Links() int {
	n := 0
	for _, a := range e.agents {
		if a.session.IsUp() {
			n++
		}
	}
	return n
}

// End tells every agent that this process ends now. Call it once drained, and
// give the frames of the following Ready a moment to go out; agents that miss
// them wait for this entry until they take it for gone.
func (e *Entry) End(now time.Time) {
	e.over = true
	for _, a := range e.agents {
		a.dirty = a.session.IsUp()
	}
}

// Drained reports whether every job has its answer.
func (e *Entry) Drained() bool {
	return e.deadlines.Len() == 0 && len(e.recoveries) == len(e.recovered)
}

// Tick takes in the passing of time; call it no later than Next says.
func (e *Entry) Tick(now time.Time) {
	e.expireJobs(now)
	e.expireRecoveries(now)
	for _, a := range e.agents {
		e.tickAgent(now, a)
	}
	e.check(now)
	e.forgetGone(now)
	e.forgetOld(now)
}

// Next is when Tick is due; zero: not before the next input.
func (e *Entry) Next() time.Time {
	var next time.Time
	if e.deadlines.Len() > 0 {
		next = e.deadlines.First().deadline
	}
	next = link.Earlier(next, e.nextCheck())
	for _, r := range e.recoveries {
		next = link.Earlier(next, r.next())
	}
	for _, a := range e.agents {
		next = link.Earlier(next, a.next(&e.opts))
	}
	if len(e.ended) > 0 {
		next = link.Earlier(next, e.ended[0].answered.Add(e.opts.AnswerTTL))
	}
	return next
}

// Ready returns what has to be done since the last call.
func (e *Entry) Ready(now time.Time) Ready {
	// A process that was paused takes in messages before its timer: what is late by
	// now must not be sent to an agent any more.
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
