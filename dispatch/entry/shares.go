package entry

import (
	"maps"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/limit"
)

// PeersSeen names the incarnations of the other entries that may start tasks.
// The driver must keep naming one until it is proven to start nothing any more:
// it said goodbye and ended, or its lease has lapsed at the store and nobody has
// heard it since. All contracts in force are given, so that they are divided
// before the first job of each.
func (e *Entry) PeersSeen(now time.Time, others []string, contracts []string) {
	for _, name := range contracts {
		e.contract(now, name)
	}
	shares := e.policy.shares
	for _, name := range others {
		shares.AddMember(name)
	}
	for name := range e.others {
		if !slices.Contains(others, name) {
			shares.Gone(name)
		}
	}
	e.others = make(map[string]bool, len(others))
	for _, name := range others {
		e.others[name] = true
	}
	e.demand()
	shares.Tick(now)
	e.applyShares(now)
}

// Fence keeps the entry from starting anything, or lets it go on: others may have
// taken its parts of the contracts.
func (e *Entry) Fence(now time.Time, fenced bool) {
	e.policy.shares.SetFenced(fenced)
	e.applyShares(now)
}

// HoldsParts reports whether the entry may start tasks of any contract; also true
// while no contract allows any.
func (e *Entry) HoldsParts() bool {
	none := true
	for name := range e.policy.contracts {
		slots, total := e.policy.shares.Part(name)
		if slots > 0 {
			return true
		}
		none = none && total == 0
	}
	return none
}

// maxHurry is the longest time between exchanges that this entry asks for.
const maxHurry = 2 * time.Second

// hurry asks for an exchange when this entry has work for a larger part of a
// contract: the regular ones are seconds apart. While they gain it nothing, since
// the others need their parts too, it asks ever more seldom.
func (e *Entry) hurry(now time.Time) {
	p := e.policy
	if len(e.others) == 0 || !p.limits.AnyAtPart() || now.Before(p.hurried.Add(max(p.hurryAfter, e.opts.ExchangeAfter))) {
		return
	}
	p.hurried = now
	p.hurryAfter = min(max(2*p.hurryAfter, e.opts.ExchangeAfter), maxHurry)
	// If it is this entry that makes plans, the exchange carries the new one.
	e.demand()
	if p.shares.Tick(now) {
		e.applyShares(now)
	}
	e.ready.Exchange = true
}

// demand tells the shares what this entry could use of each contract.
func (e *Entry) demand() {
	for name := range e.policy.contracts {
		waiting := e.policy.sched.WaitingOf(name)
		e.policy.shares.SetDemand(name, e.policy.limits.Running(name)+uint32(waiting))
	}
}

// ShareState is what to tell the other entries.
func (e *Entry) ShareState() *pb.ShareState {
	e.demand()
	s := e.policy.shares.State(e.policy.limits.Running)
	return &pb.ShareState{
		Entry: s.Entry, Plan: planToProto(s.Plan), Held: partsToProto(s.Held), Demand: partsToProto(s.Demand),
	}
}

// SharesSeen takes in what another entry tells. States of one entry must come in
// the order in which it made them.
func (e *Entry) SharesSeen(now time.Time, m *pb.ShareState) {
	if !e.others[m.GetEntry()] {
		// Of an entry that is gone, or not announced yet: its state would make it a
		// member that nobody takes out again.
		return
	}
	for _, d := range m.Demand {
		e.contract(now, d.Contract)
	}
	plan := planFromProto(m.Plan)
	e.policy.shares.Receive(limit.ShareState{
		Entry: m.Entry, Adopted: plan.ID, Held: partsFromProto(m.Held), Demand: partsFromProto(m.Demand), Plan: plan,
	}, now)
	e.policy.shares.Tick(now)
	e.applyShares(now)
	if p := e.policy; p.shares.Promised() && now.After(p.hurried.Add(time.Millisecond)) {
		// The others have yet to be seen to keep to the plan.
		p.hurried = now
		e.ready.Exchange = true
	}
}

func partsToProto(p limit.Parts) []*pb.SharePart {
	out := make([]*pb.SharePart, 0, len(p))
	for _, contract := range slices.Sorted(maps.Keys(p)) {
		out = append(out, &pb.SharePart{Contract: contract, Slots: p[contract]})
	}
	return out
}

func partsFromProto(parts []*pb.SharePart) limit.Parts {
	out := make(limit.Parts, len(parts))
	for _, p := range parts {
		out[p.Contract] = p.Slots
	}
	return out
}

func planToProto(p *limit.Plan) *pb.SharePlan {
	out := &pb.SharePlan{Number: p.ID.Number, Allocator: p.ID.Allocator, Totals: partsToProto(p.Total)}
	for _, entry := range slices.Sorted(maps.Keys(p.Entries)) {
		out.Entries = append(out.Entries, &pb.EntryShares{Entry: entry, Parts: partsToProto(p.Entries[entry])})
	}
	return out
}

func planFromProto(m *pb.SharePlan) *limit.Plan {
	p := &limit.Plan{
		ID:      limit.PlanID{Number: m.GetNumber(), Allocator: m.GetAllocator()},
		Total:   partsFromProto(m.GetTotals()),
		Entries: make(map[string]limit.Parts, len(m.GetEntries())),
	}
	for _, e := range m.GetEntries() {
		p.Entries[e.Entry] = partsFromProto(e.Parts)
	}
	return p
}
