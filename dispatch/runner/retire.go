package runner

import "time"

// An agent that has chosen other entries closes its link to one in three steps: it says
// on the link that it takes no more orders there, refuses those that still come, and
// closes the link when the entry has acknowledged the first, nothing of it runs here,
// and all that it was told is acknowledged.
//
// An order may be on its way when the link is closed; its entry would have to hold the task back
// for as long as runs may outlive a lost link. Frames of a link arrive in order, so an entry
// that has acknowledged the first frame sends no order behind it, and all before have come.

// Retire begins to close the link to an entry.
func (r *Runner) Retire(now time.Time, incarnation string) {
	e := r.entry(incarnation)
	if e == nil || e.retiring || !e.session.IsUp() {
		return
	}
	e.retiring, e.retireSeq, e.stale, e.reportedAt = true, 0, true, time.Time{}
	r.decided(now, Decision{Event: "link_retiring", Entry: e.name})
}

// Keep takes back Retire while the link is open.
func (r *Runner) Keep(now time.Time, incarnation string) {
	e := r.entry(incarnation)
	if e == nil || !e.retiring || !e.session.IsUp() {
		return
	}
	e.retiring, e.stale = false, true
	r.decided(now, Decision{Event: "link_kept", Entry: e.name})
}

// retired reports whether the link to an entry may be closed.
func (r *Runner) retired(e *entry) bool {
	return e.retiring && e.session.IsUp() && e.retireSeq > 0 && e.session.Acked() >= e.retireSeq &&
		len(e.unsent) == 0 && e.session.Settled() && !r.runsOf(e)
}

// closeRetired asks the driver to close the links that are no longer used.
func (r *Runner) closeRetired() {
	for _, e := range r.entries {
		if r.retired(e) {
			r.ready.Closed = append(r.ready.Closed, e.incarnation)
		}
	}
}
