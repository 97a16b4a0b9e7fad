package metrics

import (
	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
)

const namespace = "papayahoist"

// MaxContracts is the maximum number of contracts with a label of their own. Others
// share OtherContract.
const MaxContracts = 256

// OtherContract is the label of contracts beyond MaxContracts and of requests that
// don't name a configured contract.
const OtherContract = "other"

// refusalCodes are the codes of jobs that are answered as not run.
var refusalCodes = []jobs.Code{
	jobs.CodeBadRequest, jobs.CodeUnauthorized, jobs.CodeConflict, jobs.CodeTooLarge,
	jobs.CodeUnknownContract, jobs.CodeRateLimited, jobs.CodeQueueFull, jobs.CodeOverloaded,
	jobs.CodeDoesNotFit, jobs.CodeDeadline, jobs.CodeCancelled, jobs.CodeAgentLost,
	jobs.CodeHomeLost, jobs.CodeLeaving, jobs.CodeUnavailable,
}

// otherCode is the label of codes not in refusalCodes.
const otherCode = "other"

// MessageKind is the kind of a message between processes. A link frame with several
// contents has the kind that comes first in the order of the constants.
type MessageKind uint8

// Kinds of messages.
const (
	MessageHello MessageKind = iota
	MessageStart
	MessageUpdate
	MessageRevoke
	MessageFence
	MessageCredits
	MessageFinished
	MessageConfig
	MessageLeaving
	// MessageHeartbeat carries only an acknowledgement and the load.
	MessageHeartbeat
	MessageAnnounce
	MessageForward
	MessageExchange
	messageCount
)

var messageNames = [messageCount]string{
	"hello", "start", "news", "revoke", "fence", "credits", "finished", "config",
	"leaving", "heartbeat", "announce", "forward", "exchange",
}

// betweenEntries reports whether the kind is exchanged between entries only.
func (m MessageKind) betweenEntries() bool { return m == MessageForward || m == MessageExchange }

// entryOnlyEvents are the event kinds that agents never record.
var entryOnlyEvents = map[event.Kind]bool{
	event.JobAccepted:     true,
	event.JobJoined:       true,
	event.JobForwarded:    true,
	event.JobRefused:      true,
	event.JobCancelled:    true,
	event.JobAnswered:     true,
	event.TaskDispatched:  true,
	event.TaskResent:      true,
	event.TaskUnknown:     true,
	event.WorkerSuspended: true,
	event.WorkerTrial:     true,
	event.WorkerResumed:   true,
	event.StoreLost:       true,
	event.StoreBack:       true,
}

// EntryFrameKind returns the kind of an entry's frame.
func EntryFrameKind(f *pb.EntryFrame) MessageKind {
	switch {
	case f.Hello != nil:
		return MessageHello
	case len(f.Starts) > 0:
		return MessageStart
	case len(f.Revokes) > 0:
		return MessageRevoke
	case len(f.Fences) > 0:
		return MessageFence
	case f.Want > 0 || f.Returned > 0:
		return MessageCredits
	case len(f.Finished) > 0:
		return MessageFinished
	case len(f.Contracts) > 0:
		return MessageConfig
	case f.Leaving:
		return MessageLeaving
	}
	return MessageHeartbeat
}

// AgentFrameKind returns the kind of an agent's frame.
func AgentFrameKind(f *pb.AgentFrame) MessageKind {
	switch {
	case f.Hello != nil:
		return MessageHello
	case len(f.News) > 0:
		return MessageUpdate
	case len(f.Fenced) > 0:
		return MessageFence
	case f.Granted > 0 || f.Recall > 0:
		return MessageCredits
	case f.Leaving:
		return MessageLeaving
	}
	return MessageHeartbeat
}

// Direction is the direction of a message.
type Direction uint8

// Directions of messages.
const (
	Sent Direction = iota
	Received
	directionCount
)

var directionNames = [directionCount]string{"sent", "received"}

// Events that indicate an unnecessary message, with the value of the reason label.
// Most events are recorded at both ends of a link, but each message is counted at
// one end only, so that sums over all processes are correct. Frames that only
// transfer credits or keep a link alive are counted by their kind.
var (
	entryWasteReasons = map[event.Kind]string{
		event.JobForwarded: "forwarded_job",
	}
	agentWasteReasons = map[event.Kind]string{
		event.TaskRefused:   "refused_start",
		event.TaskDuplicate: "duplicate_start",
	}
)

// creditMovements maps the events that transfer credits to the value of the movement
// label. The value of such an event is the number of credits.
var creditMovements = map[event.Kind]string{
	event.CreditsGranted:  "granted",
	event.CreditsRecalled: "recalled",
	event.CreditsReturned: "returned",
	event.CreditsLost:     "lost",
}

// StoreCall is the kind of a call to the platform's store.
type StoreCall uint8

// Kinds of store calls. A long-running watch counts as one call.
const (
	StoreGet StoreCall = iota
	StoreList
	StoreWrite
	StoreWatch
	StoreLease
	storeCallCount
)

var storeCallNames = [storeCallCount]string{"get", "list", "write", "watch", "lease"}
