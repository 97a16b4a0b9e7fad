package place

import (
	"math/rand/v2"
	"time"
)

// Need describes the tasks to place.
type Need struct {
	// Memory and Run are the first task's, Tasks counts it and those that wait
	// behind it in the same job.
	Memory uint64
	Run    time.Duration
	Tasks  int
}

// Picker chooses agents. Implementations may keep state and are called from one
// thread at a time.
type Picker interface {
	// Pick returns an agent that can start a task of the need now, or nil.
	Pick(p *Pool, need Need) *Agent
	// Bind chooses the agent that a task will wait for, whether it has credits
	// or not. It returns nil if tasks stay unbound until an agent can start
	// them.
	Bind(p *Pool, need Need) *Agent
}

// scanLimit bounds the agents that a pick looks at. A rotating start gives every
// agent its turn in larger pools.
const scanLimit = 128

// Credits binds late: a task goes to the agent with credits where it is expected
// to end first.
type Credits struct {
	// MessageCost is how much later a task may end to save one message. It
	// makes tasks of a job travel together.
	MessageCost time.Duration
	// CollisionCost is how much longer a task is taken to wait on an agent whose
	// last spare slot it takes, when other entries may take it too.
	CollisionCost time.Duration
	// SpreadCost is how much longer a task is taken to run on an agent whose
	// slots are all used than on an idle one.
	SpreadCost time.Duration
}

// Bind returns nil: tasks stay unbound.
func (c *Credits) Bind(*Pool, Need) *Agent { return nil }

// Pick implements [Picker].
func (c *Credits) Pick(p *Pool, need Need) *Agent {
	n := len(p.ready)
	if n == 0 {
		return nil
	}
	if p.cursor++; p.cursor >= n {
		p.cursor = 0
	}
	var best *Agent
	var bestScore float64
	pos := p.cursor
	for range min(n, scanLimit) {
		a := p.ready[pos]
		if pos++; pos == n {
			pos = 0
		}
		if a.reservedFor != nil || a.usable() < a.units(need.Memory) {
			continue
		}
		if score := c.score(a, need); best == nil || score < bestScore {
			best, bestScore = a, score
		}
	}
	return best
}

// score is the expected time to the end of the need's first task, beyond its run
// time on a usual agent, with the other costs in the same unit.
func (c *Credits) score(a *Agent, need Need) float64 {
	score := float64(a.Distance) + float64(need.Run)*(a.Slowness-1)
	score += float64(c.SpreadCost) * a.used()
	together := min(a.usable(), need.Tasks)
	if a.shared {
		score += float64(c.CollisionCost) / float64(max(a.spare, 1))
	}
	return score + float64(c.MessageCost)/float64(max(together, 1))
}

// Random binds each task on arrival to an agent drawn at random.
type Random struct{ Rand *rand.Rand }

// Pick returns nil: tasks wait for the agent that they are bound to.
func (r *Random) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (r *Random) Bind(p *Pool, need Need) *Agent { return draw(p, need, r.Rand) }

// TwoChoices binds each task on arrival to the less loaded of two agents drawn
// at random.
type TwoChoices struct{ Rand *rand.Rand }

// Pick returns nil: tasks wait for the agent that they are bound to.
func (t *TwoChoices) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (t *TwoChoices) Bind(p *Pool, need Need) *Agent {
	a, b := draw(p, need, t.Rand), draw(p, need, t.Rand)
	if a != nil && b.load() < a.load() {
		return b
	}
	return a
}

// LeastLoaded binds each task on arrival to the agent with the least work from
// this entry.
type LeastLoaded struct{}

// Pick returns nil: tasks wait for the agent that they are bound to.
func (LeastLoaded) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (LeastLoaded) Bind(p *Pool, need Need) *Agent {
	var best *Agent
	for _, a := range p.all {
		if a.units(need.Memory) > a.Slots || a.Standing == Suspended {
			continue
		}
		if best == nil || a.load() < best.load() {
			best = a
		}
	}
	return best
}

// drawTries bounds the draws for an agent that fits.
const drawTries = 8

func draw(p *Pool, need Need, r *rand.Rand) *Agent {
	if len(p.all) == 0 {
		return nil
	}
	var a *Agent
	for range drawTries {
		a = p.all[r.IntN(len(p.all))]
		if a.units(need.Memory) <= a.Slots && a.Standing != Suspended {
			break
		}
	}
	return a
}
