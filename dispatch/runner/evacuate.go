package runner

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Evacuated reports whether this agent's failure domain is known to be evacuated.
func (r *Runner) Evacuated() bool { return r.evacuations.Has(r.opts.FailureDomain) }

// setEvacuations takes in which failure domains are evacuated, as an entry knows them;
// nil says nothing. In an evacuated domain nothing starts: what waits goes back to its
// entries, and what runs goes on.
//
// The agent alone starts tasks, so it holds this on every path: orders on their way, what
// waits for room, further attempts, and orders of entries that don't know yet.
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
	r.decided(now, Decision{Event: event, Entry: from.name, Reason: r.opts.FailureDomain})
	r.flushQueue(now)
	r.tellAtOnce()
}
