package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// SetEvacuations takes in which failure domains are evacuated; a list older than the one
// known is ignored. Their workers get no more orders from now on, and the agents there
// are told, which refuse what waits. It reports whether the domains have changed.
func (d *Dispatcher) SetEvacuations(now time.Time, m *pb.Evacuations) (changed bool) {
	before := d.evacuations.Domains()
	if !d.evacuations.Merge(m) {
		return false
	}
	after := d.evacuations.Domains()
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			d.decideEvacuation(now, "domain_evacuated", domain)
			changed = true
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			d.decideEvacuation(now, "domain_restored", domain)
			changed = true
		}
	}
	// All agents, though nothing may have changed here: one may know of an evacuation that
	// this entry has missed together with its end, from an entry that is gone since.
	for _, a := range d.agents {
		a.tellEvacuations = true
		d.touch(a)
	}
	return changed
}

// Evacuations are the failure domains known to be evacuated; nil: none was heard of.
func (d *Dispatcher) Evacuations() *pb.Evacuations { return d.evacuations.Message() }

func (d *Dispatcher) decideEvacuation(now time.Time, event, domain string) {
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
	d.opts.Decided(Decision{Event: event, Domain: domain, Reason: reason, Waiting: agents, Version: d.evacuations.Message().GetRevision()})
}

// allEvacuated reports whether every linked worker of a service is in an evacuated
// failure domain.
func (d *Dispatcher) allEvacuated(service string) bool {
	return len(d.evacuations.Domains()) > 0 && !slices.ContainsFunc(d.agents, func(a *agent) bool {
		return a.session.IsUp() && a.state.GetService() == service && !d.evacuations.Has(a.domain)
	})
}
