// Package event records the decisions of a process with their times in a bounded
// ring. The time line over all processes is assembled from these records.
//
// Recording does not allocate, and writers of different slots don't contend for a
// lock, so it is cheap enough for every decision point. The ring is not a log: it
// keeps only the newest events, and counts those that it has overwritten.
package event

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Event is one decision or state change. Which fields are set depends on Kind. The
// ring retains the strings, so they must not keep larger buffers alive.
type Event struct {
	// Clock is the hybrid logical timestamp; Ring.Record sets it.
	Clock    uint64
	Kind     Kind
	Task     uint32
	Value    uint64
	Job      string
	Contract string
	// Peer is the entry or agent at the other end of the link.
	Peer   string
	Detail string
}

// DefaultSize is the default number of events that a ring holds.
const DefaultSize = 8192

// Options configure a Ring.
type Options struct {
	// Process is the name of the recording process, an entry or an agent.
	Process string
	// Worker is the worker that the process runs beside; empty for entries.
	Worker string
	// Size is the number of events kept, rounded up to a power of two; zero means
	// DefaultSize. An event takes 104 bytes plus the memory that its strings refer to.
	Size int
	// Clock stamps the events. If it is nil, the ring uses a clock of its own.
	Clock *hlc.Clock
}

// Ring keeps the newest events of one process. Its methods are safe for concurrent
// use. A nil Ring discards events.
type Ring struct {
	process string
	worker  string
	clock   *hlc.Clock
	mask    uint64
	slots   []slot
	next    atomic.Uint64
	totals  [kindCount]total
}

// total holds the number of events of a kind since the start and the sum of their
// values.
type total struct{ events, value atomic.Uint64 }

// slot holds one event. Its lock is held only while an event is copied. Writers
// contend for it only if one is a whole ring behind the other.
type slot struct {
	mu sync.Mutex
	// number of the event, counted from 1; zero if the slot was never written.
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

// Record stamps and stores e. It overwrites the oldest event if the ring is full.
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
	// A writer that was paused between obtaining its number and the lock may find a
	// newer event in the slot, which it must not overwrite with its old one.
	if s.number < number {
		s.number = number
		s.event = e
	}
	s.mu.Unlock()
}

// Stamp returns a timestamp for a message to another process, or zero if r is nil.
func (r *Ring) Stamp(now time.Time) uint64 {
	if r == nil {
		return 0
	}
	return r.clock.Now(now)
}

// Observe advances the clock to the timestamp of a message from another process, so
// that events recorded later sort after those that led to the message. It reports
// false for a timestamp that is too far ahead; see hlc.Clock.Observe.
func (r *Ring) Observe(remote uint64, now time.Time) bool {
	return r == nil || r.clock.Observe(remote, now)
}

// Count returns the number of events of kind k recorded since the start, including
// overwritten ones, and the sum of their values.
func (r *Ring) Count(k Kind) (events, value uint64) {
	if r == nil || k >= kindCount {
		return 0, 0
	}
	return r.totals[k].events.Load(), r.totals[k].value.Load()
}

// Overwritten returns the number of events overwritten since the process started.
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

// Worker returns the worker that the recording process runs beside.
func (r *Ring) Worker() string {
	if r == nil {
		return ""
	}
	return r.worker
}

// Filter selects events. Zero fields match all events.
type Filter struct {
	Job      string
	Contract string
	// Worker selects the events whose Peer it is, and all events of the process that
	// runs beside it. An agent's name selects in the same way.
	Worker string
	// From (inclusive) and Until (exclusive) bound the wall time of the events.
	From, Until time.Time
	// Limit is the number of newest matches to return; zero means all.
	Limit int
}

// Snapshot is a copy of the matching events in order of their timestamps.
type Snapshot struct {
	Events []Event
	// Oldest is the timestamp of the oldest event in the ring, matching or not.
	// Earlier events are not available. It is zero if the ring is empty.
	Oldest uint64
	// Overwritten is Ring.Overwritten at the time of the copy.
	Overwritten uint64
	// Limited is set if older matches were omitted because of the filter's limit.
	Limited bool
}

// Snapshot returns a copy of the events that f selects. It blocks a writer at most
// for the time to copy one event.
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

// matcher is a Filter with its times converted to timestamps.
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
