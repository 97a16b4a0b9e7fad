package runner

// Reasons of refusals. Entries act on some of them.
const (
	// ReasonNoCapacity: the worker has not enough free capacity now.
	ReasonNoCapacity = "no room"
	// ReasonWaitTimeout: not enough capacity became free in the time that the order could wait.
	ReasonWaitTimeout = "no room in time"
	// ReasonStaleOrder: the order is stale; it arrived later than it may be started.
	ReasonStaleOrder = "order too late"
	// ReasonOldRun: the worker knows a run of the task with a higher number.
	ReasonOldRun = "run number too low"
	// ReasonAlreadyRunning: a run of the task has not ended here.
	ReasonAlreadyRunning = "task still runs here"
	// ReasonNotAccepting: the worker takes no orders; see WorkerState.Held.
	ReasonNotAccepting = "worker takes no orders"
	// ReasonUnanswered: the worker did not answer the start, and the run is fenced.
	ReasonUnanswered = "start unanswered"
	// ReasonWorkerRefused: the worker refused the start.
	ReasonWorkerRefused = "worker refused"
	// ReasonStopped: the entry stopped the order before the run began.
	ReasonStopped = "stopped before it began"
)

// Reasons of lost runs. Entries act on the first.
const (
	// ReasonCrashedAtStart: the worker crashed soon after it was told to start the run.
	ReasonCrashedAtStart = "worker crashed at the start"
	// ReasonCrashedLater: the worker crashed after the run had gone on for a while.
	ReasonCrashedLater = "worker crashed"
	// ReasonLeaseLapsed: the worker was out of reach for longer than its lease lasts.
	ReasonLeaseLapsed = "the lease has lapsed"
	// reasonUnlisted: the worker stopped listing the run without an end.
	reasonUnlisted = "not listed any more"
)

// Reasons for which a worker takes no orders.
const (
	HeldNone         = ""
	HeldNoWorker     = "no worker known"
	HeldDraining     = "worker is draining"
	HeldUnresponsive = "worker does not answer"
	HeldOrphaned     = "runs of an earlier process have not ended"
	HeldShuttingDown = "agent is shutting down"
	HeldNotPolled    = "worker not looked at yet"
	HeldNoCapacity   = "worker states no capacity"
	// HeldRetiring: this agent closes its link to the entry.
	HeldRetiring = "agent is linked to other entries"
	// HeldEvacuated: operators have evacuated the failure domain.
	HeldEvacuated = "failure domain is evacuated"
)

// heldReason returns why no order may start.
func (r *Runner) heldReason() string {
	switch {
	case r.leaving:
		return HeldShuttingDown
	case r.Evacuated():
		return HeldEvacuated
	case !r.known:
		return HeldNoWorker
	case r.worker.Draining:
		return HeldDraining
	case r.worker.Capacity.CPUMillis <= 0:
		return HeldNoCapacity
	case r.unresponsive:
		return HeldUnresponsive
	case !r.polled:
		return HeldNotPolled
	}
	if r.hasOrphaned() {
		return HeldOrphaned
	}
	return HeldNone
}
