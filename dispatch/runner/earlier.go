package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// earlierEnd is the end of a run that an earlier process of the agent started. Its entry waits for
// it, and this process doesn't know which one that is.
type earlierEnd struct {
	at     time.Time
	report *pb.RunEnd
}

const (
	// earlierEndRetention is how long an end is reported on new links. Entries don't wait longer for
	// the runs of an agent's earlier process.
	earlierEndRetention = time.Minute
	// maxEarlierEnds is as many as a worker keeps in two answers.
	maxEarlierEnds = 1000
)

// recordEarlierEnd reports the end of a run of an earlier process to all entries.
func (r *Runner) recordEarlierEnd(now time.Time, e End) {
	m := &pb.RunEnd{Task: e.Task, Run: e.Run, Worker: r.worker.Incarnation.String()}
	switch e.Ending {
	case EndedDone:
		m.State = pb.OrderState_ORDER_STATE_DONE
	case EndedFailed:
		m.State = pb.OrderState_ORDER_STATE_FAILED
	default:
		return // without a result, like all runs that the next clean state doesn't show
	}
	r.earlierEnds = append(r.earlierEnds, earlierEnd{now, m})
	r.earlierEnds = r.earlierEnds[max(0, len(r.earlierEnds)-maxEarlierEnds):]
	for _, x := range r.entries {
		if x.session.IsUp() {
			x.ends, x.flushNow = append(x.ends, m), true
		}
	}
	r.logDecision(now, Decision{Event: "earlier_run_ended", Task: e.Task, Run: e.Run, Reason: e.Ending.String()})
}

// recentEarlierEnds returns the ends to report on a new link.
func (r *Runner) recentEarlierEnds(now time.Time) []*pb.RunEnd {
	r.earlierEnds = slices.DeleteFunc(r.earlierEnds, func(e earlierEnd) bool { return now.Sub(e.at) > earlierEndRetention })
	var out []*pb.RunEnd
	for _, e := range r.earlierEnds {
		out = append(out, e.report)
	}
	return out
}
