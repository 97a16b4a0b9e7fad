package place

import (
	"math"
	"slices"
	"time"
)

// Standing says how much work an agent may get; package health decides it.
type Standing uint8

const (
	// Open agents get any work.
	Open Standing = iota
	// Trial agents get one task at a time.
	Trial
	// Suspended agents get none.
	Suspended
)

// notReady is the place of an agent that is not among the ready ones.
const notReady = -1

// Agent is what an entry knows of one agent when it places a task. The exported
// fields are set through [Pool.Update].
type Agent struct {
	ID     string
	Domain string
	Rack   string
	// Distance is the time a message takes to the agent and back.
	Distance time.Duration
	// Slots is the number of credits the agent could grant at the most, Memory
	// the worker's in bytes.
	Slots  int
	Memory uint64
	// Slowness is how long tasks take there compared with other agents; 1 is
	// usual.
	Slowness float64
	Standing Standing

	// spare is set for agents whose slots all entries share: the slots expected
	// to be free there, and the units of this entry that wait for one.
	shared  bool
	spare   int
	waiting int
	// overbook is the units that may be sent to wait there.
	overbook int

	slotMemory  uint64
	credits     int
	outstanding int
	reservedFor *flow
	readyPos    int
	// bound holds the tasks that wait for this very agent, if the picker binds
	// on arrival.
	bound      *Queue
	boundUnits int
}

// Credits returns the units that may be started at the agent now.
func (a *Agent) Credits() int { return a.credits }

// Outstanding returns the units started there and not ended.
func (a *Agent) Outstanding() int { return a.outstanding }

