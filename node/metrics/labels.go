package metrics

import (
	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
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

// Waste is why a message need not have been sent.
type Waste uint8

// Kinds of waste.
const (
	// WasteRefusedStart is a start that the agent refused.
	WasteRefusedStart Waste = iota
	// WasteResentStart is a start sent again over a new link.
	WasteResentStart
	// WasteDuplicateStart is a start that the agent had already.
	WasteDuplicateStart
	// WasteReturnedCredit is a grant that came back unused.
	WasteReturnedCredit
	// WasteStaleFrame is a frame of an older link.
	WasteStaleFrame
	// WasteRepeatedResult is a result that the home had already.
	WasteRepeatedResult
	// WasteForward is a job that reached another entry than its home.
	WasteForward
	wasteCount
)

var wasteNames = [wasteCount]string{
	"refused_start", "resent_start", "duplicate_start", "returned_credit",
	"stale_frame", "repeated_result", "forward",
}

// Movement of credits.
type Movement uint8

// Movements.
const (
	CreditsGranted Movement = iota
	CreditsSpent
	CreditsRecalled
	CreditsReturned
	// CreditsLost ended with their link.
	CreditsLost
	movementCount
)

var movementNames = [movementCount]string{"granted", "spent", "recalled", "returned", "lost"}

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
