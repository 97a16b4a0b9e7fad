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
	// Age is the time since the last answered poll of the worker, on which the decision is
	// based.
	Age time.Duration
	// Elapsed is how long the run lasted.
	Elapsed time.Duration
	Free    size.Size
}

// Worker is a worker's report about itself.
type Worker struct {
	Life
	Service  string
	Labels   []string
	Capacity size.Size
	Draining bool
	Cold     time.Duration
	Sequence uint64
}

// Start asks the driver to start a run.
type Start struct {
	Worker  Life
	Task    string
	Run     uint32
	Payload string
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
	Token uint64
}

// Stop asks the driver to stop a run. The driver must report the answer.
type Stop struct {
	Worker Life
	Task   string
	Run    uint32
	Token  uint64
}

// Look asks the driver to renew the lease and to read which runs are in progress and which have
// ended.
type Look struct {
	Worker Life
	// Until is the end of the lease on the worker's clock; zero renews nothing.
	Until time.Duration
	Token uint64
	// Seen is the number of the last end recorded.
	Seen uint64
	// Wait is how long the worker may wait for an end before it answers. Slack is how much
	// longer the call may take.
	Wait, Slack time.Duration
	// callSeq orders polls and answered starts and stops.
	callSeq uint64
	sent    time.Time
}

// Out is a frame for an entry.
type Out struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.WorkerFrame
}

// Ready is what the driver must carry out.
type Ready struct {
	Starts []Start
	Stops  []Stop
	// Look asks for a poll at once, in addition to one that may be waiting.
	Look   bool
	Frames []Out
	// Redial lists the entries, by incarnation, whose link must be closed and opened again.
	Redial []string
	// Closed lists the entries, by incarnation, whose link is no longer used and must be
	// closed; see retire.go.
	Closed []string
}