// usable returns how many units may be placed now.
func (a *Agent) usable() int {
	switch a.Standing {
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

// atOnce returns how many units to place before looking for the best agent again.
// Of shared slots that is half: another entry may be filling them too, and the
// frame that carries the tasks can still take the rest.
func (a *Agent) atOnce() int {
	if a.shared {
		return (a.usable() + 1) / 2
	}
	return a.usable()
}

func (a *Agent) available() int {
	if a.shared {
		return min(a.credits, max(a.spare, a.overbook))
	}
	return a.credits
}

// Units returns how many credits a task of so much memory takes there.
func (a *Agent) Units(memory uint64) int { return a.units(memory) }

func (a *Agent) units(memory uint64) int {
	if memory <= a.slotMemory {
		return 1
	}
	return Units(memory, a.Memory, a.Slots)
}

// sumUnits returns how many credits tasks take there.
func (a *Agent) sumUnits(tasks []Task) int {
	sum := 0
	for i := range tasks {
		sum += a.units(tasks[i].Memory)
	}
	return sum
}

// used is the part of the slots in use, as far as it is known.
func (a *Agent) used() float64 {
	if a.shared {
		return 1 - float64(a.spare)/float64(max(a.Slots, 1))
	}
	return float64(a.outstanding) / float64(max(a.Slots, 1))
}

// load is the used part of the agent, between 0 and above 1 when work is bound
// to it that it has no slot for.
func (a *Agent) load() float64 {
	return float64(a.outstanding+a.boundUnits) / float64(max(a.Slots, 1))
}

// Pool holds the agents of one entry. Use [NewPool].
type Pool struct {
	agents map[string]*Agent
	all    []*Agent
	// ready are the agents that can take a task now.
	ready []*Agent
	// cursor rotates the point at which a scan of ready starts.
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

// Agent returns an agent, or nil.
func (p *Pool) Agent(id string) *Agent { return p.agents[id] }

// Credits returns the credits held at all agents.
func (p *Pool) Credits() int { return p.credits }

// Outstanding returns the units started at all agents and not ended.
func (p *Pool) Outstanding() int { return p.outstanding }

// Largest returns the slots and memory of the agent with most memory, zero if
// there is none.
func (p *Pool) Largest() (slots int, memory uint64) {
	if p.largest == nil {
		return 0, 0
	}
	return p.largest.Slots, p.largest.Memory
}

func (p *Pool) findLargest() {
	p.largest = nil
	for _, a := range p.all {
		if p.largest == nil || a.Memory > p.largest.Memory {
			p.largest = a
		}
	}
}

// Reach returns the slots that this entry uses or could use now.
func (p *Pool) Reach() int {
	reach := p.outstanding
	for _, a := range p.all {
		reach += max(a.available(), 0)
	}
	return reach
}

// Slots returns the slots of all agents, also those that serve other entries.
func (p *Pool) Slots() int { return p.slots }

// Update adds an agent or changes what is known of it; credits stay as they are.
func (p *Pool) Update(info Agent) *Agent {
	a := p.agents[info.ID]
	if a == nil {
		a = &Agent{ID: info.ID, readyPos: notReady}
		p.agents[info.ID] = a
		p.all = append(p.all, a)
	}
	p.slots += info.Slots - a.Slots
	resized := p.largest == nil || a.Memory != info.Memory
	a.Domain, a.Rack, a.Distance = info.Domain, info.Rack, info.Distance
	a.Slots, a.Memory, a.Standing = info.Slots, info.Memory, info.Standing
	a.slotMemory = math.MaxUint64
	if a.Memory > 0 {
		a.slotMemory = a.Memory / uint64(max(a.Slots, 1))
	}
	if resized {
		p.findLargest()
	}
	a.Slowness = max(info.Slowness, 0.1)
	if info.Slowness == 0 {
		a.Slowness = 1
	}
	p.refresh(a)
	return a
}

// Drop forgets an agent with its credits.
func (p *Pool) Drop(id string) {
	a := p.agents[id]
	if a == nil {
		return
	}
	p.SetCredits(a, 0)
	p.slots -= a.Slots
	p.outstanding -= a.outstanding
	delete(p.agents, id)
	p.all = slices.DeleteFunc(p.all, func(o *Agent) bool { return o == a })
	p.findLargest()
}

// SetCredits replaces an agent's credits.
func (p *Pool) SetCredits(a *Agent, credits int) {
	p.credits += credits - a.credits
	a.credits = credits
	p.refresh(a)
}

// Grant adds credits that an agent gave.
func (p *Pool) Grant(a *Agent, credits int) { p.SetCredits(a, a.credits+credits) }

// SetSpare notes how many slots of an agent are free that all entries share, and
// how many units of this entry wait there.
func (p *Pool) SetSpare(a *Agent, spare, waiting int) {
	a.shared, a.spare, a.waiting, a.overbook = true, spare, waiting, 0
	p.refresh(a)
}

// Overbook allows one start at each agent without spare slots where none of this
// entry's tasks waits yet. Call it while tasks wait in vain: slots that get free at
// an agent go first to those that wait there.
func (p *Pool) Overbook() {
	for _, a := range p.all {
		if a.shared && a.Standing == Open && a.spare < 1 && a.waiting == 0 {
			a.overbook = 1
			p.refresh(a)
		}
	}
}

// Reclaim takes up to n unused credits away, to be given back to the agent, and
// returns how many.
func (p *Pool) Reclaim(a *Agent, n int) int {
	n = max(min(n, a.credits), 0)
	p.SetCredits(a, a.credits-n)
	return n
}

// Started counts units as started at an agent, against its credits.
func (p *Pool) Started(a *Agent, units int) {
	a.outstanding += units
	a.spare -= units
	if a.spare < 0 {
		a.waiting += min(units, -a.spare)
		a.overbook = 0
	}
	p.outstanding += units
	p.SetCredits(a, a.credits-units)
}

// Ended counts units as ended. The slot does not come back as a credit by
// itself: the agent grants it anew.
func (p *Pool) Ended(a *Agent, units int) {
	units = min(units, a.outstanding)
	a.outstanding -= units
	p.outstanding -= units
	p.refresh(a)
}

// refresh keeps ready in step with what the agent can take.
func (p *Pool) refresh(a *Agent) {
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
