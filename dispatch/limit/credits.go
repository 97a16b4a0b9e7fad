package limit

import (
	"cmp"
	"slices"
	"time"
)

// CreditsOptions configures an agent's credits.
type CreditsOptions struct {
	// Slots is the number of slots of the endpoint.
	Slots int
	// RecallDelay is how long credits must stay unused before they are recalled for
	// another entry. A shorter time follows demand faster and costs more messages.
	RecallDelay time.Duration
}

// Credits divides the slots of one endpoint between the entries linked to it.
// At any time, running units, unused credits and free slots add up to the total
// number of slots. Use [NewCredits].
type Credits struct {
	options CreditsOptions
	slots   int
	running int
	granted int
	entries map[string]*holder
	order   []*holder
	// rotation is the index in order at which the search for a recipient starts. It
	// advances with each grant, so that ties are broken round-robin.
	rotation int
}

// holder is the state of one linked entry.
type holder struct {
	entry    string
	granted  int
	running  int
	want     int
	recalled int
	// minUnused is the lowest number of unused credits since windowStart: what the
	// entry did not need in that window.
	minUnused   int
	windowStart time.Time
}

// Grant is a change for one entry.
type Grant struct {
	Entry string
	// Granted is the number of new credits, Recalled the number of credits that the
	// agent asks the entry to return.
	Granted  int
	Recalled int
}

// NewCredits returns credits with all slots free.
func NewCredits(options CreditsOptions) *Credits {
	return &Credits{options: options, slots: options.Slots, entries: make(map[string]*holder)}
}

// Link adds an entry, or resets one whose link was replaced: the credits of the
// older link are void, since starts on it are refused from now on.
func (c *Credits) Link(entry string, now time.Time) {
	h := c.entries[entry]
	if h == nil {
		h = &holder{entry: entry}
		c.entries[entry] = h
		pos, _ := slices.BinarySearchFunc(c.order, entry, func(o *holder, e string) int { return cmp.Compare(o.entry, e) })
		c.order = slices.Insert(c.order, pos, h)
	}
	c.invalidate(h)
	h.minUnused, h.windowStart = 0, now
}

// Unlink removes an entry and frees its unused credits. Its running tasks continue.
func (c *Credits) Unlink(entry string) {
	h := c.entries[entry]
	if h == nil {
		return
	}
	c.invalidate(h)
	delete(c.entries, entry)
	c.order = slices.DeleteFunc(c.order, func(o *holder) bool { return o == h })
}

func (c *Credits) invalidate(h *holder) {
	c.granted -= h.granted
	h.granted, h.want, h.recalled = 0, 0, 0
}

// SetWant sets how many slots an entry could use beyond its credits.
func (c *Credits) SetWant(entry string, want int) {
	if h := c.entries[entry]; h != nil {
		h.want = max(want, 0)
	}
}

// Start consumes an entry's credits for a task, and free slots if the credits do
// not suffice: a start that is resent on a new link arrives before the entry has
// credits of that link. It refuses if both together are too few, since the task
// would take a slot promised to another entry.
func (c *Credits) Start(entry string, units int) Verdict {
	h := c.entries[entry]
	if h == nil || h.granted+c.Free() < units {
		return Refuse
	}
	used := min(h.granted, units)
	h.granted -= used
	h.running += units
	h.minUnused = min(h.minUnused, h.granted)
	h.recalled = min(h.recalled, h.granted)
	c.granted -= used
	c.running += units
	return Run
}

// Dequeue returns false: nothing is queued.
func (c *Credits) Dequeue(string, int) bool { return false }

// Queued returns 0.
func (c *Credits) Queued(string) int { return 0 }

// Cancel does nothing: nothing is queued.
func (c *Credits) Cancel(string, int) {}

// End frees the slots of a task that ended. The entry may be unlinked already.
func (c *Credits) End(entry string, units int) {
	c.running -= units
	if h := c.entries[entry]; h != nil {
		h.running = max(h.running-units, 0)
	}
}

// Return frees credits that an entry returned. This completes a recall, even if
// the entry has used some of the recalled credits in the meantime.
func (c *Credits) Return(entry string, n int) {
	h := c.entries[entry]
	if h == nil {
		return
	}
	n = min(n, h.granted)
	h.granted -= n
	h.minUnused = min(h.minUnused, h.granted)
	h.recalled = 0
	c.granted -= n
}

// Refund frees the credits that an entry spent on a start that needs no slot
// because it was refused or is a duplicate.
func (c *Credits) Refund(entry string, units int) {
	if h := c.entries[entry]; h != nil {
		units = min(units, h.granted)
		h.granted -= units
		h.minUnused = min(h.minUnused, h.granted)
		h.recalled = min(h.recalled, h.granted)
		c.granted -= units
	}
}

