package place

import (
	"math/rand/v2"
	"time"
)

// Need describes the tasks to place.
type Need struct {
	// Memory, in bytes, and RunTime, the expected run time, are those of the first
	// task. Tasks is the number of waiting tasks of the job, including the first.
	Memory  uint64
	RunTime time.Duration
	Tasks   int
}

// Picker chooses agents. Implementations may keep state; they need not be safe
// for concurrent use.
type Picker interface {
	// Pick returns an agent that can start the first task of need now, or nil.
	Pick(p *Pool, need Need) *Agent
	// Bind returns the agent that a task will wait for, regardless of the agent's
	// credits. It returns nil if tasks stay unbound until an agent can start them.
	Bind(p *Pool, need Need) *Agent
}

// scanLimit is the maximum number of agents that a pick examines. The scan starts
// at a rotating position, so that larger pools use all their agents.
const scanLimit = 128

// Credits is the late-binding policy: a task is sent to the agent with credits
// where it is expected to end first.
type Credits struct {
	// MessageCost is the delay of a task that is accepted to save one message. It
	// favors sending several tasks of a job in one message.
	MessageCost time.Duration
	// CollisionCost is the extra wait expected on an agent for the last spare
	// slot, which other entries may fill at the same time.
	CollisionCost time.Duration
	// SpreadCost is the extra run time expected on an agent whose slots are all
	// used, compared with an idle one.
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

// score returns the cost, in nanoseconds, of placing the first task of need on a:
// the expected time to its end beyond its run time on an agent of average speed,
// plus the costs of c.
func (c *Credits) score(a *Agent, need Need) float64 {
	score := float64(a.RTT) + float64(need.RunTime)*(a.Slowness-1)
	score += float64(c.SpreadCost) * a.utilization()
	batch := min(a.usable(), need.Tasks)
	if a.shared {
		score += float64(c.CollisionCost) / float64(max(a.spare, 1))
	}
	return score + float64(c.MessageCost)/float64(max(batch, 1))
}

// Random binds each task on arrival to an agent drawn at random.
type Random struct{ Rand *rand.Rand }

// Pick returns nil: tasks wait for the agent that they are bound to.
func (r *Random) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (r *Random) Bind(p *Pool, need Need) *Agent { return randomAgent(p, need, r.Rand) }

// TwoChoices binds each task on arrival to the less loaded of two agents drawn
// at random.
type TwoChoices struct{ Rand *rand.Rand }

// Pick returns nil: tasks wait for the agent that they are bound to.
func (t *TwoChoices) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (t *TwoChoices) Bind(p *Pool, need Need) *Agent {
	a, b := randomAgent(p, need, t.Rand), randomAgent(p, need, t.Rand)
	if a != nil && b.load() < a.load() {
		return b
	}
	return a
}

// LeastLoaded binds each task on arrival to the agent with the least work of this
// entry, relative to the agent's slots.
type LeastLoaded struct{}

// Pick returns nil: tasks wait for the agent that they are bound to.
func (LeastLoaded) Pick(*Pool, Need) *Agent { return nil }

// Bind implements [Picker].
func (LeastLoaded) Bind(p *Pool, need Need) *Agent {
	var best *Agent
	for _, a := range p.all {
		if a.units(need.Memory) > a.Slots || a.Health == Suspended {
			continue
		}
		if best == nil || a.load() < best.load() {
			best = a
		}
	}
	return best
}

// maxDraws bounds the random draws for an agent that can run the task.
const maxDraws = 8

func randomAgent(p *Pool, need Need, r *rand.Rand) *Agent {
	if len(p.all) == 0 {
		return nil
	}
	var a *Agent
	for range maxDraws {
		a = p.all[r.IntN(len(p.all))]
		if a.units(need.Memory) <= a.Slots && a.Health != Suspended {
			break
		}
	}
	return a
}
