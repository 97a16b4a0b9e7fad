package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Agent is the state of one endpoint's slots and tasks.
type Agent struct {
	opts Options

	peers []*peer            // in order of arrival, so that runs are repeatable
	jobs  map[string]*record // by job.Name
	// oldest ended jobs first, for eviction
	ended       []*record
	tasks       int // tasks in all records
	resultBytes int

	slots    slots
	queue    []queued // starts that wait for a slot, by class, oldest first
	running  int
	reserved uint64
	loads    map[string]*pb.ContractLoad

	fences     map[string]time.Time
	fenceOrder []string
	// evicted holds the homes with dropped records; unacked those of them that had
	// not acknowledged every result dropped.
	evicted, unacked homeSet

	// dropped counts the records evicted since the last Ready
	dropped int

	leaving bool
	ready   Ready
}

// peer is one entry process.
type peer struct {
	hello   *pb.EntryHello
	session link.Session
	downAt  time.Time // when the last link was lost
	lost    bool      // without a link for PeerLostAfter
	told    bool      // that the agent is leaving, on the link in use
	knows   bool      // that the agent is leaving: it has acknowledged that

	leaving    bool          // as last told, for operators
	out        pb.AgentFrame // content of the next frame
	dirty      bool
	unacked    []sentNews
	loadSentAt time.Time
}

// sentNews is the tasks whose results went out with frame seq.
type sentNews struct {
	seq   uint64
	tasks []*task
}

// record is what the agent knows of one job.
type record struct {
	name     string // job.Name
	contract string
	id       string
	home     string
	digest   uint64
	tasks    map[uint32]*task
	running  int
	open     int // tasks running or not acknowledged
	watchers []string
	listed   bool // in Agent.ended
}

type task struct {
	rec      *record
	index    uint32
	memory   uint64
	units    int            // slots that it takes
	queued   bool           // accepted, and not started yet
	result   *pb.TaskResult // nil while running
	acked    bool
	stopping bool
}

// New returns an Agent without links.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	return &Agent{
		opts:   opts,
		slots:  newSlots(opts),
		jobs:   make(map[string]*record),
		loads:  make(map[string]*pb.ContractLoad),
		fences: make(map[string]time.Time),
	}
}

// Tick takes in the passing of time; call it no later than Next says.
func (a *Agent) Tick(now time.Time) {
	for _, p := range a.peers {
		if !p.session.IsUp() && !p.lost && !now.Before(p.downAt.Add(a.opts.PeerLostAfter)) {
			a.lose(p)
		}
		if p.session.Silent(now) {
			a.recordPeer(now, event.PeerSuspected, p, "the link has gone silent", p.session.Epoch())
			a.ready.Relink = append(a.ready.Relink, p.hello.Incarnation)
			a.drop(now, p)
		} else if p.session.Due(now) {
			p.dirty = true
		}
	}
	a.balance(now)
}

// Next is when Tick is due; zero: not before the next input.
func (a *Agent) Next() time.Time {
	next := a.slots.RecallAt()
	for _, p := range a.peers {
		next = link.Earlier(next, p.session.Next())
		if !p.session.IsUp() && !p.lost {
			next = link.Earlier(next, p.downAt.Add(a.opts.PeerLostAfter))
		}
	}
	return next
}

// Leave stops the agent from taking new work and tells every entry.
func (a *Agent) Leave(now time.Time) {
	a.leaving = true
	a.opts.Events.Record(now, event.Event{Kind: event.DrainBegun, Detail: "no new tasks", Value: uint64(a.running)})
	a.unqueueJob("", job.RefusedLeaving)
	for _, p := range a.peers {
		a.slots.Unlink(p.hello.Incarnation)
		p.dirty = p.session.IsUp()
	}
}

// Drained reports whether nothing is left that an entry waits for. Each entry must
// have acknowledged that this agent is leaving: a start that it sent before is
// still on its way, and ending now would leave its outcome unknown. An entry that
// has only lost its link is waited for too, or its results would be lost.
func (a *Agent) Drained() bool {
	if a.running > 0 {
		return false
	}
	for _, p := range a.peers {
		if !p.lost && !a.parted(p) && !(p.session.IsUp() && p.told && p.session.Settled()) {
			return false
		}
	}
	return true
}

// parted reports whether an entry without a link is owed nothing: it knows that
// the agent leaves, every start that it sent before has arrived, and it has all
// results. Waiting for such an entry to come back would keep a planned stop open
// for as long as an entry that has crashed meanwhile counts as alive.
func (a *Agent) parted(p *peer) bool {
	return !p.session.IsUp() && p.knows && p.session.Settled() && !a.owes(p)
}

// owes reports whether the entry waits for a task or for a result.
func (a *Agent) owes(p *peer) bool {
	for _, rec := range a.jobs {
		if rec.open > 0 && rec.home == p.hello.Incarnation {
			return true
		}
	}
	return false
}

// Size is what an Agent holds in memory.
type Size struct {
	Tasks, ResultBytes, Fences int
	// Held counts the tasks that can't be evicted: they run, or their home has yet
	// to acknowledge the result.
	Held int
}

// Size returns the sizes that Options bound.
func (a *Agent) Size() Size {
	s := Size{Tasks: a.tasks, ResultBytes: a.resultBytes, Fences: len(a.fences)}
	for _, rec := range a.jobs {
		if rec.running > 0 || !a.unwanted(rec) {
			s.Held += len(rec.tasks)
		}
	}
	return s
}

// Ready returns what has to be done since the last call.
func (a *Agent) Ready(now time.Time) Ready {
	for _, p := range a.peers {
		if p.dirty && p.session.IsUp() {
			a.flush(now, p)
		}
	}
	if a.dropped > 0 {
		a.opts.Events.Record(now, event.Event{Kind: event.RecordsEvicted, Value: uint64(a.dropped)})
		a.dropped = 0
	}
	r := a.ready
	a.ready = Ready{}
	return r
}
