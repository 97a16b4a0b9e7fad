package leasedcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const (
	// maxEvacuationDelay is the time after an evacuation of a failure domain within which
	// a task may still start there. Users grant five seconds to machines that have been
	// connected for four; here faults of up to three seconds fall into that time.
	maxEvacuationDelay = 5 * time.Second
	// domainCount is the number of failure domains. With three or more agents, one
	// evacuated domain leaves another one in use.
	domainCount = 2
	// exchangeInterval is the time between two exchanges that an entry starts.
	exchangeInterval = 500 * time.Millisecond
	// maxStoreDelay bounds the time in which the store notifies an entry of a change, if
	// it does so at all.
	maxStoreDelay = 300 * time.Millisecond
)

// operators simulates operators who evacuate and restore failure domains in the
// platform's store.
type operators struct {
	w         *World
	revision  uint64
	evacuated map[string]time.Time // since when
}

func domainName(agent int) string { return fmt.Sprintf("domain-%d", agent%domainCount) }

// hasEvacuations reports whether operators evacuate domains in this run.
func (w *World) hasEvacuations() bool { return w.o.Evacuations > 0 }

func (o *operators) list() *pb.Evacuations {
	return &pb.Evacuations{Revision: o.revision, Domains: slices.Sorted(maps.Keys(o.evacuated))}
}

// toggleDomain evacuates or restores a random domain. The store notifies some entries;
// the others can't reach it and are updated by entries that can.
func (o *operators) toggleDomain() {
	domain := domainName(o.w.rand.IntN(domainCount))
	o.revision++
	if _, ok := o.evacuated[domain]; ok {
		o.w.trace("operators restore %s", domain)
		delete(o.evacuated, domain)
	} else {
		o.w.trace("operators evacuate %s", domain)
		o.evacuated[domain] = o.w.now
	}
	o.notifySome(0.7)
}

// notifySome makes the store notify each entry with the given probability, and one of
// them always.
func (o *operators) notifySome(probability float64) {
	always := o.w.rand.IntN(len(o.w.entries))
	for i, e := range o.w.entries {
		if i == always || o.w.chance(probability) {
			o.notify(e)
		}
	}
}

// dropHistory drops the store's history: entries read the list again at a later revision.
func (o *operators) dropHistory() {
	o.revision++
	o.notifySome(0.5)
}

// notify makes the store send an entry the current list.
func (o *operators) notify(e *entryNode) {
	list := o.list()
	e.after(o.w.jitter(maxStoreDelay), func() { e.setEvacuations(list) })
}

func (e *entryNode) setEvacuations(m *pb.Evacuations) {
	e.decide(func(now time.Time) { e.core.SetEvacuations(now, m) })
}

// exchange periodically exchanges evacuations with a random entry while this process
// is up.
func (e *entryNode) exchange() {
	other := e.w.entries[e.w.rand.IntN(len(e.w.entries))]
	incarnation, mine := e.incarnation, e.core.Evacuations()
	if other != e && other.up {
		e.w.schedule(e.w.latency(), func() {
			other.run(other.incarnation, func() {
				other.setEvacuations(mine)
				theirs := other.core.Evacuations()
				e.w.schedule(e.w.latency(), func() { e.run(incarnation, func() { e.setEvacuations(theirs) }) })
			})
		})
	}
	e.after(exchangeInterval, e.exchange)
}

// configured reports whether the entry has received a list of evacuations from the store
// or another entry. Until then it admits no jobs.
func (e *entryNode) configured() bool { return !e.w.hasEvacuations() || e.core.Evacuations() != nil }

// checkStart checks that an agent starts nothing in an evacuated domain once it knows of
// the evacuation, or must know of it.
func (c *checker) checkStart(a *agentNode, task string) {
	if a.core.Evacuated() {
		c.violated("%s starts %s although it knows that its failure domain is evacuated", a.name, task)
	}
	since, evacuated := c.w.operators.evacuated[domainName(a.index)]
	if !c.w.hasEvacuations() || !evacuated || c.w.now.Sub(since) <= maxEvacuationDelay {
		return
	}
	c.violated("%s starts %s, %v after its failure domain was evacuated", a.name, task, c.w.now.Sub(since))
}

// checkEvacuations checks that all processes have the operators' last update.
func (c *checker) checkEvacuations() {
	if !c.w.hasEvacuations() {
		return
	}
	want := c.w.operators.list()
	for _, e := range c.w.entries {
		if got := e.core.Evacuations(); e.up && !slices.Equal(got.GetDomains(), want.Domains) {
			c.violated("%s has evacuated domains %v at the end, want %v", e.name, got.GetDomains(), want.Domains)
		}
	}
	for _, a := range c.w.agents {
		_, want := c.w.operators.evacuated[domainName(a.index)]
		if a.up && a.core.Evacuated() != want {
			c.violated("%s has its failure domain evacuated at the end: %v, want %v", a.name, a.core.Evacuated(), want)
		}
	}
}
