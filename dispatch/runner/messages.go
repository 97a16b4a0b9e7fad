package runner

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Decision is one decision, for the log.
type Decision struct {
	Event  string
	Task   string
	Run    uint32
	Entry  string
	Order  uint64
	Reason string
	// PollAge is the time since the last answered poll of the worker, on which the decision is
	// based.
	PollAge time.Duration
	// Elapsed is how long the run lasted.
	Elapsed time.Duration
	// LeaseLeft is how long the worker's lease may still last when a run is lost.
	LeaseLeft    time.Duration
	FreeCapacity size.Size
}

// Worker is a worker's report about itself.
type Worker struct {
	Incarnation
	Service   string
	Labels    []string
	Capacity  size.Size
	Draining  bool
	ColdStart time.Duration
	Sequence  uint64
}

// Start asks the driver to start a run.
type Start struct {
	Worker  Incarnation
	Task    string
	Run     uint32
	Payload string
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
	Token uint64
}

// Stop asks the driver to stop a run. The driver must report the answer.
type Stop struct {
	Worker Incarnation
	Task   string
	Run    uint32
	Token  uint64
}

// Poll asks the driver to renew the lease and to read which runs are in progress and which have
// ended.
type Poll struct {
	Worker Incarnation
	// Until is the end of the lease on the worker's clock; zero renews nothing.
	Until time.Duration
	Token uint64
	// LastEnd is the number of the last end recorded.
	LastEnd uint64
	// Wait is how long the worker may wait for an end before it answers. Slack is how much
	// longer the call may take.
	Wait, Slack time.Duration
	// callSeq orders polls and answered starts and stops.
	callSeq uint64
	// number counts the polls.
	number uint64
	sent   time.Time
}

// OutgoingFrame is a frame for an entry.
type OutgoingFrame struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.WorkerFrame
}

// Ready is what the driver must carry out.
type Ready struct {
	Starts []Start
	Stops  []Stop
	// Poll asks for a poll at once, in addition to one that may be waiting.
	Poll   bool
	Frames []OutgoingFrame
	// Reconnect lists the entries, by incarnation, whose link must be closed and opened again.
	Reconnect []string
	// Disconnect lists the entries, by incarnation, whose link is no longer used and must be
	// closed; see retire.go.
	Disconnect []string
}
