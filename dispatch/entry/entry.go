package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
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
	// AgentLostAfter is when an agent without a link is given up, and the outcome
	// of what was sent to it is unknown.
	AgentLostAfter time.Duration
	// RedialAfter is the least time between two attempts to reach an agent.
	RedialAfter time.Duration
	// CreditDelay is how long credits returned and wanted wait for a frame to
	// ride on.
	CreditDelay time.Duration
	// NewPicker returns what chooses agents for tasks; nil: late binding by
	// credits, with MessageCost.
	NewPicker func() place.Picker
	// MessageCost is how much later a task may end to save one message.
	MessageCost time.Duration
	// DomainRoundTrip is the round trip to an agent in another failure domain,
	// beyond the one to an agent in the entry's own.
	DomainRoundTrip time.Duration
	// MaxWaiting bounds the tasks that wait.
	MaxWaiting int
	// MaxJobs bounds the jobs held, ended ones included.
	MaxJobs int
	// Events takes what happens, for the time line, and stamps messages; nil: none.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultAnswerTTL      = 2 * time.Minute
	DefaultTokenTTL       = 15 * time.Minute
	DefaultAgentLostAfter = 10 * time.Second
	DefaultRedialAfter    = 250 * time.Millisecond
	DefaultMaxJobs        = 200_000
	DefaultMaxWaiting     = 100_000
	DefaultMessageCost    = time.Millisecond
	DefaultSpreadCost     = 2 * time.Millisecond
	DefaultCollisionCost  = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Link = o.Link.WithDefaults()
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&o.AnswerTTL, DefaultAnswerTTL)
	set(&o.TokenTTL, DefaultTokenTTL)
	set(&o.AgentLostAfter, DefaultAgentLostAfter)
	set(&o.RedialAfter, DefaultRedialAfter)
	set(&o.MessageCost, DefaultMessageCost)
	if o.NewPicker == nil {
		o.NewPicker = func() place.Picker {
			return &place.Credits{MessageCost: o.MessageCost, SpreadCost: DefaultSpreadCost, CollisionCost: DefaultCollisionCost}
		}
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.MaxJobs == 0 {
		o.MaxJobs = DefaultMaxJobs
	}
	return o
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

// Ready is what the driver must carry out, in any order.
type Ready struct {
	Dials   []Dial
	Frames  []Out
	Answers []*pb.Answer
}

// Entry is the state of one entry: its jobs, and its links to agents.
type Entry struct {
	opts Options

	agents []*agent // sorted by name
	byName map[string]*agent

	jobs       map[string]*jobState
	deadlines  deadlineHeap
	ended      []*jobState // answered jobs, oldest first
	policy     *policy
	others     map[string]bool // incarnations of the other entries
	recoveries map[string]*recovery

	leaving bool
	ready   Ready
}

// New returns an Entry without agents.
func New(opts Options) *Entry {
	opts = opts.withDefaults()
	return &Entry{
		opts:       opts,
		policy:     newPolicy(opts),
		byName:     make(map[string]*agent),
		jobs:       make(map[string]*jobState),
		recoveries: make(map[string]*recovery),
	}
}

// Token is the home token to hand to callers now.
func (e *Entry) Token(now time.Time) job.Token {
	return job.TokenAt(e.opts.Hello.Incarnation, now.Sub(e.opts.Started))
}

// Leave stops the entry from taking new jobs; those it has go on.
func (e *Entry) Leave(now time.Time) {
	e.leaving = true
	e.record(now, event.DrainBegun, "", "", "no new jobs", len(e.deadlines))
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

// Drained reports whether every job has its answer.
func (e *Entry) Drained() bool {
	return len(e.deadlines) == 0 && len(e.recoveries) == 0
}

// Tick takes in the passing of time; call it no later than Next says.
func (e *Entry) Tick(now time.Time) {
	for len(e.deadlines) > 0 && !now.Before(e.deadlines[0].deadline) {
		e.expire(now, e.deadlines[0])
	}
	e.expireRecoveries(now)
	for _, a := range e.agents {
		e.tickAgent(now, a)
	}
	e.check(now)
	e.forgetOld(now)
}

// Next is when Tick is due; zero: not before the next input.
func (e *Entry) Next() time.Time {
	var next time.Time
	if len(e.deadlines) > 0 {
		next = e.deadlines[0].deadline
	}
	next = link.Earlier(next, e.nextCheck())
	for _, r := range e.recoveries {
		next = link.Earlier(next, r.deadline)
	}
	for _, a := range e.agents {
		next = link.Earlier(next, a.next(e.opts))
	}
	if len(e.ended) > 0 {
		next = link.Earlier(next, e.forgetAt(e.ended[0]))
	}
	return next
}

// Ready returns what has to be done since the last call.
func (e *Entry) Ready(now time.Time) Ready {
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
