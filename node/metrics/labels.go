package metrics

import (
	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
)

const namespace = "papayahoist"

// MaxContracts bounds the contract label. Contracts beyond it share OtherContract.
const MaxContracts = 256

// OtherContract is the label of contracts beyond MaxContracts and of requests
// that name no contract of the configuration.
const OtherContract = "other"

// refusalCodes are the codes with which a job can end as "not run".
var refusalCodes = []jobs.Code{
	jobs.CodeBadRequest, jobs.CodeUnauthorized, jobs.CodeConflict, jobs.CodeTooLarge,
	jobs.CodeUnknownContract, jobs.CodeRateLimited, jobs.CodeQueueFull, jobs.CodeOverloaded,
	jobs.CodeDoesNotFit, jobs.CodeDeadline, jobs.CodeCancelled, jobs.CodeAgentLost,
	jobs.CodeHomeLost, jobs.CodeLeaving, jobs.CodeUnavailable,
}

// otherCode is the label of codes that are not listed.
const otherCode = "other"

// Message is the kind of a message between processes. A link frame has the
// kind of the first of its contents in the order of the constants.
type Message uint8

// Kinds of messages.
const (
	MessageHello Message = iota
	MessageStart
	MessageNews
	MessageRevoke
	MessageFence
	MessageCredits
	MessageFinished
	MessageConfig
	MessageLeaving
	// MessageHeartbeat carries nothing but acknowledgement and load.
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

// betweenEntries reports whether agents neither send nor receive the kind.
func (m Message) betweenEntries() bool { return m == MessageForward || m == MessageExchange }

// entryEvents are the kinds that agents never record.
var entryEvents = map[event.Kind]bool{
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
func EntryFrameKind(f *pb.EntryFrame) Message {
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
func AgentFrameKind(f *pb.AgentFrame) Message {
	switch {
	case f.Hello != nil:
		return MessageHello
	case len(f.News) > 0:
		return MessageNews
	case len(f.Fenced) > 0:
		return MessageFence
	case f.Granted > 0 || f.Recall > 0:
		return MessageCredits
	case f.Leaving:
		return MessageLeaving
	}
	return MessageHeartbeat
}

// Direction of a message.
type Direction uint8

// Directions.
const (
	Sent Direction = iota
	Received
	directionCount
)

var directionNames = [directionCount]string{"sent", "received"}

// The events that stand for a message that need not have been sent. Both ends of
// a link record most events; each message is counted at one end only, so that
// sums over the processes are right. Frames that only move credits or keep a link
// alive are told by their kind.
var (
	entryWaste = map[event.Kind]string{
		event.JobForwarded: "forwarded_job",
	}
	agentWaste = map[event.Kind]string{
		event.TaskRefused:   "refused_start",
		event.TaskDuplicate: "duplicate_start",
	}
)

// movements names the events that move credits; their values are the credits.
var movements = map[event.Kind]string{
	event.CreditsGranted:  "granted",
	event.CreditsRecalled: "recalled",
	event.CreditsReturned: "returned",
	event.CreditsLost:     "lost",
}

// StoreCall is a kind of call to the platform's store.
type StoreCall uint8

// Kinds of calls. A watch that waits counts as one call.
const (
	StoreGet StoreCall = iota
	StoreList
	StoreWrite
	StoreWatch
	StoreLease
	storeCallCount
)

var storeCallNames = [storeCallCount]string{"get", "list", "write", "watch", "lease"}
