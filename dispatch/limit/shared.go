package limit

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is an agent's decision on a start.
type Verdict uint8

const (
	// Refuse: the task must not start.
	Refuse Verdict = iota
	// Run: the task starts now.
	Run
	// Queue: the task starts when a slot is free.
	Queue
)

// SharedSlotsOptions configures shared slots.
type SharedSlotsOptions struct {
	// Slots is the number of slots of the endpoint.
	Slots int
	// MaxQueued limits the units of each entry that wait for a slot; a single task
	// of more units may wait alone. If it is not positive, nothing waits.
	MaxQueued int
}

// SharedSlots offers every slot of one endpoint to each entry linked to it, so that no
// credit ever moves between entries. Entries choose agents by the free slots that
// each frame reports. When two entries choose the same slot at once, one of the tasks
// waits at the agent for a moment. Under overload each entry keeps about one task
// waiting at each agent, so that a slot goes to the most urgent task of all entries
// and not to the entry that used it last. Use [NewSharedSlots].
type SharedSlots struct {
	options SharedSlotsOptions
	running int
	queued  int
	entries map[string]*slotUser
	order   []*slotUser
}

// slotUser is the state of one linked entry.
type slotUser struct {
	entry   string
	granted int
	// using is the number of units running or queued, queued that of the waiting
	// ones among them.
	using  int
	queued int
}

// NewSharedSlots returns shared slots, all of them free.
func NewSharedSlots(options SharedSlotsOptions) *SharedSlots {
	return &SharedSlots{options: options, entries: make(map[string]*slotUser)}
}

// Link adds an entry, or resets the credits of one whose link was replaced.
func (s *SharedSlots) Link(entry string, _ time.Time) {
	h := s.entries[entry]
	if h == nil {
		h = &slotUser{entry: entry}
		s.entries[entry] = h
		pos, _ := slices.BinarySearchFunc(s.order, entry, func(o *slotUser, e string) int { return cmp.Compare(o.entry, e) })
		s.order = slices.Insert(s.order, pos, h)
	}
	h.granted = 0
}

// Unlink removes an entry and its credits. Its running and queued tasks continue.
func (s *SharedSlots) Unlink(entry string) {
	h := s.entries[entry]
	if h == nil {
		return
	}
	delete(s.entries, entry)
	s.order = slices.DeleteFunc(s.order, func(o *slotUser) bool { return o == h })
}

// SetWant does nothing: no entry holds slots that another one wants.
func (s *SharedSlots) SetWant(string, int) {}

// Return removes credits that an entry returned.
func (s *SharedSlots) Return(entry string, n int) { s.Refund(entry, n) }

// Refund removes the credits that an entry spent on a start that needs no slot
// because it was refused or is a duplicate.
func (s *SharedSlots) Refund(entry string, units int) {
	if h := s.entries[entry]; h != nil {
		h.granted = max(h.granted-units, 0)
	}
}

// Start decides on an entry's start and reserves its units unless it is refused.
func (s *SharedSlots) Start(entry string, units int) Verdict {
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

// Dequeue counts queued units as running. It returns false if too few slots are
// free.
func (s *SharedSlots) Dequeue(entry string, units int) bool {
	if s.running+units > s.options.Slots {
		return false
	}
	s.removeQueued(entry, units)
	s.running += units
	return true
}

// Cancel removes units from the queue. The entry may be unlinked already.
func (s *SharedSlots) Cancel(entry string, units int) {
	s.removeQueued(entry, units)
	s.removeUsing(entry, units)
}

func (s *SharedSlots) removeQueued(entry string, units int) {
	s.queued -= units
	if h := s.entries[entry]; h != nil {
		h.queued = max(h.queued-units, 0)
	}
}

// Queued returns the number of an entry's waiting units.
func (s *SharedSlots) Queued(entry string) int {
	if h := s.entries[entry]; h != nil {
		return h.queued
	}
	return 0
}

// End frees the slots of a task that ended. The entry may be unlinked already.
func (s *SharedSlots) End(entry string, units int) {
	s.running -= units
	s.removeUsing(entry, units)
}

func (s *SharedSlots) removeUsing(entry string, units int) {
	if h := s.entries[entry]; h != nil {
		h.using = max(h.using-units, 0)
	}
}

// Regrant grants an entry the credits again that a task has used and returns their
// number; they are sent in the same frame as the task's result.
func (s *SharedSlots) Regrant(entry string, units int) int {
	h := s.entries[entry]
	if h == nil {
		return 0
	}
	n := max(min(units, s.options.Slots-h.granted-h.using), 0)
	h.granted += n
	return n
}

// Balance tops up each entry's credits so that they cover all slots, and appends the
// grants to changes.
func (s *SharedSlots) Balance(_ time.Time, changes []Grant) []Grant {
	for _, h := range s.order {
		if n := s.Regrant(h.entry, s.options.Slots); n > 0 {
			changes = append(changes, Grant{Entry: h.entry, Granted: n})
		}
	}
	return changes
}

// RecallAt returns zero: nothing is recalled.
func (s *SharedSlots) RecallAt() time.Time { return time.Time{} }

// Free returns the number of slots that run no task, minus the units that wait for
// one. It is negative when more units wait than slots are free.
func (s *SharedSlots) Free() int { return s.options.Slots - s.running - s.queued }
