package place

import (
	"math"
	"slices"
	"time"
)

// HealthState is the health state of an agent and bounds the work that it gets.
// Package health decides it.
type HealthState uint8

const (
	// Healthy agents get work without restriction.
	Healthy HealthState = iota
	// Trial agents get one task at a time.
	Trial
	// Suspended agents get no tasks.
	Suspended
)

// notReady is the readyPos of an agent that is not in Pool.ready.
const notReady = -1

// Agent is an entry's view of one agent. The exported fields are set through
// [Pool.Update].
type Agent struct {
	ID     string
	Domain string
	Rack   string
	// RTT is the round-trip time of a message to the agent.
	RTT time.Duration
	// Slots is the maximum number of credits that the agent can grant; Memory is
	// the memory of its worker in bytes.
	Slots  int
	Memory uint64
	// Slowness is the run time of tasks on this agent relative to other agents; 1
	// is average.
	Slowness float64
	Health   HealthState

	// shared is set if all entries share the agent's slots. Then spare is the
	// number of slots expected to be free, and waiting the units of this entry that
	// wait at the agent for a slot.
	shared  bool
	spare   int
	waiting int
	// overbookUnits is the number of units that may be sent although no slot is spare.
	overbookUnits int

	slotMemory  uint64
	credits     int
	outstanding int
	reservedFor *flow
	readyPos    int
	// bound holds the tasks bound to this agent, if the picker binds on arrival.
	bound      *Queue
	boundUnits int
}

// Credits returns the number of units that may be started at the agent now.
func (a *Agent) Credits() int { return a.credits }

// Outstanding returns the number of units started at the agent that have not ended.
func (a *Agent) Outstanding() int { return a.outstanding }

// usable returns the number of units that may be placed now, given the health
// state of the agent.
func (a *Agent) usable() int {
	switch a.Health {
	case Suspended:
		return 0
	case Trial:
		if a.outstanding > 0 {
			return 0
		}
		return min(a.available(), 1)
	}
	return a.available()
}

// batchLimit returns the number of units to place before the best agent is chosen
// again. For shared slots it is half of the usable ones, since another entry may
// be filling them too; a later placement can still add the rest to the same frame.
func (a *Agent) batchLimit() int {
	if a.shared {
		return (a.usable() + 1) / 2
	}
	return a.usable()
}

func (a *Agent) available() int {
	if a.shared {
		return min(a.credits, max(a.spare, a.overbookUnits))
	}
	return a.credits
}

// Units returns how many credits a task that needs so many bytes of memory takes
// at this agent.
func (a *Agent) Units(memory uint64) int { return a.units(memory) }

func (a *Agent) units(memory uint64) int {
	if memory <= a.slotMemory {
		return 1
	}
	return Units(memory, a.Memory, a.Slots)
}

// sumUnits returns how many credits the tasks take at this agent.
func (a *Agent) sumUnits(tasks []Task) int {
	sum := 0
	for i := range tasks {
		sum += a.units(tasks[i].Memory)
	}
	return sum
}

// utilization returns the fraction of the agent's slots in use, as far as this entry
// knows.
func (a *Agent) utilization() float64 {
	if a.shared {
		return 1 - float64(a.spare)/float64(max(a.Slots, 1))
	}
	return float64(a.outstanding) / float64(max(a.Slots, 1))
}

// load returns this entry's outstanding and bound units relative to the agent's
// slots. It exceeds 1 when more work is bound to the agent than it has slots.
func (a *Agent) load() float64 {
	return float64(a.outstanding+a.boundUnits) / float64(max(a.Slots, 1))
}

// Pool holds the agents of one entry. Use [NewPool].
type Pool struct {
	agents map[string]*Agent
	all    []*Agent
	// ready holds the agents on which a task can be placed now, in no order.
	ready []*Agent
	// cursor is the position in ready at which the last scan started.
	cursor      int
	credits     int
	outstanding int
	slots       int
	largest     *Agent
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{agents: make(map[string]*Agent)}
}

// Agent returns the agent with the given ID, or nil.
func (p *Pool) Agent(id string) *Agent { return p.agents[id] }

// Credits returns the sum of the credits held at all agents.
func (p *Pool) Credits() int { return p.credits }

// Outstanding returns the number of units started at all agents that have not
// ended.
func (p *Pool) Outstanding() int { return p.outstanding }

// Largest returns the slots and memory of the agent with the most memory, zero if
// the pool is empty.
func (p *Pool) Largest() (slots int, memory uint64) {
	if p.largest == nil {
		return 0, 0
	}
	return p.largest.Slots, p.largest.Memory
}

