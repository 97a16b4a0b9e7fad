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

	peers []*peer            // by arrival, so that the order is deterministic
	jobs  map[string]*record // by job.Name
	// evictionQueue holds ended jobs that no entry waits for, oldest first.
	evictionQueue []*record
	tasks         int // tasks in all records
	resultBytes   int

	slots          slotAllocator
	queue          []queuedTask // starts that wait for a slot, by class, oldest first
	running        int
	reservedMemory uint64 // bytes of memory of the running tasks
	contractLoads  map[string]*pb.ContractLoad

	fences     map[string]time.Time // expiry by job.Name
	fenceOrder []string             // by expiry
	// evictedHomes holds the homes of evicted records, and unackedHomes those of
	// them that had not acknowledged all of the evicted results.
	evictedHomes, unackedHomes homeSet

	// evictions counts the records evicted since the last call of Ready.
	evictions int

	leaving bool
	ready   Ready
}

// peer is one entry process.
type peer struct {
	hello        *pb.EntryHello
	session      link.Session
	downAt       time.Time // when the last link was lost
	lost         bool      // without a link for PeerLostAfter, or ended
	leavingSent  bool      // notified on the link in use that the agent is leaving
	leavingAcked bool      // has acknowledged that the agent is leaving

	leaving    bool          // last reported by the entry; for operators only
	pending    pb.AgentFrame // content of the next frame
	dirty      bool          // a frame is to be sent
	unacked    []sentResults
	loadSentAt time.Time
}

// sentResults holds the tasks whose results were sent in frame seq.
type sentResults struct {
	seq   uint64
	tasks []*task
}

// record is the agent's state of one job.
type record struct {
	name           string // job.Name
	contract       string
	id             string
	home           string
	digest         uint64
	tasks          map[uint32]*task
	active         int      // tasks without a result, including queued ones
	open           int      // tasks that run or whose result is not acknowledged
	watchers       []string // other entries that get the results
	evictionQueued bool     // in Agent.evictionQueue
}

type task struct {
	rec      *record
	index    uint32
	memory   uint64
	units    int            // slots that the task takes
	queued   bool           // accepted but not started
	result   *pb.TaskResult // nil while queued or running
	acked    bool
	stopping bool
}

// New returns an Agent without links.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	return &Agent{
		opts:          opts,
		slots:         newSlotAllocator(opts),
		jobs:          make(map[string]*record),
		contractLoads: make(map[string]*pb.ContractLoad),
		fences:        make(map[string]time.Time),
	}
}

// Tick handles timeouts. Call it no later than the time that Next returns.
func (a *Agent) Tick(now time.Time) {
	for _, p := range a.peers {
		if !p.session.IsUp() && !p.lost && !now.Before(p.downAt.Add(a.opts.PeerLostAfter)) {
			a.markLost(p)
		}
		if p.session.TimedOut(now) {
			a.recordPeer(now, event.PeerSuspected, p, "the link has gone silent", p.session.Epoch())
			a.ready.Reconnect = append(a.ready.Reconnect, p.hello.Incarnation)
			a.disconnect(now, p)
		} else if p.session.Due(now) {
			p.dirty = true
		}
	}
	a.balance(now)
}

// Next returns the time of the next call of Tick, or zero if none is needed before
// the next input.
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

// Leave makes the agent refuse new tasks and notifies every entry.
func (a *Agent) Leave(now time.Time) {
	a.leaving = true
	a.opts.Events.Record(now, event.Event{Kind: event.DrainBegun, Detail: "no new tasks", Value: uint64(a.running)})
	a.refuseQueuedJob("", job.RefusedLeaving)
	for _, p := range a.peers {
		a.slots.Unlink(p.hello.Incarnation)
		p.dirty = p.session.IsUp()
	}
}

// Drained reports whether no entry waits for anything from this agent. Each entry
// must have acknowledged that the agent is leaving: until then one of its starts
// may be in flight, and if the process ended now, the outcome of the task would be
// unknown. Drained also waits for entries that have lost their link but are not
// presumed dead, since their results would be lost.
func (a *Agent) Drained() bool {
	if a.running > 0 {
		return false
	}
	for _, p := range a.peers {
		if !p.lost && !a.cleanlyDisconnected(p) && !(p.session.IsUp() && p.leavingSent && p.session.AllAcked()) {
			return false
		}
	}
	return true
}

// cleanlyDisconnected reports whether a disconnected entry needs nothing more from
// the agent: it has acknowledged that the agent is leaving, all starts that it sent
// before have arrived, and it has all results. If such an entry has crashed, waiting
// for it would delay a planned stop for as long as it counts as alive.
func (a *Agent) cleanlyDisconnected(p *peer) bool {
	return !p.session.IsUp() && p.leavingAcked && p.session.AllAcked() && !a.hasOpenTasks(p)
}

// hasOpenTasks reports whether tasks of the entry run here or have a result that
// the entry has not acknowledged.
func (a *Agent) hasOpenTasks(p *peer) bool {
	for _, rec := range a.jobs {
		if rec.open > 0 && rec.home == p.hello.Incarnation {
			return true
		}
	}
	return false
}

// Size holds the sizes of the state that an Agent keeps in memory.
type Size struct {
	Tasks, ResultBytes, Fences int
	// Held counts the tasks of jobs that can't be evicted, since a task runs or the
	// home has not acknowledged every result.
	Held int
}

// Size returns the sizes that Options bounds.
func (a *Agent) Size() Size {
	size := Size{Tasks: a.tasks, ResultBytes: a.resultBytes, Fences: len(a.fences)}
	for _, rec := range a.jobs {
		if rec.active > 0 || !a.evictable(rec) {
			size.Held += len(rec.tasks)
		}
	}
	return size
}

// Ready returns the work for the driver that has accumulated since the last call.
func (a *Agent) Ready(now time.Time) Ready {
	for _, p := range a.peers {
		if p.dirty && p.session.IsUp() {
			a.flush(now, p)
		}
	}
	if a.evictions > 0 {
		a.opts.Events.Record(now, event.Event{Kind: event.RecordsEvicted, Value: uint64(a.evictions)})
		a.evictions = 0
	}
	r := a.ready
	a.ready = Ready{}
	return r
}
