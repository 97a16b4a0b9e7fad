package event

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. The comments state which process records the event and what Peer,
// Value and Detail hold. Job, Contract and Task are set where they apply.
const (
	// Unspecified is no event.
	Unspecified Kind = iota

	// JobAccepted is recorded by the home entry. Value: number of tasks.
	JobAccepted
	// JobJoined is recorded when a resubmission finds that the job is already known.
	JobJoined
	// JobForwarded is recorded by an entry that forwards a job. Peer: the home.
	JobForwarded
	// JobRefused is recorded when a job ends as "not run" before any dispatch.
	// Detail: the error code.
	JobRefused
	// JobCancelled is recorded when the caller cancels a job.
	JobCancelled
	// JobAnswered is recorded when the outcome is final. Detail: outcome and
	// error code. Value: milliseconds since the job was accepted.
	JobAnswered
	// JobFenced is recorded by an agent that will refuse every later start of a job,
	// and by the entry that requested it. Peer: the other side.
	JobFenced

	// CreditsGranted is recorded by the granting agent and the receiving entry.
	// Value: number of credits. Peer: the other side.
	CreditsGranted
	// CreditsRecalled is recorded by an agent that recalls credits.
	CreditsRecalled
	// CreditsReturned is recorded by the entry that returns credits, and by the agent.
	CreditsReturned
	// CreditsLost is recorded when credits are lost with their link.
	CreditsLost

	// TaskDispatched is recorded by the home entry. Peer: the agent.
	TaskDispatched
	// TaskResent is recorded when the home resends a start over a new link. Peer: the agent.
	TaskResent
	// TaskStarted is recorded by the agent. Peer: the entry.
	TaskStarted
	// TaskDuplicate is recorded by an agent that dropped a repeated start.
	TaskDuplicate
	// TaskResult is recorded by the agent at the end of a task, and by the home when
	// it receives the result. Detail: outcome. Value: run time in milliseconds.
	TaskResult
	// TaskRefused is recorded by an agent that will never start the task, and by the
	// home when it receives the refusal. Detail: reason.
	TaskRefused
	// TaskRevoked is recorded by the home that revokes a task, and by the agent that
	// complies.
	TaskRevoked
	// TaskUnknown is recorded by the home when it can no longer be determined whether
	// the task was started. Detail: reason.
	TaskUnknown
	// RecordsEvicted is recorded by an agent that dropped its records of old jobs.
	// Value: number of records.
	RecordsEvicted

	// LinkUp and LinkDown are recorded by both ends. Peer: the other side.
	// Value: epoch of the link. Detail: reason.
	LinkUp
	LinkDown
	// PeerSuspected is recorded when a peer missed an acknowledgement or heartbeat.
	PeerSuspected
	// PeerBack is recorded when a suspected peer responds again.
	PeerBack
	// PeerGone is recorded when a peer is abandoned or replaced. Detail: reason.
	PeerGone
	// WorkerSuspended is recorded by an entry that sends no work to a worker because
	// tasks fail there. Peer: its agent. Detail: reason.
	WorkerSuspended
	// WorkerTrial is recorded when a suspended worker gets a single task as a probe.
	WorkerTrial
	// WorkerResumed is recorded when a suspended worker gets work again.
	WorkerResumed

	// ConfigInForce is recorded when a contract's revision takes effect here.
	// Value: revision.
	ConfigInForce
	// ConfigStale is recorded when a stale revision is received and ignored.
	ConfigStale
	// StoreLost and StoreBack are recorded by entries. Detail: error.
	StoreLost
	StoreBack

	// ProcessStarted is the first event of a process. Detail: version.
	ProcessStarted
	// DrainBegun and DrainEnded mark the begin and end of a planned stop. Detail: what
	// was left.
	DrainBegun
	DrainEnded
	// ClockRejected is recorded when a peer's clock is too far ahead. Peer: that peer.
	ClockRejected

	kindCount
)

var kindNames = [kindCount]string{
	Unspecified:     "unspecified",
	JobAccepted:     "job-accepted",
	JobJoined:       "job-joined",
	JobForwarded:    "job-forwarded",
	JobRefused:      "job-refused",
	JobCancelled:    "job-cancelled",
	JobAnswered:     "job-answered",
	JobFenced:       "job-fenced",
	CreditsGranted:  "credits-granted",
	CreditsRecalled: "credits-recalled",
	CreditsReturned: "credits-returned",
	CreditsLost:     "credits-lost",
	TaskDispatched:  "task-dispatched",
	TaskResent:      "task-resent",
	TaskStarted:     "task-started",
	TaskDuplicate:   "task-duplicate",
	TaskResult:      "task-result",
	TaskRefused:     "task-refused",
	TaskRevoked:     "task-revoked",
	TaskUnknown:     "task-unknown",
	RecordsEvicted:  "records-evicted",
	LinkUp:          "link-up",
	LinkDown:        "link-down",
	PeerSuspected:   "peer-suspected",
	PeerBack:        "peer-back",
	PeerGone:        "peer-gone",
	WorkerSuspended: "worker-suspended",
	WorkerTrial:     "worker-trial",
	WorkerResumed:   "worker-resumed",
	ConfigInForce:   "config-in-force",
	ConfigStale:     "config-stale",
	StoreLost:       "store-lost",
	StoreBack:       "store-back",
	ProcessStarted:  "process-started",
	DrainBegun:      "drain-begun",
	DrainEnded:      "drain-ended",
	ClockRejected:   "clock-rejected",
}

// String returns the name of k as used in time lines.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return kindNames[Unspecified]
}

// ParseKind returns the kind with the given name. For other names, such as those sent
// by a newer process, it returns Unspecified and false.
func ParseKind(name string) (Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return Kind(k), true
		}
	}
	return Unspecified, false
}

// Kinds returns all kinds except Unspecified, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := Unspecified + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// AboutTask reports whether Event.Task is meaningful for events of kind k.
func (k Kind) AboutTask() bool {
	return k >= TaskDispatched && k <= TaskUnknown
}