// Free returns the number of slots that neither run a task nor are granted.
func (c *Credits) Free() int { return c.slots - c.running - c.granted }

// Running returns the number of running units.
func (c *Credits) Running() int { return c.running }

// Granted returns the number of an entry's unused credits.
func (c *Credits) Granted(entry string) int {
	if h := c.entries[entry]; h != nil {
		return h.granted
	}
	return 0
}

// Balance grants free slots and recalls unused credits that another entry wants. It
// appends to changes what the caller must send; a change for an entry that is sent a
// frame anyway costs no message of its own.
func (c *Credits) Balance(now time.Time, changes []Grant) []Grant {
	changes = c.grantWanted(changes)
	changes = c.grantIdle(changes)
	return c.recall(now, changes)
}

// Regrant grants slots that have just become free to the entry whose task they ran,
// unless another entry wants slots and would hold fewer. It returns the number of
// credits granted; they are sent in the same frame as the result.
func (c *Credits) Regrant(entry string, units int) int {
	h := c.entries[entry]
	if h == nil {
		return 0
	}
	for _, o := range c.order {
		if o != h && o.want > 0 && o.held() < h.held()+units {
			return 0
		}
	}
	n := min(units, c.Free())
	c.grant(h, n)
	return n
}

func (h *holder) held() int { return h.granted + h.running }

func (c *Credits) grant(h *holder, n int) {
	h.granted += n
	h.want = max(h.want-n, 0)
	c.granted += n
}

// grantWanted grants free slots to the entries that want some, fewest held first.
func (c *Credits) grantWanted(changes []Grant) []Grant {
	for c.Free() > 0 {
		h := c.fewestHeld(func(h *holder) bool { return h.want > 0 })
		if h == nil {
			break
		}
		c.grant(h, 1)
		changes = addGrant(changes, h.entry, 1)
	}
	return changes
}

// grantIdle grants slots that no entry wants, so that a task that arrives at any
// entry finds a credit there and need not wait for a message.
func (c *Credits) grantIdle(changes []Grant) []Grant {
	for c.Free() > 0 {
		h := c.fewestHeld(func(*holder) bool { return true })
		if h == nil {
			break
		}
		c.grant(h, 1)
		changes = addGrant(changes, h.entry, 1)
	}
	return changes
}

// fewestHeld returns the matching entry that holds the fewest slots, nil if none
// matches.
func (c *Credits) fewestHeld(match func(*holder) bool) *holder {
	var best *holder
	n := len(c.order)
	for i := range n {
		h := c.order[(c.rotation+i)%n]
		if match(h) && (best == nil || h.held() < best.held()) {
			best = h
		}
	}
	if best != nil {
		c.rotation = (c.rotation + 1) % n
	}
	return best
}

// recall asks entries that left credits unused for RecallDelay to return what others
// want.
func (c *Credits) recall(now time.Time, changes []Grant) []Grant {
	wanted := 0
	for _, h := range c.order {
		wanted += h.want
	}
	for _, h := range c.order {
		wanted -= h.recalled
	}
	for _, h := range c.order {
		if now.Sub(h.windowStart) < c.options.RecallDelay {
			continue
		}
		n := min(h.minUnused-h.recalled, wanted)
		h.minUnused, h.windowStart = h.granted, now
		if n <= 0 || h.want > 0 {
			continue
		}
		h.recalled += n
		wanted -= n
		changes = addRecall(changes, h.entry, n)
	}
	return changes
}

// RecallAt returns the next time at which Balance may have something to recall, zero
// if no entry waits for slots.
func (c *Credits) RecallAt() time.Time {
	wanted := 0
	for _, h := range c.order {
		wanted += h.want - h.recalled
	}
	var at time.Time
	if wanted <= 0 {
		return at
	}
	for _, h := range c.order {
		next := h.windowStart.Add(c.options.RecallDelay)
		if h.want == 0 && h.granted > h.recalled && (at.IsZero() || next.Before(at)) {
			at = next
		}
	}
	return at
}

func addGrant(changes []Grant, entry string, n int) []Grant {
	for i := range changes {
		if changes[i].Entry == entry {
			changes[i].Granted += n
			return changes
		}
	}
	return append(changes, Grant{Entry: entry, Granted: n})
}

func addRecall(changes []Grant, entry string, n int) []Grant {
	for i := range changes {
		if changes[i].Entry == entry {
			changes[i].Recalled += n
			return changes
		}
	}
	return append(changes, Grant{Entry: entry, Recalled: n})
}
