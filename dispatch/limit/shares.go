package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PlanID orders plans: the higher number wins, then the allocator's name.
type PlanID struct {
	Number    uint64
	Allocator string
}

// Compare orders plan ids.
func (p PlanID) Compare(o PlanID) int {
	return cmp.Or(cmp.Compare(p.Number, o.Number), cmp.Compare(p.Allocator, o.Allocator))
}

// Parts maps a contract to the slots of its concurrency that an entry holds. All
// other limits of the contract follow in proportion.
type Parts map[string]uint32

// Plan divides each contract's concurrency between entries.
type Plan struct {
	ID PlanID
	// Total is the concurrency of each contract that the plan divided.
	Total Parts
	// Entries maps an entry's incarnation to its parts.
	Entries map[string]Parts
}

// ShareState is what an entry tells the others.
type ShareState struct {
	Entry   string
	Adopted PlanID
	// Held is the most that the entry may use until it adopts another plan, or
	// what it still uses if that is more.
	Held Parts
	// Demand is the slots that it could use: running and waiting tasks.
	Demand Parts
	// Plan is the plan the entry adopted; nil when the receiver has it.
	Plan *Plan
}

// Shares is one entry's view of how contracts are divided between the entries.
//
// The entry with the lowest name makes plans. Every entry adopts a higher plan
// when it sees it and shrinks at once; it enlarges a part only after each other
// member was seen to have adopted this very plan and to hold no more than the
// plan gives it. A member with a later plan does not do: it may never have seen
// this one, and so not know of the entries that this one names. So the parts
// never exceed the contract, also when two entries make plans at once or messages
// are lost or late: while entries cannot reach each other, parts stay as they are
// or shrink.
//
// The caller must name members before the entry serves, having announced itself
// first, so that of two entries that start together one sees the other. It must
// call Gone only with proof that the entry starts nothing any more, and must
// call SetFenced when its own lease has lapsed, which others may take for such
// proof. The bound: starts within a contract never exceed it; running tasks may,
// by those that a fenced entry started before and that have not ended.
//
// Use [NewShares].
type Shares struct {
	self    string
	totals  Parts
	members map[string]*ShareState
	plan    Plan
	held    Parts
	demand  Parts
	fenced  bool
	// learned holds the members known only from a plan, and since when.
	learned map[string]time.Time
	// highest is the highest plan number seen.
	highest uint64
	// turn rotates which entries get a slot when there are fewer than entries.
	turn    int
	planFor []string
	// ticks counts since the plan in force was made.
	ticks int
}

// NewShares returns the shares of an entry that holds nothing yet.
func NewShares(self string) *Shares {
	return &Shares{
		self:    self,
		totals:  Parts{},
		members: map[string]*ShareState{self: {Entry: self}},
		held:    Parts{},
		demand:  Parts{},
		learned: map[string]time.Time{},
	}
}

// SetContract sets a contract's concurrency; zero removes it.
func (s *Shares) SetContract(contract string, concurrency uint32) {
	if concurrency == 0 {
		delete(s.totals, contract)
		delete(s.held, contract)
		return
	}
	s.totals[contract] = concurrency
}

// AddMember adds an entry that may hold parts. Until it was heard, nobody enlarges.
func (s *Shares) AddMember(entry string) {
	delete(s.learned, entry)
	if s.members[entry] == nil {
		s.members[entry] = &ShareState{Entry: entry}
	}
}

// Gone removes an entry that is proven to start nothing any more.
func (s *Shares) Gone(entry string) {
	if entry != s.self {
		delete(s.members, entry)
		delete(s.learned, entry)
	}
}

// unknownFor is how long an entry counts as a member that a plan names and the
// caller does not: it may have come too recently for the caller to know it. An
// entry that has ended before this one started is named so too, and without an
// end to the wait nobody could enlarge until the next plan.
const unknownFor = 3 * time.Second

func (s *Shares) dropUnknown(now time.Time) {
	for entry, since := range s.learned {
		if now.Sub(since) >= unknownFor {
			s.Gone(entry)
		}
	}
}

// SetFenced takes all parts away, or gives them back, when the entry's lease
// has lapsed or is in force again.
func (s *Shares) SetFenced(fenced bool) { s.fenced = fenced }

// SetDemand sets the slots that this entry could use of a contract.
func (s *Shares) SetDemand(contract string, slots uint32) { s.demand[contract] = slots }

// Part returns what this entry may use of a contract, as a fraction: slots out
// of total.
func (s *Shares) Part(contract string) (slots, total uint32) {
	total = s.totals[contract]
	planned := s.plan.Total[contract]
	if s.fenced || planned == 0 || total == 0 {
		return 0, total
	}
	// The contract may have changed since the plan: scaling down by floor keeps
	// the sum within the new total.
	return uint32(uint64(s.held[contract]) * uint64(total) / uint64(planned)), total
}

// Promised reports whether the plan gives this entry more than it may use yet, of
// a contract that it has work for.
func (s *Shares) Promised() bool {
	for contract, slots := range s.plan.Entries[s.self] {
		if slots > s.held[contract] && s.demand[contract] > s.held[contract] {
			return true
		}
	}
	return false
}

// State returns what to tell the others. Using gives the slots in use of each
// contract: an entry above its new part holds on to the difference until tasks end.
func (s *Shares) State(using func(contract string) uint32) ShareState {
	state := ShareState{
		Entry:   s.self,
		Adopted: s.plan.ID,
		Held:    make(Parts, len(s.held)),
		Demand:  maps.Clone(s.demand),
	}
	for contract, slots := range s.held {
		state.Held[contract] = max(slots, using(contract))
	}
	plan := s.plan
	state.Plan = &plan
	return state
}

