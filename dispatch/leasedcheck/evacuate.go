package leasedcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const (
	// evacuatedWithin is how long after an operator has evacuated a failure domain
	// something may still start there. The users allow five seconds to machines that
	// have been in touch for four; here faults of up to three seconds lie in that time.
	evacuatedWithin = 5 * time.Second
	// domainCount is the number of failure domains: with three agents and more, one
	// that is evacuated leaves another.
	domainCount = 2
	// shareEvery is the time between two exchanges of an entry with another one.
	shareEvery = 500 * time.Millisecond
	// readWithin is in what time the store tells an entry of a change, if it does.
	readWithin = 300 * time.Millisecond
)

// operators evacuate and restore failure domains in the platform's store.
type operators struct {
	w         *World
	revision  uint64
	evacuated map[string]time.Time // since when
}

func domainOf(agent int) string { return fmt.Sprintf("domain-%d", agent%domainCount) }

// evacuates reports whether operators do so in this run.
func (w *World) evacuates() bool { return w.o.Evacuations > 0 }

func (o *operators) list() *pb.Evacuations {
	return &pb.Evacuations{Revision: o.revision, Domains: slices.Sorted(maps.Keys(o.evacuated))}
}

// act evacuates a domain or restores it. Some entries hear of it from the store; the
// others, which it turns away, from entries that have.
func (o *operators) act() {
	domain := domainOf(o.w.rand.IntN(domainCount))
	o.revision++
	if _, ok := o.evacuated[domain]; ok {
		o.w.trace("operators restore %s", domain)
		delete(o.evacuated, domain)
	} else {
		o.w.trace("operators evacuate %s", domain)
		o.evacuated[domain] = o.w.now
	}
	o.tellSome(0.7)
}

// tellSome has the store tell entries with a probability, and one of them surely.
func (o *operators) tellSome(share float64) {
	sure := o.w.rand.IntN(len(o.w.entries))
	for i, e := range o.w.entries {
		if i == sure || o.w.chance(share) {
			o.tell(e)
		}
	}
}

// forget drops the store's history: entries read the list anew, at a later revision.
func (o *operators) forget() {
	o.revision++
	o.tellSome(0.5)
}

// tell has the store tell an entry what is so now.
func (o *operators) tell(e *entryNode) {
	list := o.list()
	e.after(o.w.upTo(readWithin), func() { e.evacuations(list) })
}

func (e *entryNode) evacuations(m *pb.Evacuations) {
	e.decide(func(now time.Time) { e.core.SetEvacuations(now, m) })
}

// share exchanges with another entry now and then, while this process lives.
func (e *entryNode) share() {
	other := e.w.entries[e.w.rand.IntN(len(e.w.entries))]
	life, mine := e.life, e.core.Evacuations()
	if other != e && other.up {
		e.w.at(e.w.latency(), func() {
			other.run(other.life, func() {
				other.evacuations(mine)
				theirs := other.core.Evacuations()
				e.w.at(e.w.latency(), func() { e.run(life, func() { e.evacuations(theirs) }) })
			})
		})
	}
	e.after(shareEvery, e.share)
}

// configured reports whether an entry has heard from operators, by whatever way. Until
// then it takes no jobs.
func (e *entryNode) configured() bool { return !e.w.evacuates() || e.core.Evacuations() != nil }

// ordered checks that an agent starts nothing in an evacuated domain: from the moment at
// which it knows, and from when it must know.
func (c *checker) ordered(a *agentNode, task string) {
	if a.core.Evacuated() {
		c.broken("%s starts %s and knows that its failure domain is evacuated", a.name, task)
	}
	since, evacuated := c.w.operators.evacuated[domainOf(a.index)]
	if !c.w.evacuates() || !evacuated || c.w.now.Sub(since) <= evacuatedWithin {
		return
	}
	c.broken("%s starts %s, %v after its failure domain was evacuated", a.name, task, c.w.now.Sub(since))
}

// restored checks that what operators said last is known everywhere.
func (c *checker) restored() {
	if !c.w.evacuates() {
		return
	}
	want := c.w.operators.list()
	for _, e := range c.w.entries {
		if got := e.core.Evacuations(); e.up && !slices.Equal(got.GetDomains(), want.Domains) {
			c.broken("%s takes %v for evacuated at the end, not %v", e.name, got.GetDomains(), want.Domains)
		}
	}
	for _, a := range c.w.agents {
		_, want := c.w.operators.evacuated[domainOf(a.index)]
		if a.up && a.core.Evacuated() != want {
			c.broken("%s takes its failure domain for evacuated at the end: %v, want %v", a.name, a.core.Evacuated(), want)
		}
	}
}