func (p *Pool) updateLargest() {
	p.largest = nil
	for _, a := range p.all {
		if p.largest == nil || a.Memory > p.largest.Memory {
			p.largest = a
		}
	}
}

// UsableSlots returns the number of slots that this entry uses or could use now.
func (p *Pool) UsableSlots() int {
	slots := p.outstanding
	for _, a := range p.all {
		slots += max(a.available(), 0)
	}
	return slots
}

// Slots returns the number of slots of all agents, including those that serve
// other entries.
func (p *Pool) Slots() int { return p.slots }

// Update adds an agent or replaces its exported fields; its credits do not change.
func (p *Pool) Update(info Agent) *Agent {
	a := p.agents[info.ID]
	if a == nil {
		a = &Agent{ID: info.ID, readyPos: notReady}
		p.agents[info.ID] = a
		p.all = append(p.all, a)
	}
	p.slots += info.Slots - a.Slots
	resized := p.largest == nil || a.Memory != info.Memory
	a.Domain, a.Rack, a.RTT = info.Domain, info.Rack, info.RTT
	a.Slots, a.Memory, a.Health = info.Slots, info.Memory, info.Health
	a.slotMemory = math.MaxUint64
	if a.Memory > 0 {
		a.slotMemory = a.Memory / uint64(max(a.Slots, 1))
	}
	if resized {
		p.updateLargest()
	}
	a.Slowness = max(info.Slowness, 0.1)
	if info.Slowness == 0 {
		a.Slowness = 1
	}
	p.updateReady(a)
	return a
}

// RemoveAgent removes an agent and its credits.
func (p *Pool) RemoveAgent(id string) {
	a := p.agents[id]
	if a == nil {
		return
	}
	p.SetCredits(a, 0)
	p.slots -= a.Slots
	p.outstanding -= a.outstanding
	delete(p.agents, id)
	p.all = slices.DeleteFunc(p.all, func(o *Agent) bool { return o == a })
	p.updateLargest()
}

// SetCredits replaces an agent's credits.
func (p *Pool) SetCredits(a *Agent, credits int) {
	p.credits += credits - a.credits
	a.credits = credits
	p.updateReady(a)
}

// Grant adds credits that an agent has granted.
func (p *Pool) Grant(a *Agent, credits int) { p.SetCredits(a, a.credits+credits) }

// SetSpare marks an agent's slots as shared by all entries, and sets the number of
// free slots and the number of this entry's units that wait there for one.
func (p *Pool) SetSpare(a *Agent, spare, waiting int) {
	a.shared, a.spare, a.waiting, a.overbookUnits = true, spare, waiting, 0
	p.updateReady(a)
}

// Overbook allows one start at each agent that has no spare slot and no waiting
// task of this entry. It is meant for times when tasks cannot be placed: an agent
// gives a slot that becomes free first to the tasks that wait there.
func (p *Pool) Overbook() {
	for _, a := range p.all {
		if a.shared && a.Health == Healthy && a.spare < 1 && a.waiting == 0 {
			a.overbookUnits = 1
			p.updateReady(a)
		}
	}
}

// Reclaim removes up to n unused credits and returns how many it removed. The
// caller returns these to the agent.
func (p *Pool) Reclaim(a *Agent, n int) int {
	n = max(min(n, a.credits), 0)
	p.SetCredits(a, a.credits-n)
	return n
}

// Started records units as started at an agent and deducts them from its credits.
func (p *Pool) Started(a *Agent, units int) {
	a.outstanding += units
	a.spare -= units
	if a.spare < 0 {
		a.waiting += min(units, -a.spare)
		a.overbookUnits = 0
	}
	p.outstanding += units
	p.SetCredits(a, a.credits-units)
}

// Ended records units as ended. It does not restore credits: the agent grants the
// slots again.
func (p *Pool) Ended(a *Agent, units int) {
	units = min(units, a.outstanding)
	a.outstanding -= units
	p.outstanding -= units
	p.updateReady(a)
}

// updateReady adds a to ready or removes it, depending on whether a task can be placed
// on it now.
func (p *Pool) updateReady(a *Agent) {
	usable := a.usable() > 0
	switch {
	case usable && a.readyPos == notReady:
		a.readyPos = len(p.ready)
		p.ready = append(p.ready, a)
	case !usable && a.readyPos != notReady:
		last := p.ready[len(p.ready)-1]
		p.ready[a.readyPos] = last
		last.readyPos = a.readyPos
		p.ready = p.ready[:len(p.ready)-1]
		a.readyPos = notReady
	}
}
