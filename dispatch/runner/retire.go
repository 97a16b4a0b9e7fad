package runner

import "time"

// An agent that has chosen other entries closes its link to one in three steps: it announces on
// the link that it takes no more orders there, refuses those that still arrive, and closes the
// link once the entry has acknowledged the announcement, none of its runs is left, and all
// updates to it are acknowledged.
//
// If the link were closed while an order is in transit, the entry would have to hold the task
// back for as long as runs may outlive a lost link. Frames of a link arrive in order: an entry
// that has acknowledged the announcement sends no order after it, and all earlier orders have
// arrived.

// RetireLink begins to close the link to an entry.
func (r *Runner) RetireLink(now time.Time, incarnation string) {
	e := r.entry(incarnation)
	if e == nil || e.retiring || !e.session.IsUp() {
		return
	}
	e.retiring, e.retireSeq, e.stateChanged, e.reportedAt = true, 0, true, time.Time{}
	r.logDecision(now, Decision{Event: "link_retiring", Entry: e.name})
}

// KeepLink cancels the closing of a link while the link is still open.
func (r *Runner) KeepLink(now time.Time, incarnation string) {
	e := r.entry(incarnation)
	if e == nil || !e.retiring || !e.session.IsUp() {
		return
	}
	e.retiring, e.stateChanged = false, true
	r.logDecision(now, Decision{Event: "link_kept", Entry: e.name})
}

// mayClose reports whether the link to an entry may be closed.
func (r *Runner) mayClose(e *entry) bool {
	return e.retiring && e.session.IsUp() && e.retireSeq > 0 && e.session.Acked() >= e.retireSeq &&
		len(e.unsent) == 0 && e.session.AllAcked() && !r.hasRuns(e)
}

// closeRetired asks the driver to close the links that are no longer used.
func (r *Runner) closeRetired() {
	for _, e := range r.entries {
		if r.mayClose(e) {
			r.ready.Disconnect = append(r.ready.Disconnect, e.incarnation)
		}
	}
}
