// Package event records what a process decided and when, in a bounded ring, as
// the material for the time line over all processes.
//
// Recording allocates nothing and takes no lock that another slot's writer
// holds, so that decision code records at each decision point. The ring keeps
// the newest events; it is a window, not a log, and says how many it dropped.
package event

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Event is one decision or change of state. Which fields are set depends on
// Kind. Strings are kept by reference: pass ones that don't pin larger buffers.
type Event struct {
	// Clock is the hybrid logical timestamp; Ring.Record sets it.
	Clock    uint64
	Kind     Kind
	Task     uint32
	Value    uint64
	Job      string
	Contract string
	// Peer is the entry or agent at the other end.
	Peer   string
	Detail string
}

// DefaultSize is the number of events a ring holds unless told otherwise.
const DefaultSize = 8192

// Options of a Ring.
type Options struct {
	// Process is the name of the recording process, an entry or an agent.
	Process string
	// Worker that the process stands beside; empty for entries.
	Worker string
	// Size is the number of events kept, rounded up to a power of two; zero
	// takes DefaultSize. An event takes 104 bytes, and what its strings pin.
	Size int
	// Clock stamps the events; nil takes a clock of the ring's own.
	Clock *hlc.Clock
}

// Ring keeps the newest events of one process. All methods may be called from
// any goroutine. A nil Ring accepts events and drops them.
type Ring struct {
	process string
	worker  string
	clock   *hlc.Clock
	mask    uint64
	slots   []slot
	next    atomic.Uint64
	totals  [kindCount]total
}

// total counts the events of a kind and sums up their values, since the start.
type total struct{ events, value atomic.Uint64 }

// A slot's lock is held for one copy of an event. Writers meet on it only when
// one is a whole ring behind the other.
type slot struct {
	mu sync.Mutex
	// number of the event from 1; zero: never written.
	number uint64
	event  Event
}

// NewRing returns an empty ring.
func NewRing(o Options) *Ring {
	if o.Size <= 0 {
		o.Size = DefaultSize
	}
	if o.Clock == nil {
		o.Clock = new(hlc.Clock)
	}
	size := uint64(1)
	for size < uint64(o.Size) {
		size *= 2
	}
	return &Ring{
		process: o.Process,
		worker:  o.Worker,
		clock:   o.Clock,
		mask:    size - 1,
		slots:   make([]slot, size),
	}
}

// Record stamps e and keeps it, in place of the oldest event if the ring is full.
func (r *Ring) Record(now time.Time, e Event) {
	if r == nil {
		return
	}
	e.Clock = r.clock.Now(now)
	if e.Kind < kindCount {
		r.totals[e.Kind].events.Add(1)
		if e.Value > 0 {
			r.totals[e.Kind].value.Add(e.Value)
		}
	}
	number := r.next.Add(1)
	s := &r.slots[number&r.mask]
	s.mu.Lock()
	// A writer that was paused between taking its number and the lock may find
	// the slot taken by a newer event; writing would put an old event among
	// new ones and lose the newer one.
	if s.number < number {
		s.number = number
		s.event = e
	}
	s.mu.Unlock()
}

// Stamp returns a timestamp for a message to another process; zero for a nil Ring.
func (r *Ring) Stamp(now time.Time) uint64 {
	if r == nil {
		return 0
	}
	return r.clock.Now(now)
}

// Observe takes over the timestamp of a message from another process, so that
// events recorded later sort after those that led to the message. It reports
// false for a timestamp that is too far ahead; see hlc.Clock.
func (r *Ring) Observe(remote uint64, now time.Time) bool {
	return r == nil || r.clock.Observe(remote, now)
}

// Count returns how many events of kind k were recorded since the start,
// overwritten ones included, and the sum of their values.
func (r *Ring) Count(k Kind) (events, value uint64) {
	if r == nil || k >= kindCount {
		return 0, 0
	}
	return r.totals[k].events.Load(), r.totals[k].value.Load()
}

// Overwritten counts the events dropped since the process started.
func (r *Ring) Overwritten() uint64 {
	if r == nil {
		return 0
	}
	recorded := r.next.Load()
	if size := uint64(len(r.slots)); recorded > size {
		return recorded - size
	}
	return 0
}

// Process returns the name of the recording process.
func (r *Ring) Process() string {
	if r == nil {
		return ""
	}
	return r.process
}

// Worker returns the worker that the recording process stands beside.
func (r *Ring) Worker() string {
	if r == nil {
		return ""
	}
	return r.worker
}

// Filter selects events; zero fields select all.
type Filter struct {
	Job      string
	Contract string
	// Worker selects events whose Peer it is, and all events of the process
	// that stands beside it. An agent's name selects in the same way.
	Worker string
	// From and Until bound the wall time in the timestamps, Until excluded.
	From, Until time.Time
	// Limit keeps the newest matches only; zero keeps all.
	Limit int
}

// Snapshot is a copy of the matching events in order of their timestamps.
type Snapshot struct {
	Events []Event
	// Oldest is the timestamp of the oldest event in the ring, matching or not:
	// nothing is known of the time before. Zero: the ring is empty.
	Oldest uint64
	// Overwritten is Ring.Overwritten at the time of the copy.
	Overwritten uint64
	// Limited is set if the filter's limit left out older matches.
	Limited bool
}

// Snapshot copies the events that f selects. Writers wait for it at most one
// event's copy each.
func (r *Ring) Snapshot(f Filter) Snapshot {
	if r == nil {
		return Snapshot{}
	}
	m := newMatcher(r, f)
	result := Snapshot{Overwritten: r.Overwritten()}
	for i := range r.slots {
		s := &r.slots[i]
		s.mu.Lock()
		number, e := s.number, s.event
		s.mu.Unlock()
		if number == 0 {
			continue
		}
		if result.Oldest == 0 || e.Clock < result.Oldest {
			result.Oldest = e.Clock
		}
		if m.matches(e) {
			result.Events = append(result.Events, e)
		}
	}
	slices.SortFunc(result.Events, func(a, b Event) int { return cmp.Compare(a.Clock, b.Clock) })
	if f.Limit > 0 && len(result.Events) > f.Limit {
		result.Events = result.Events[len(result.Events)-f.Limit:]
		result.Limited = true
	}
	return result
}

// matcher is a filter with its times as timestamps.
type matcher struct {
	job, contract, peer string
	from, until         uint64
}

func newMatcher(r *Ring, f Filter) matcher {
	m := matcher{job: f.Job, contract: f.Contract, peer: f.Worker}
	if f.Worker == r.process || f.Worker == r.worker {
		m.peer = ""
	}
	if !f.From.IsZero() {
		m.from = hlc.Pack(f.From, 0)
	}
	if !f.Until.IsZero() {
		m.until = hlc.Pack(f.Until, 0)
	}
	return m
}

func (m matcher) matches(e Event) bool {
	return (m.job == "" || m.job == e.Job) &&
		(m.contract == "" || m.contract == e.Contract) &&
		(m.peer == "" || m.peer == e.Peer) &&
		e.Clock >= m.from &&
		(m.until == 0 || e.Clock < m.until)
}
