package entry

import (
	"maps"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/limit"
)

// UpdateEntries sets the incarnations of the other entries that may start tasks. The
// driver must include an entry until it certainly starts nothing any more: it
// announced its exit and ended, or its lease has lapsed at the store and no process
// has received anything from it since. All contracts in force are passed, so that
// they are divided before the first job of each.
func (e *Entry) UpdateEntries(now time.Time, others []string, contracts []string) {
	for _, name := range contracts {
		e.contract(now, name)
	}
	shares := e.policy.shares
	for _, name := range others {
		shares.AddMember(name)
	}
	for name := range e.otherEntries {
		if !slices.Contains(others, name) {
			shares.RemoveMember(name)
		}
	}
	e.otherEntries = make(map[string]bool, len(others))
	for _, name := range others {
		e.otherEntries[name] = true
	}
	e.updateDemand()
	shares.Tick(now)
	e.applyShares(now)
}

// Fence sets whether the entry is fenced. A fenced entry starts nothing, since the
// other entries may have taken its shares of the contracts.
func (e *Entry) Fence(now time.Time, fenced bool) {
	e.policy.shares.SetFenced(fenced)
	e.applyShares(now)
}

// HoldsShares reports whether the entry holds a share of any contract, so that it may
// start tasks. It is also true while no contract allows any task.
func (e *Entry) HoldsShares() bool {
	none := true
	for name := range e.policy.contracts {
		slots, total := e.policy.shares.Share(name)
		if slots > 0 {
			return true
		}
		none = none && total == 0
	}
	return none
}

// maxExchangeBackoff bounds the time between exchanges that this entry requests.
const maxExchangeBackoff = 2 * time.Second

// requestExchange requests an exchange if this entry has work for a larger share of
// a contract, since regular exchanges are seconds apart. It backs off while they
// don't enlarge its share because the other entries need theirs too.
func (e *Entry) requestExchange(now time.Time) {
	p := e.policy
	if len(e.otherEntries) == 0 || !p.limits.AnyBlockedByShare() || now.Before(p.exchangeRequested.Add(max(p.exchangeBackoff, e.opts.MinExchangeInterval))) {
		return
	}
	p.exchangeRequested = now
	p.exchangeBackoff = min(max(2*p.exchangeBackoff, e.opts.MinExchangeInterval), maxExchangeBackoff)
	// If this entry is the allocator, the exchange carries the new plan.
	e.updateDemand()
	if p.shares.Tick(now) {
		e.applyShares(now)
	}
	e.ready.Exchange = true
}

// updateDemand updates this entry's demand for each contract.
func (e *Entry) updateDemand() {
	for name := range e.policy.contracts {
		waiting := e.policy.sched.WaitingOf(name)
		e.policy.shares.SetDemand(name, e.policy.limits.Running(name)+uint32(waiting))
	}
}

// ShareState returns the state to send to the other entries.
func (e *Entry) ShareState() *pb.ShareState {
	e.updateDemand()
	s := e.policy.shares.State(e.policy.limits.Running)
	return &pb.ShareState{
		Entry: s.Entry, Plan: planToProto(s.Plan), Held: partsToProto(s.Held), Demand: partsToProto(s.Demand),
	}
}

// ReceiveShares applies another entry's ShareState. States of one entry must be passed
// in the order in which it made them.
func (e *Entry) ReceiveShares(now time.Time, m *pb.ShareState) {
	if !e.otherEntries[m.GetEntry()] {
		// The entry is gone or not announced yet. Applying its state would make it a
		// member that is never removed.
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
	if p := e.policy; p.shares.IncreasePending() && now.After(p.exchangeRequested.Add(time.Millisecond)) {
		// The other entries have not confirmed yet that they follow the plan.
		p.exchangeRequested = now
		e.ready.Exchange = true
	}
}

func partsToProto(p limit.SlotsByContract) []*pb.SharePart {
	out := make([]*pb.SharePart, 0, len(p))
	for _, contract := range slices.Sorted(maps.Keys(p)) {
		out = append(out, &pb.SharePart{Contract: contract, Slots: p[contract]})
	}
	return out
}

func partsFromProto(parts []*pb.SharePart) limit.SlotsByContract {
	out := make(limit.SlotsByContract, len(parts))
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
		Entries: make(map[string]limit.SlotsByContract, len(m.GetEntries())),
	}
	for _, e := range m.GetEntries() {
		p.Entries[e.Entry] = partsFromProto(e.Parts)
	}
	return p
}
