package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// crashRecord records that the worker crashed while a run of a task was, or may have been, on
// it.
type crashRecord struct {
	at     time.Time
	report *pb.TaskCrash
}

const (
	// startCrashWindow is the time after its start within which a crash of the worker is
	// attributed to a task. It ends at the worker's last answer, since the crash itself may be
	// noticed much later.
	startCrashWindow = 2 * pollInterval
	// crashRetention is how long a crash is reported on new links. Callers resubmit their jobs
	// within seconds.
	crashRetention = time.Minute
	// maxCrashes bounds the crashes kept for a worker that crashes every few seconds.
	maxCrashes = 256
)

// handleSuperseded handles that another incarnation has taken the place of the worker's current one,
// which has mostly crashed. The answers to earlier calls may be those of the other one.
func (r *Runner) handleSuperseded(now time.Time, how string) {
	if r.known && !r.worker.Draining {
		r.recordCrashes(now)
	}
	r.workerGone(now, how, unlisted, func(x *run) string {
		switch {
		case r.worker.Draining:
			return how
		case r.crashedAtStart(x):
			return ReasonCrashedAtStart
		}
		return ReasonCrashedLater
	})
}

// crashedAtStart reports whether the worker may have crashed soon after the run started.
func (r *Runner) crashedAtStart(x *run) bool { return r.polledAt.Sub(x.startedAt) <= startCrashWindow }

// recordCrashes reports to all entries the tasks during which the worker crashed, so that none
// of them retries such a task as if it were harmless.
func (r *Runner) recordCrashes(now time.Time) {
	reports := append(r.suspects, r.crashReports()...)
	r.suspects = nil
	for _, m := range reports {
		r.crashes = append(r.crashes, crashRecord{now, m})
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	for _, e := range r.entries {
		e.crashes = append(e.crashes, reports...)
	}
	r.reportStateNow()
}

// crashReports lists the tasks during which the worker has crashed. A start without an answer
// may never have arrived, so its task is listed only if no other task on the worker had just
// started.
func (r *Runner) crashReports() []*pb.TaskCrash {
	var reports, recent, unconfirmed []*pb.TaskCrash
	for _, x := range r.runList {
		if x.phase == queued || x.phase == superseded || x.orphaned {
			continue
		}
		m := &pb.TaskCrash{Task: x.task, Worker: r.worker.Incarnation.String(), AtStart: r.crashedAtStart(x)}
		switch {
		case unanswered(x):
			unconfirmed = append(unconfirmed, m)
			continue
		case m.AtStart:
			recent = append(recent, m)
		}
		reports = append(reports, m)
	}
	if len(recent) == 0 && len(unconfirmed) == 1 {
		recent, reports = unconfirmed, append(reports, unconfirmed[0])
	}
	if len(recent) == 1 {
		recent[0].Alone = true
	}
	return reports
}

// recentCrashes returns the crashes to report on a new link.
func (r *Runner) recentCrashes(now time.Time) []*pb.TaskCrash {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crashRecord) bool { return now.Sub(c.at) > crashRetention })
	var out []*pb.TaskCrash
	for _, c := range r.crashes {
		out = append(out, c.report)
	}
	return out
}
