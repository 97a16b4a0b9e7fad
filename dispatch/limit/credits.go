package limit

import (
	"cmp"
	"slices"
	"time"
)

// CreditsOptions tunes an agent's credits.
type CreditsOptions struct {
	// Slots of the endpoint.
	Slots int
	// Damping is how long credits must have been left unused before they are
	// recalled for another entry. Shorter follows demand faster and costs more
	// messages.
	Damping time.Duration
}

// Credits divides the slots of one endpoint between the entries linked to it.
// At any time running units, credits granted and not used, and free slots sum up
// to the slots. Use [NewCredits].
type Credits struct {
	options CreditsOptions
	slots   int
	running int
	granted int
	entries map[string]*holder
	order   []*holder
	// turn rotates who gets the odd slot.
	turn int
}

// holder is one entry's side.
type holder struct {
	entry    string
	granted  int
	running  int
	want     int
	recalled int
	// low is the fewest credits the entry had left since the time since: what
	// it could do without.
	low   int
	since time.Time
}

// Grant is a change for one entry.
type Grant struct {
	Entry string
	// Granted are new credits, Recall credits that the agent would like back.
	Granted int
	Recall  int
}

// NewCredits returns credits with all slots free.
func NewCredits(options CreditsOptions) *Credits {
	return &Credits{options: options, slots: options.Slots, entries: make(map[string]*holder)}
}

// Link adds an entry, or begins anew with one whose link was replaced: credits
// of the older link are void, since starts on it are refused from now on.
func (c *Credits) Link(entry string, now time.Time) {
	h := c.entries[entry]
	if h == nil {
		h = &holder{entry: entry}
		c.entries[entry] = h
		pos, _ := slices.BinarySearchFunc(c.order, entry, func(o *holder, e string) int { return cmp.Compare(o.entry, e) })
		c.order = slices.Insert(c.order, pos, h)
	}
	c.void(h)
	h.low, h.since = 0, now
}

// Unlink takes an entry's credits back. Its running tasks go on.
func (c *Credits) Unlink(entry string) {
	h := c.entries[entry]
	if h == nil {
		return
	}
	c.void(h)
	delete(c.entries, entry)
	c.order = slices.DeleteFunc(c.order, func(o *holder) bool { return o == h })
}

func (c *Credits) void(h *holder) {
	c.granted -= h.granted
	h.granted, h.want, h.recalled = 0, 0, 0
}

// SetWant notes how many slots an entry could use beyond its credits.
func (c *Credits) SetWant(entry string, want int) {
	if h := c.entries[entry]; h != nil {
		h.want = max(want, 0)
	}
}

// Start uses an entry's credits for a task, and free slots for what they lack: a
// start sent again on a new link comes before the credits of that link. It
// refuses if there are too few of both, since the task would take a slot promised
// to another entry.
func (c *Credits) Start(entry string, units int) Verdict {
	h := c.entries[entry]
	if h == nil || h.granted+c.Free() < units {
		return Refuse
	}
	used := min(h.granted, units)
	h.granted -= used
	h.running += units
	h.low = min(h.low, h.granted)
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

// End frees the slots of a task that ended. Entry may be gone.
func (c *Credits) End(entry string, units int) {
	c.running -= units
	if h := c.entries[entry]; h != nil {
		h.running = max(h.running-units, 0)
	}
}

// Returned takes back credits that an entry gave up, which answers a recall even
// if it needed some of them meanwhile.
func (c *Credits) Returned(entry string, n int) {
	h := c.entries[entry]
	if h == nil {
		return
	}
	n = min(n, h.granted)
	h.granted -= n
	h.low = min(h.low, h.granted)
	h.recalled = 0
	c.granted -= n
}

// Unused takes back the credits of a start that used none: it was refused, or a
// repetition.
func (c *Credits) Unused(entry string, units int) {
	if h := c.entries[entry]; h != nil {
		units = min(units, h.granted)
		h.granted -= units
		h.low = min(h.low, h.granted)
		h.recalled = min(h.recalled, h.granted)
		c.granted -= units
	}
}

// Free returns the slots that neither run a task nor are granted.
func (c *Credits) Free() int { return c.slots - c.running - c.granted }

// Running returns the units that run.
func (c *Credits) Running() int { return c.running }

// Granted returns an entry's unused credits.
func (c *Credits) Granted(entry string) int {
	if h := c.entries[entry]; h != nil {
		return h.granted
	}
	return 0
}

// Balance hands out free slots and asks for unused credits where another entry
// wants them. The changes are to be sent; those for an entry that gets a frame
// anyway cost nothing.
func (c *Credits) Balance(now time.Time, changes []Grant) []Grant {
	changes = c.grantWanted(changes)
	changes = c.grantIdle(changes)
	return c.recall(now, changes)
}

// Sticky gives slots that just ended back to the entry whose tasks they ran, if
// no other entry wants slots: the credits ride on the result.
func (c *Credits) Sticky(entry string, units int) int {
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
	c.give(h, n)
	return n
}

func (h *holder) held() int { return h.granted + h.running }

func (c *Credits) give(h *holder, n int) {
	h.granted += n
	h.want = max(h.want-n, 0)
	c.granted += n
}

// grantWanted serves entries that ask, the one that holds least first.
func (c *Credits) grantWanted(changes []Grant) []Grant {
	for c.Free() > 0 {
		h := c.least(func(h *holder) bool { return h.want > 0 })
		if h == nil {
			break
		}
		c.give(h, 1)
		changes = addGrant(changes, h.entry, 1)
	}
	return changes
}

// grantIdle hands out slots that nobody asks for, so that a task that arrives at
// any entry finds a credit there and waits for no message.
func (c *Credits) grantIdle(changes []Grant) []Grant {
	for c.Free() > 0 {
		h := c.least(func(*holder) bool { return true })
		if h == nil {
			break
		}
		c.give(h, 1)
		changes = addGrant(changes, h.entry, 1)
	}
	return changes
}

// least returns the matching entry that holds the fewest slots.
func (c *Credits) least(match func(*holder) bool) *holder {
	var best *holder
	n := len(c.order)
	for i := range n {
		h := c.order[(c.turn+i)%n]
		if match(h) && (best == nil || h.held() < best.held()) {
			best = h
		}
	}
	if best != nil {
		c.turn = (c.turn + 1) % n
	}
	return best
}

// recall asks entries that left credits unused for what others want.
func (c *Credits) recall(now time.Time, changes []Grant) []Grant {
	wanted := 0
	for _, h := range c.order {
		wanted += h.want
	}
	for _, h := range c.order {
		wanted -= h.recalled
	}
	for _, h := range c.order {
		if now.Sub(h.since) < c.options.Damping {
			continue
		}
		n := min(h.low-h.recalled, wanted)
		h.low, h.since = h.granted, now
		if n <= 0 || h.want > 0 {
			continue
		}
		h.recalled += n
		wanted -= n
		changes = addRecall(changes, h.entry, n)
	}
	return changes
}

// RecallAt returns when Balance may have something to recall, zero if nobody
// waits for it.
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
		next := h.since.Add(c.options.Damping)
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
			changes[i].Recall += n
			return changes
		}
	}
	return append(changes, Grant{Entry: entry, Recall: n})
}
