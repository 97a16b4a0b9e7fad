package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PlanID orders plans: the higher number wins, then the higher name of the allocator.
type PlanID struct {
	Number    uint64
	Allocator string
}

// Compare returns -1, 0 or +1 as p is lower than, equal to or higher than o.
func (p PlanID) Compare(o PlanID) int {
	return cmp.Or(cmp.Compare(p.Number, o.Number), cmp.Compare(p.Allocator, o.Allocator))
}

// SlotsByContract maps a contract to a number of slots of its concurrency, mostly the share
// that an entry holds. The contract's other limits are divided in proportion.
type SlotsByContract map[string]uint32

// Plan divides each contract's concurrency between entries.
type Plan struct {
	ID PlanID
	// Total is the concurrency of each contract that the plan divides.
	Total SlotsByContract
	// Entries maps an entry's incarnation to its shares.
	Entries map[string]SlotsByContract
}

// ShareState is the state that an entry advertises to the others.
type ShareState struct {
	Entry   string
	Adopted PlanID
	// Held is the most that the entry may use until it adopts another plan, or
	// what it still uses if that is more.
	Held SlotsByContract
	// Demand is the number of slots that the entry could use: one for each running
	// or waiting task.
	Demand SlotsByContract
	// Plan is the plan that the entry adopted, nil if the receiver has it.
	Plan *Plan
}

// Shares is one entry's view of how contracts are divided between the entries.
//
// The entry with the lowest name makes plans. Every entry adopts a higher plan
// when it receives one and shrinks its shares at once. It enlarges a share only after
// every other member has reported that it adopted this same plan and holds no more
// than the plan grants it. A member with a later plan does not count: it may never
// have received this plan, and so not know the entries that this plan names.
// Therefore the sum of the shares never exceeds the contract, even if two entries
// make plans at once or messages are lost or delayed: while entries cannot reach each
// other, shares stay as they are or shrink.
//
// The caller must announce the entry first, and then add the members before the entry
// serves, so that of two entries that start together at least one sees the other. It
// must call RemoveMember only with proof that the entry starts no more tasks, and must call
// SetFenced when its own lease has lapsed, which others may take as such proof.
//
// What is guaranteed: new starts never take a contract over its limit. Running tasks
// may exceed it by those that a fenced entry started earlier and that have not ended.
//
// Use [NewShares].
type Shares struct {
	self    string
	totals  SlotsByContract
	members map[string]*ShareState
	plan    Plan
	held    SlotsByContract
	demand  SlotsByContract
	fenced  bool
	// unconfirmed maps members known only from a plan to the time since when.
	unconfirmed map[string]time.Time
	// highestNumber is the highest plan number seen.
	highestNumber uint64
	// rotation changes which entries get a slot when there are fewer slots than
	// entries.
	rotation int
	// planMembers are the members for which this entry last made a plan.
	planMembers []string
	// ticks counts the calls of makePlan since this entry last made a plan.
	ticks int
}

