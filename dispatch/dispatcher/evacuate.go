package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// SetEvacuations applies the list of evacuated failure domains; a list that isn't newer than
// the current one is ignored. Workers there get no more orders from now on, and their agents
// are notified and refuse what waits. It reports whether the set of domains has changed.
func (d *Dispatcher) SetEvacuations(now time.Time, m *pb.Evacuations) (changed bool) {
	before := d.evacuations.Domains()
	if !d.evacuations.Merge(m) {
		return false
	}
	after := d.evacuations.Domains()
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			d.logEvacuation(now, "domain_evacuated", domain)
			changed = true
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			d.logEvacuation(now, "domain_restored", domain)
			changed = true
		}
	}
	// All agents, though nothing may have changed here: an agent may have learned of an
	// evacuation from an entry that has ended, while this entry missed both its begin and end.
	for _, a := range d.agents {
		a.sendEvacuations = true
		d.touch(a)
	}
	return changed
}

// Evacuations returns the evacuated failure domains; nil: no list was received.
func (d *Dispatcher) Evacuations() *pb.Evacuations { return d.evacuations.Message() }

func (d *Dispatcher) logEvacuation(now time.Time, event, domain string) {
	agents := 0
	for _, a := range d.agents {
		if a.domain == domain {
			agents++
		}
	}
	reason := "read from the store or told by another entry"
	if agents == 0 {
		reason = "no worker is known there"
	}
	d.opts.OnDecision(Decision{Event: event, Domain: domain, Reason: reason, Waiting: agents, Version: d.evacuations.Message().GetRevision()})
}

// allEvacuated reports whether every linked worker of a service is in an evacuated
// failure domain.
func (d *Dispatcher) allEvacuated(service string) bool {
	return len(d.evacuations.Domains()) > 0 && !slices.ContainsFunc(d.agents, func(a *agent) bool {
		return a.session.IsUp() && a.state.GetService() == service && !d.evacuations.Has(a.domain)
	})
}