// Receive takes another entry's state. States of one entry must come in the
// order in which they were made.
func (s *Shares) Receive(state ShareState, now time.Time) {
	if state.Entry == s.self {
		return
	}
	plan := state.Plan
	state.Plan = nil
	s.members[state.Entry] = &state
	if plan != nil {
		s.adopt(*plan, now)
	}
	s.enlarge()
}

// Tick makes a plan if this entry is the one to do so and demand has moved. It
// returns whether parts changed.
func (s *Shares) Tick(now time.Time) bool {
	s.dropUnknown(now)
	before := s.plan.ID
	names := slices.Sorted(maps.Keys(s.members))
	if names[0] == s.self && s.settled() {
		s.makePlan(names, now)
	}
	return s.enlarge() || s.plan.ID != before
}

// settled reports whether every member has adopted the plan in force: a new plan
// before that would only postpone the day on which someone may enlarge.
func (s *Shares) settled() bool {
	for name, m := range s.members {
		if name != s.self && m.Adopted.Compare(s.plan.ID) < 0 && m.Adopted.Number > 0 {
			return false
		}
	}
	return true
}

// rotateTicks is how long a plan lasts that leaves an entry without any slot of a
// contract that it has work for: then it is another's turn.
const rotateTicks = 8

func (s *Shares) makePlan(names []string, now time.Time) {
	s.ticks++
	if s.ticks >= rotateTicks && s.leavesOut() {
		s.turn++
	}
	goal := make(map[string]Parts, len(names))
	for _, name := range names {
		goal[name] = Parts{}
	}
	for _, contract := range slices.Sorted(maps.Keys(s.totals)) {
		s.divide(contract, names, goal)
	}
	if slices.Equal(names, s.planFor) && s.plan.ID.Allocator == s.self && !s.moved(goal) {
		return
	}
	s.planFor, s.ticks = names, 0
	s.adopt(Plan{
		ID:      PlanID{Number: max(s.highest, s.plan.ID.Number) + 1, Allocator: s.self},
		Total:   maps.Clone(s.totals),
		Entries: goal,
	}, now)
}

// moveShare is the part of a contract, as a divisor, that must move for a new
// plan: smaller changes are not worth the messages.
const moveShare = 16

func (s *Shares) moved(goal map[string]Parts) bool {
	if !maps.Equal(s.plan.Total, s.totals) {
		return true
	}
	for name, parts := range goal {
		for contract, slots := range parts {
			old := s.plan.Entries[name][contract]
			if max(slots, old)-min(slots, old) > s.totals[contract]/moveShare {
				return true
			}
		}
	}
	return false
}

// leavesOut reports whether the plan in force gives nothing to some entry with
// demand.
func (s *Shares) leavesOut() bool {
	for name := range s.members {
		for contract := range s.totals {
			if s.demandOf(name, contract) > 0 && s.plan.Entries[name][contract] == 0 {
				return true
			}
		}
	}
	return false
}

// floorShare is the part of an even share, as a divisor, that an entry keeps
// without demand, so that its next task need not wait for a plan.
const floorShare = 4

// divide splits one contract: a floor for each entry, then what each demands,
// least first, then the rest evenly.
func (s *Shares) divide(contract string, names []string, goal map[string]Parts) {
	total := s.totals[contract]
	n := uint32(len(names))
	left := total
	for i := range names {
		name := names[(i+s.turn)%len(names)]
		floor := min(max(total/n/floorShare, 1), left)
		goal[name][contract] = floor
		left -= floor
	}
	byDemand := slices.Clone(names)
	slices.SortStableFunc(byDemand, func(a, b string) int {
		return cmp.Compare(s.demandOf(a, contract), s.demandOf(b, contract))
	})
	for i, name := range byDemand {
		fair := left / uint32(len(byDemand)-i)
		have := goal[name][contract]
		more := min(max(s.demandOf(name, contract), have)-have, fair)
		goal[name][contract] += more
		left -= more
	}
	for i, name := range byDemand {
		more := left / uint32(len(byDemand)-i)
		goal[name][contract] += more
		left -= more
	}
}

func (s *Shares) demandOf(entry, contract string) uint32 {
	if entry == s.self {
		return s.demand[contract]
	}
	return s.members[entry].Demand[contract]
}

// adopt takes a higher plan and shrinks to it at once.
func (s *Shares) adopt(plan Plan, now time.Time) {
	s.highest = max(s.highest, plan.ID.Number)
	if plan.ID.Compare(s.plan.ID) <= 0 {
		return
	}
	for name := range s.learned {
		if plan.Entries[name] == nil && plan.ID.Allocator == s.plan.ID.Allocator {
			// The one that named it has proof that it is gone.
			s.Gone(name)
		}
	}
	s.plan = plan
	for name := range plan.Entries {
		if s.members[name] == nil {
			s.AddMember(name)
			s.learned[name] = now
		}
	}
	mine := plan.Entries[s.self]
	for contract, slots := range s.held {
		s.held[contract] = min(slots, mine[contract])
	}
}

// enlarge takes what the plan gives once all others are seen to keep to it.
func (s *Shares) enlarge() bool {
	changed := false
	for contract, slots := range s.plan.Entries[s.self] {
		if s.held[contract] < slots && s.othersKeepTo(contract) {
			s.held[contract] = slots
			changed = true
		}
	}
	return changed
}

func (s *Shares) othersKeepTo(contract string) bool {
	for name, m := range s.members {
		if name == s.self {
			continue
		}
		if m.Adopted != s.plan.ID || m.Held[contract] > s.plan.Entries[name][contract] {
			return false
		}
	}
	return true
}
