package limit

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is what becomes of a start at an agent.
type Verdict uint8

const (
	// Refuse: the task must not start.
	Refuse Verdict = iota
	// Run: the task starts now.
	Run
	// Queue: the task starts when a slot is free.
	Queue
)

// SharedOptions tunes shared slots.
type SharedOptions struct {
	// Slots of the endpoint.
	Slots int
	// MaxQueued bounds the units of each entry that wait for a slot; one task of
	// more units may wait alone. Not positive: nothing waits.
	MaxQueued int
}

// Shared offers every slot of one endpoint to each entry linked to it: no credit
// ever has to move between entries. Entries choose agents by the spare slots that
// each frame tells them. When two choose the same slot at once, one task waits at
// the agent for a moment. At overload each entry keeps a task or so waiting at each
// agent, so that a slot goes to the most urgent of all entries' tasks and not to the
// entry that had it before. Use [NewShared].
type Shared struct {
	options SharedOptions
	running int
	queued  int
	entries map[string]*sharer
	order   []*sharer
}

// sharer is one entry's side.
type sharer struct {
	entry   string
	granted int
	// using are units running or queued, queued those of them that wait.
	using  int
	queued int
}

// NewShared returns shared slots that are all free.
func NewShared(options SharedOptions) *Shared {
	return &Shared{options: options, entries: make(map[string]*sharer)}
}

// Link adds an entry, or begins anew with one whose link was replaced.
func (s *Shared) Link(entry string, _ time.Time) {
	h := s.entries[entry]
	if h == nil {
		h = &sharer{entry: entry}
		s.entries[entry] = h
		pos, _ := slices.BinarySearchFunc(s.order, entry, func(o *sharer, e string) int { return cmp.Compare(o.entry, e) })
		s.order = slices.Insert(s.order, pos, h)
	}
	h.granted = 0
}

// Unlink takes an entry's credits back. Its running and queued tasks go on.
func (s *Shared) Unlink(entry string) {
	h := s.entries[entry]
	if h == nil {
		return
	}
	delete(s.entries, entry)
	s.order = slices.DeleteFunc(s.order, func(o *sharer) bool { return o == h })
}

// SetWant does nothing: nobody holds what another wants.
func (s *Shared) SetWant(string, int) {}

// Returned takes back credits that an entry gave up.
func (s *Shared) Returned(entry string, n int) { s.Unused(entry, n) }

// Unused takes back the credits of a start that used none: it was refused, or a
// repetition.
func (s *Shared) Unused(entry string, units int) {
	if h := s.entries[entry]; h != nil {
		h.granted = max(h.granted-units, 0)
	}
}

// Start says what becomes of an entry's start.
func (s *Shared) Start(entry string, units int) Verdict {
	h := s.entries[entry]
	if h == nil || units > s.options.Slots {
		return Refuse
	}
	verdict := Refuse
	switch {
	case s.queued == 0 && s.running+units <= s.options.Slots:
		verdict = Run
		s.running += units
	case s.options.MaxQueued > 0 && (h.queued == 0 || h.queued+units <= s.options.MaxQueued):
		verdict = Queue
		s.queued += units
		h.queued += units
	default:
		return Refuse
	}
	h.granted = max(h.granted-units, 0)
	h.using += units
	return verdict
}

// Dequeue moves units from the queue to the running ones, and returns false if
// there is no room for them.
func (s *Shared) Dequeue(entry string, units int) bool {
	if s.running+units > s.options.Slots {
		return false
	}
	s.unqueue(entry, units)
	s.running += units
	return true
}

// Cancel drops units from the queue. Entry may be gone.
func (s *Shared) Cancel(entry string, units int) {
	s.unqueue(entry, units)
	s.unuse(entry, units)
}

func (s *Shared) unqueue(entry string, units int) {
	s.queued -= units
	if h := s.entries[entry]; h != nil {
		h.queued = max(h.queued-units, 0)
	}
}

// Queued returns the units of an entry that wait.
func (s *Shared) Queued(entry string) int {
	if h := s.entries[entry]; h != nil {
		return h.queued
	}
	return 0
}

// End frees the slots of a task that ended. Entry may be gone.
func (s *Shared) End(entry string, units int) {
	s.running -= units
	s.unuse(entry, units)
}

func (s *Shared) unuse(entry string, units int) {
	if h := s.entries[entry]; h != nil {
		h.using = max(h.using-units, 0)
	}
}

// Sticky gives an entry its credits back, to ride on the news of what used them.
func (s *Shared) Sticky(entry string, units int) int {
	h := s.entries[entry]
	if h == nil {
		return 0
	}
	n := max(min(units, s.options.Slots-h.granted-h.using), 0)
	h.granted += n
	return n
}

// Balance tops up each entry's credits to all slots.
func (s *Shared) Balance(_ time.Time, changes []Grant) []Grant {
	for _, h := range s.order {
		if n := s.Sticky(h.entry, s.options.Slots); n > 0 {
			changes = append(changes, Grant{Entry: h.entry, Granted: n})
		}
	}
	return changes
}

// RecallAt returns zero: nothing is recalled.
func (s *Shared) RecallAt() time.Time { return time.Time{} }

// Free returns the slots that run no task, less what waits for them. It is
// negative when more waits than is free.
func (s *Shared) Free() int { return s.options.Slots - s.running - s.queued }
