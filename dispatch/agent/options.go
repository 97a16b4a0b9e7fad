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
	// Hello identifies the agent and states the size of its worker.
	Hello *pb.AgentHello
	Link  link.Options
	// MaxRecords bounds the recorded tasks, including running ones.
	MaxRecords int
	// MaxResultBytes bounds the total size of the recorded results.
	MaxResultBytes int
	// FenceTTL is how long a fence stays in force. It must exceed the duration of
	// any job.
	FenceTTL time.Duration
	// MaxFences bounds the fences in force at once.
	MaxFences int
	// PeerLostAfter is the time without a link after which an entry is presumed
	// dead: a drain no longer waits for it, and its results may be evicted. It
	// should exceed the entries' AgentLostAfter.
	PeerLostAfter time.Duration
	// RecallDelay is how long credits of an entry must be unused before they are
	// recalled for another entry that waits.
	RecallDelay time.Duration
	// Divided assigns each slot to one entry at a time, by credits that move between
	// entries, instead of offering all slots to every entry.
	Divided bool
	// MaxQueued bounds the units of each entry that wait for a slot, unless it is
	// negative or Divided is set.
	MaxQueued int
	// LoadInterval is the minimum time between load reports on one link.
	LoadInterval time.Duration
	// Events records events for the time line and stamps messages. It may be nil.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultMaxRecords     = 20_000
	DefaultMaxResultBytes = 64 << 20
	DefaultFenceTTL       = 30 * time.Minute
	DefaultMaxFences      = 50_000
	DefaultPeerLostAfter  = 15 * time.Second
	DefaultLoadInterval   = time.Second
	DefaultMaxQueued      = 1
	// maxEvictedHomes bounds each set of the homes of evicted records.
	maxEvictedHomes    = 4096
	DefaultRecallDelay = 10 * time.Millisecond
)

// ApplyPreset sets options that are unset to the values of a preset.
func (o *Options) ApplyPreset(p preset.Preset) {
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
	o.RecallDelay = cmp.Or(o.RecallDelay, DefaultRecallDelay)
	o.LoadInterval = cmp.Or(o.LoadInterval, DefaultLoadInterval)
	return o
}

// TaskRef identifies one task.
type TaskRef struct {
	Contract string
	Job      string // job ID without the contract
	Task     uint32
}

// Run is a task to start at the endpoint.
type Run struct {
	TaskRef
	Kind     string
	Payload  []byte
	Deadline time.Time
}

// OutgoingFrame is a frame for one entry.
type OutgoingFrame struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.AgentFrame
}

// Ready is what the driver must carry out, in any order.
type Ready struct {
	Frames []OutgoingFrame
	Run    []Run
	Stop   []TaskRef
	// Reconnect lists the entries (incarnations) whose link has timed out and must be
	// replaced.
	Reconnect []string
}
