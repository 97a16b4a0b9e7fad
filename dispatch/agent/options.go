package agent

import (
	"cmp"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Options configure an Agent.
type Options struct {
	// Hello names the agent and its worker's size.
	Hello *pb.AgentHello
	Link  link.Options
	// MaxRecords bounds the tasks the agent remembers, running ones included.
	MaxRecords int
	// MaxResultBytes bounds the results it keeps.
	MaxResultBytes int
	// FenceTTL is how long a fence holds; longer than any job may last.
	FenceTTL time.Duration
	// MaxFences bounds the fences held at once.
	MaxFences int
	// PeerLostAfter is when an entry without a link is taken for gone: a drain no
	// longer waits for it, and its results may be evicted. It should exceed the
	// entries' AgentLostAfter.
	PeerLostAfter time.Duration
	// Damping is how long an entry's credits must lie unused before they are
	// recalled for another that waits.
	Damping time.Duration
	// Divided gives each slot to one entry at a time, by credits that move between
	// entries, instead of offering all slots to every entry.
	Divided bool
	// MaxQueued, if it is not negative, bounds the units of each entry that wait for a slot unless Divided is set.
	MaxQueued int
	// LoadEvery is the least time between load reports on one link.
	LoadEvery time.Duration
	// Events takes what happens, for the time line, and stamps messages; nil: none.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultMaxRecords     = 20_000
	DefaultMaxResultBytes = 64 << 20
	DefaultFenceTTL       = 30 * time.Minute
	DefaultMaxFences      = 50_000
	DefaultPeerLostAfter  = 15 * time.Second
	DefaultLoadEvery      = time.Second
	DefaultMaxQueued      = 1
	// maxHomes bounds the homes remembered for evicted records.
	maxHomes       = 4096
	DefaultDamping = 10 * time.Millisecond
)

// UsePreset fills in what a preset says and the options leave open.
func (o *Options) UsePreset(p preset.Preset) {
	if o.Link == (link.Options{}) {
		o.Link = p.Link
	}
	o.MaxQueued = cmp.Or(o.MaxQueued, p.MaxQueued)
}

func (o Options) withDefaults() Options {
	o.Link = o.Link.WithDefaults()
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	o.MaxResultBytes = cmp.Or(o.MaxResultBytes, DefaultMaxResultBytes)
	o.FenceTTL = cmp.Or(o.FenceTTL, DefaultFenceTTL)
	o.MaxFences = cmp.Or(o.MaxFences, DefaultMaxFences)
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.PeerLostAfter = cmp.Or(o.PeerLostAfter, DefaultPeerLostAfter)
	o.Damping = cmp.Or(o.Damping, DefaultDamping)
	o.LoadEvery = cmp.Or(o.LoadEvery, DefaultLoadEvery)
	return o
}

// TaskRef names one task.
type TaskRef struct {
	Contract string
	Job      string // the id without the contract
	Task     uint32
}

// Run is a task to start at the endpoint.
type Run struct {
	TaskRef
	Kind     string
	Payload  []byte
	Deadline time.Time
}

// Out is a frame for one entry.
type Out struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.AgentFrame
}

// Ready is what the driver must carry out, in any order.
type Ready struct {
	Frames []Out
	Run    []Run
	Stop   []TaskRef
	// Relink lists the entries (incarnations) whose link has gone silent.
	Relink []string
}