// NewShares returns the shares of an entry that holds no slots yet.
func NewShares(self string) *Shares {
	return &Shares{
		self:        self,
		totals:      SlotsByContract{},
		members:     map[string]*ShareState{self: {Entry: self}},
		held:        SlotsByContract{},
		demand:      SlotsByContract{},
		unconfirmed: map[string]time.Time{},
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

// AddMember adds an entry that may hold shares. This entry enlarges no share until it
// has received the new member's state.
func (s *Shares) AddMember(entry string) {
	delete(s.unconfirmed, entry)
	if s.members[entry] == nil {
		s.members[entry] = &ShareState{Entry: entry}
	}
}

// RemoveMember removes an entry that is proven to start no more tasks.
func (s *Shares) RemoveMember(entry string) {
	if entry != s.self {
		delete(s.members, entry)
		delete(s.unconfirmed, entry)
	}
}

// unconfirmedTTL is how long an entry counts as a member that a plan names but the
// caller has not added: it may have started too recently for the caller to know it.
// A plan may also name an entry that ended before this one started. Without a time
// limit that entry would keep all others from enlarging until the next plan.
const unconfirmedTTL = 3 * time.Second

func (s *Shares) expireUnconfirmed(now time.Time) {
	for entry, since := range s.unconfirmed {
		if now.Sub(since) >= unconfirmedTTL {
			s.RemoveMember(entry)
		}
	}
}

// SetFenced withdraws all shares when the entry's lease has lapsed, or restores them
// when it is in force again.
func (s *Shares) SetFenced(fenced bool) { s.fenced = fenced }

// SetDemand sets how many slots of a contract this entry could use.
func (s *Shares) SetDemand(contract string, slots uint32) { s.demand[contract] = slots }

// Share returns this entry's share of a contract as a fraction: slots out of total.
func (s *Shares) Share(contract string) (slots, total uint32) {
	total = s.totals[contract]
	planned := s.plan.Total[contract]
	if s.fenced || planned == 0 || total == 0 {
		return 0, total
	}
	// The contract may have changed since the plan was made. Rounding down keeps the
	// sum of the scaled shares within the new total.
	return uint32(uint64(s.held[contract]) * uint64(total) / uint64(planned)), total
}

// IncreasePending reports whether the plan grants this entry more slots than it may use yet
// of some contract for which it has demand beyond its share.
func (s *Shares) IncreasePending() bool {
	for contract, slots := range s.plan.Entries[s.self] {
		if slots > s.held[contract] && s.demand[contract] > s.held[contract] {
			return true
		}
	}
	return false
}

// State returns the state to send to the others. The function using returns a
// contract's slots in use: an entry that uses more than its new share keeps holding
// the difference until tasks end.
func (s *Shares) State(using func(contract string) uint32) ShareState {
	state := ShareState{
		Entry:   s.self,
		Adopted: s.plan.ID,
		Held:    make(SlotsByContract, len(s.held)),
		Demand:  maps.Clone(s.demand),
	}
	for contract, slots := range s.held {
		state.Held[contract] = max(slots, using(contract))
	}
	plan := s.plan
	state.Plan = &plan
	return state
}

// Receive applies another entry's state. The states of an entry must be passed in the
// order in which that entry made them.
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

// Tick makes a plan if this entry is the allocator and demand has changed enough. It
// returns whether a plan was adopted or a share enlarged.
func (s *Shares) Tick(now time.Time) bool {
	s.expireUnconfirmed(now)
	before := s.plan.ID
	names := slices.Sorted(maps.Keys(s.members))
	if names[0] == s.self && s.allAdopted() {
		s.makePlan(names, now)
	}
	return s.enlarge() || s.plan.ID != before
}

// allAdopted reports whether every member that has a plan has adopted the one in
// force. A new plan before that would only postpone the enlarging of shares.
func (s *Shares) allAdopted() bool {
	for name, m := range s.members {
		if name != s.self && m.Adopted.Compare(s.plan.ID) < 0 && m.Adopted.Number > 0 {
			return false
		}
	}
	return true
}

// rotateTicks is how many ticks a plan stays in force that leaves some entry with
// demand for a contract without any slot of it. Then the slots rotate to others.
const rotateTicks = 8

func (s *Shares) makePlan(names []string, now time.Time) {
	s.ticks++
	if s.ticks >= rotateTicks && s.starvesMember() {
		s.rotation++
	}
	target := make(map[string]SlotsByContract, len(names))
	for _, name := range names {
		target[name] = SlotsByContract{}
	}
	for _, contract := range slices.Sorted(maps.Keys(s.totals)) {
		s.divide(contract, names, target)
	}
	if slices.Equal(names, s.planMembers) && s.plan.ID.Allocator == s.self && !s.needsReplan(target) {
		return
	}
	s.planMembers, s.ticks = names, 0
	s.adopt(Plan{
		ID:      PlanID{Number: max(s.highestNumber, s.plan.ID.Number) + 1, Allocator: s.self},
		Total:   maps.Clone(s.totals),
		Entries: target,
	}, now)
}

// replanDivisor sets the change that triggers a new plan: more than the contract's
// slots divided by it. Smaller changes are not worth the messages.
const replanDivisor = 16

func (s *Shares) needsReplan(target map[string]SlotsByContract) bool {
	if !maps.Equal(s.plan.Total, s.totals) {
		return true
	}
	for name, share := range target {
		for contract, slots := range share {
			old := s.plan.Entries[name][contract]
			if max(slots, old)-min(slots, old) > s.totals[contract]/replanDivisor {
				return true
			}
		}
	}
	return false
}

// starvesMember reports whether the plan in force grants some member with demand for
// a contract no slot of it.
func (s *Shares) starvesMember() bool {
	for name := range s.members {
		for contract := range s.totals {
			if s.demandOf(name, contract) > 0 && s.plan.Entries[name][contract] == 0 {
				return true
			}
		}
	}
	return false
}

// floorDivisor sets the slots that an entry keeps without demand: an even share
// divided by it, so that the entry's next task need not wait for a plan.
const floorDivisor = 4

// divide splits one contract: a floor for each entry, then the slots that each
// demands, lowest demand first, then the rest evenly.
func (s *Shares) divide(contract string, names []string, target map[string]SlotsByContract) {
	total := s.totals[contract]
	n := uint32(len(names))
	remaining := total
	for i := range names {
		name := names[(i+s.rotation)%len(names)]
		floor := min(max(total/n/floorDivisor, 1), remaining)
		target[name][contract] = floor
		remaining -= floor
	}
	byDemand := slices.Clone(names)
	slices.SortStableFunc(byDemand, func(a, b string) int {
		return cmp.Compare(s.demandOf(a, contract), s.demandOf(b, contract))
	})
	for i, name := range byDemand {
		fair := remaining / uint32(len(byDemand)-i)
		current := target[name][contract]
		extra := min(max(s.demandOf(name, contract), current)-current, fair)
		target[name][contract] += extra
		remaining -= extra
	}
	for i, name := range byDemand {
		extra := remaining / uint32(len(byDemand)-i)
		target[name][contract] += extra
		remaining -= extra
	}
}

func (s *Shares) demandOf(entry, contract string) uint32 {
	if entry == s.self {
		return s.demand[contract]
	}
	return s.members[entry].Demand[contract]
}

// adopt puts a plan in force if it is higher, and shrinks this entry's shares to it at
// once.
func (s *Shares) adopt(plan Plan, now time.Time) {
	s.highestNumber = max(s.highestNumber, plan.ID.Number)
	if plan.ID.Compare(s.plan.ID) <= 0 {
		return
	}
	for name := range s.unconfirmed {
		if plan.Entries[name] == nil && plan.ID.Allocator == s.plan.ID.Allocator {
			// The allocator that named the entry now has proof that it is gone.
			s.RemoveMember(name)
		}
	}
	s.plan = plan
	for name := range plan.Entries {
		if s.members[name] == nil {
			s.AddMember(name)
			s.unconfirmed[name] = now
		}
	}
	own := plan.Entries[s.self]
	for contract, slots := range s.held {
		s.held[contract] = min(slots, own[contract])
	}
}

// enlarge raises shares to what the plan grants where all other members conform to
// it. It returns whether a share changed.
func (s *Shares) enlarge() bool {
	changed := false
	for contract, slots := range s.plan.Entries[s.self] {
		if s.held[contract] < slots && s.othersConform(contract) {
			s.held[contract] = slots
			changed = true
		}
	}
	return changed
}

// othersConform reports whether every other member has adopted the plan in force and
// holds no more of the contract than the plan grants it.
func (s *Shares) othersConform(contract string) bool {
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
