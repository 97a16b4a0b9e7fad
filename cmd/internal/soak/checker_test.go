package soak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each check must detect a breach of its promise, and must not report permitted
// behaviour.
func TestCheckerFindings(t *testing.T) {
	const task = "0a.0.0.0"
	spec := specification{Job: "0a", CPU: 600}
	for _, c := range []struct {
		name string
		do   func(l *Checker, one, two *workerIncarnation)
		want []string
	}{
		{"a task runs, fails, and runs elsewhere", func(l *Checker, one, two *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.RunEnded(one, task, "failed")
			l.RunStarted(2, two, task, 2, spec)
			l.RunEnded(two, task, "done")
			l.JobAnswered(3, "0a", true)
		}, nil},
		{"a task crashes five workers", func(l *Checker, one, _ *workerIncarnation) {
			for run := range uint32(maxCrashStarts) {
				l.RunStarted(1, one, task, run, specification{Job: "0a", CPU: 600, Crashes: true})
				l.WorkerGone(one)
				one.gone, one.running = false, map[string]taskRun{}
			}
		}, nil},
		{"a task crashes six workers", func(l *Checker, one, _ *workerIncarnation) {
			for run := range uint32(maxCrashStarts + 1) {
				l.RunStarted(1, one, task, run, specification{Job: "0a", CPU: 600, Crashes: true})
				l.WorkerGone(one)
				one.gone, one.running = false, map[string]taskRun{}
			}
		}, []string{promiseCrashes}},
		{"a job fails after one worker has crashed", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.WorkerGone(one)
			l.JobAnswered(2, "0a", false)
		}, []string{promiseComplete}},
		{"a job fails after two workers have crashed", func(l *Checker, one, two *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.WorkerGone(one)
			l.RunStarted(2, two, task, 2, spec)
			l.WorkerGone(two)
			l.JobAnswered(3, "0a", false)
		}, nil},
		{"a task starts beyond a capacity that has shrunk", func(l *Checker, one, _ *workerIncarnation) {
			l.WorkerResized(one, 500)
			l.RunStarted(1, one, task, 1, spec)
		}, []string{promiseCapacity}},
		{"two runs of a task at a time", func(l *Checker, one, two *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.RunStarted(2, two, task, 2, spec)
		}, []string{promiseOneRun}},
		{"a task starts long after its worker's domain was evacuated", func(l *Checker, one, _ *workerIncarnation) {
			l.DomainEvacuated(1, one.domain)
			l.RunStarted(time.Hour, one, task, 1, spec)
		}, []string{promiseEvacuated}},
		{"a task starts while an evacuation spreads", func(l *Checker, one, _ *workerIncarnation) {
			l.DomainEvacuated(1, one.domain)
			l.RunStarted(2, one, task, 1, spec)
		}, nil},
		{"a task starts in another domain", func(l *Checker, _, two *workerIncarnation) {
			l.DomainEvacuated(1, "hall")
			l.RunStarted(time.Hour, two, task, 1, spec)
		}, nil},
		{"a task starts after the domain was restored", func(l *Checker, one, _ *workerIncarnation) {
			l.DomainEvacuated(1, one.domain)
			l.DomainRestored(one.domain)
			l.RunStarted(time.Hour, one, task, 1, spec)
		}, nil},
		{"a task runs again after its worker is gone", func(l *Checker, one, two *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.WorkerGone(one)
			l.RunStarted(2, two, task, 2, spec)
		}, nil},
		{"a task runs again after a lease has lapsed", func(l *Checker, one, two *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			one.leaseLapsed = func() bool { return true }
			l.RunStarted(2, two, task, 2, spec)
		}, nil},
		{"a task starts after its job was completed", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.RunEnded(one, task, "done")
			l.JobAnswered(2, "0a", true)
			l.RunStarted(3, one, task, 2, spec)
		}, []string{promiseNoRestart}},
		{"a job is refused that has started", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.JobRefused(2, "0a")
		}, []string{promiseNotRun, promiseNotRun}},
		{"a refused job starts", func(l *Checker, one, _ *workerIncarnation) {
			l.JobRefused(1, "0a")
			l.RunStarted(2, one, task, 1, spec)
		}, []string{promiseNotRun, promiseNotRun}},
		{"a refused job is sent again", func(l *Checker, one, _ *workerIncarnation) {
			l.JobRefused(1, "0a")
			l.JobSent(2, "0a", "/q/", 1)
			l.RunStarted(3, one, task, 1, spec)
		}, nil},
		{"a worker gets more than its capacity", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, task, 1, spec)
			l.RunStarted(1, one, "0a.0.0.1", 1, spec)
		}, []string{promiseCapacity}},
		{"a job is completed with a task that hasn't run", func(l *Checker, _, _ *workerIncarnation) {
			l.JobAnswered(1, "0a", true)
		}, []string{promiseComplete}},
		{"a job fails without a failed run", func(l *Checker, _, _ *workerIncarnation) {
			l.JobAnswered(1, "0a", false)
		}, []string{promiseComplete}},
		{"a worker gets a task that nobody sent", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, "0b.0.0.0", 1, spec)
		}, []string{promisePayload}},
		{"a worker gets the payload of another job", func(l *Checker, one, _ *workerIncarnation) {
			l.RunStarted(1, one, task, 1, specification{Job: "0c"})
		}, []string{promisePayload}},
		{"a leaving worker gets work at once", func(l *Checker, one, _ *workerIncarnation) {
			l.WorkerDraining(1, one)
			l.RunStarted(2, one, task, 1, spec)
		}, nil},
		{"a leaving worker gets work after the bound", func(l *Checker, one, _ *workerIncarnation) {
			l.WorkerDraining(1, one)
			l.RunStarted(2*drainBound, one, task, 1, spec)
		}, []string{promiseDrain}},
		{"a job of a dropped queue starts that was sent in time", func(l *Checker, one, _ *workerIncarnation) {
			l.QueuesChanged(time.Second, nil, []string{"/q/"})
			l.RunStarted(3*configurationBound, one, task, 1, spec)
		}, nil},
		{"a job of a dropped queue starts that was sent late", func(l *Checker, one, _ *workerIncarnation) {
			l.QueuesChanged(time.Second, nil, []string{"/q/"})
			l.JobSent(3*configurationBound, "0a", "/q/", 1)
			l.RunStarted(3*configurationBound, one, task, 1, spec)
		}, []string{promiseRoute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewChecker(func(time.Duration) bool { return true })
			l.JobSent(0, "0a", "/q/", 1)
			c.do(l, testIncarnation("one"), testIncarnation("two"))
			l.CheckFinal(time.Minute)
			var got []string
			for _, f := range l.Findings() {
				got = append(got, f.Promise)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func testIncarnation(name string) *workerIncarnation {
	return &workerIncarnation{name: name, domain: "domain of " + name, capacity: 1000, running: map[string]taskRun{}, leaseLapsed: func() bool { return false }}
}
