package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// crash is a crash of the worker while a run of a task was on it, or may have been.
type crash struct {
	at   time.Time
	what *pb.TaskCrash
}

const (
	// crashesWithin is how soon after its start a task that crashes its worker is taken to do
	// so. It counts until the worker answered last: its crash may be noticed much later.
	crashesWithin = 2 * lookWhileRunning
	// tellCrashesFor is how long a crash is told on new links: callers send their jobs again
	// within seconds.
	tellCrashesFor = time.Minute
	// maxCrashes bounds the crashes remembered: a worker that crashes every few seconds.
	maxCrashes = 256
)

// crashed takes in that the known life has ended without being asked to, and its runs
// with it. Nothing listens at its address.
func (r *Runner) crashed(now time.Time, how string) { r.endCrashed(now, how, unanswered) }

// succeeded is the same when another life of the worker has taken its place.
func (r *Runner) succeeded(now time.Time, how string) { r.endCrashed(now, how, unlisted) }

func (r *Runner) endCrashed(now time.Time, how string, doubtful func(*run) bool) {
	if r.known && !r.worker.Draining {
		r.noteCrashes(now)
	}
	r.gone(now, how, doubtful, func(x *run) string {
		switch {
		case r.worker.Draining:
			return how
		case r.atStart(x):
			return ReasonCrashed
		}
		return ReasonCrashedLater
	})
}

// atStart reports whether the worker may have crashed soon after the run began.
func (r *Runner) atStart(x *run) bool { return r.lookedAt.Sub(x.began) <= crashesWithin }

// noteCrashes has all entries told under which tasks the worker crashes: whichever runs one
// of them again must not take it for harmless.
func (r *Runner) noteCrashes(now time.Time) {
	told := r.crashedUnder()
	for _, m := range told {
		r.crashes = append(r.crashes, crash{now, m})
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	for _, e := range r.entries {
		e.crashes = append(e.crashes, told...)
	}
	r.tellAtOnce()
}

// crashedUnder lists the tasks under which the worker has crashed. A start without an answer
// may never have arrived, so its task is listed only if nothing else there had just begun.
func (r *Runner) crashedUnder() []*pb.TaskCrash {
	var told, begun, unsure []*pb.TaskCrash
	for _, x := range r.order {
		if x.phase == queued || x.phase == unfenced || x.foreign {
			continue
		}
		m := &pb.TaskCrash{Task: x.task, Worker: r.worker.Life.String(), AtStart: r.atStart(x)}
		switch {
		case unanswered(x):
			unsure = append(unsure, m)
			continue
		case m.AtStart:
			begun = append(begun, m)
		}
		told = append(told, m)
	}
	if len(begun) == 0 && len(unsure) == 1 {
		begun, told = unsure, append(told, unsure[0])
	}
	if len(begun) == 1 {
		begun[0].Alone = true
	}
	return told
}

// recentCrashes is what a new link is told.
func (r *Runner) recentCrashes(now time.Time) []*pb.TaskCrash {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > tellCrashesFor })
	var out []*pb.TaskCrash
	for _, c := range r.crashes {
		out = append(out, c.what)
	}
	return out
}
