package runner

// Reasons of refusals. Entries act on some of them.
const (
	// ReasonRoom: there is no room now.
	ReasonRoom = "no room"
	// ReasonWaited: no room came free in the time that the order could wait.
	ReasonWaited = "no room in time"
	// ReasonLate: the order arrived later than it may be started.
	ReasonLate = "order too late"
	// ReasonOldRun: the worker knows a run of the task with a higher number.
	ReasonOldRun = "run number too low"
	// ReasonDouble: a run of the task has not ended here.
	ReasonDouble = "task still runs here"
	// ReasonHeld: the worker takes nothing; see WorkerState.Held.
	ReasonHeld = "worker takes no orders"
	// ReasonUnanswered: the worker left the start unanswered, and it is fenced.
	ReasonUnanswered = "start unanswered"
	// ReasonWorker: the worker refused.
	ReasonWorker = "worker refused"
	// ReasonStopped: the entry stopped the order before it began.
	ReasonStopped = "stopped before it began"
)

// Reasons of lost runs. Entries act on the first.
const (
	// ReasonCrashed: the worker crashed soon after it was told to start the run.
	ReasonCrashed = "worker crashed at the start"
	// ReasonCrashedLater: the worker crashed while the run had gone on for a while.
	ReasonCrashedLater = "worker crashed"
)

// Reasons for which a worker takes no orders.
const (
	HeldNone      = ""
	HeldUnknown   = "no worker known"
	HeldDraining  = "worker is draining"
	HeldSilent    = "worker does not answer"
	HeldForeign   = "runs of an earlier process have not ended"
	HeldLeaving   = "agent is shutting down"
	HeldUnlooked  = "worker not looked at yet"
	HeldStatement = "worker states no capacity"
	// HeldRetiring: this agent closes its link to the entry.
	HeldRetiring = "agent is linked to other entries"
	// HeldEvacuated: operators have evacuated the failure domain.
	HeldEvacuated = "failure domain is evacuated"
)

// held says why no order may start.
func (r *Runner) held() string {
	switch {
	case r.leaving:
		return HeldLeaving
	case r.Evacuated():
		return HeldEvacuated
	case !r.known:
		return HeldUnknown
	case r.worker.Draining:
		return HeldDraining
	case r.worker.Capacity.CPUMillis <= 0:
		return HeldStatement
	case r.silent:
		return HeldSilent
	case !r.looked:
		return HeldUnlooked
	}
	for _, x := range r.order {
		if x.foreign {
			return HeldForeign
		}
	}
	return HeldNone
}
