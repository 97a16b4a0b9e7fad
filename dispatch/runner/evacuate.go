package runner

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Evacuated reports whether this agent's failure domain is known to be evacuated.
func (r *Runner) Evacuated() bool { return r.evacuations.Has(r.opts.FailureDomain) }

// setEvacuations merges the evacuated failure domains that an entry knows of; nil carries no
// information. In an evacuated domain nothing starts: queued orders are returned to their
// entries, and runs in progress go on.
//
// The agent alone starts tasks, so enforcing it here covers every path: orders in transit,
// queued orders, retries, and orders of entries that have not been notified yet.
func (r *Runner) setEvacuations(now time.Time, from *entry, m *pb.Evacuations) {
	before := r.Evacuated()
	if !r.evacuations.Merge(m) {
		return
	}
	after := r.Evacuated()
	if before == after {
		return
	}
	event := "domain_restored"
	if after {
		event = "domain_evacuated"
	}
	r.logDecision(now, Decision{Event: event, Entry: from.name, Reason: r.opts.FailureDomain})
	r.flushQueue(now)
	r.reportStateNow()
}
