package soak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each promise must be able to be broken, or its check proves nothing; and what is
// allowed must not be taken for a breach.
func TestLedgerFinds(t *testing.T) {
	const task = "0a.0.0.0"
	spec := specification{Job: "0a", CPU: 600}
	for _, c := range []struct {
		name string
		do   func(l *Ledger, one, two *life)
		want []string
	}{
		{"a task runs, fails, and runs elsewhere", func(l *Ledger, one, two *life) {
			l.Began(1, one, task, 1, spec)
			l.Ended(one, task, "failed")
			l.Began(2, two, task, 2, spec)
			l.Ended(two, task, "done")
			l.Answered(3, "0a", true)
		}, nil},
		{"a task crashes five workers", func(l *Ledger, one, _ *life) {
			for run := range uint32(crashStarts) {
				l.Began(1, one, task, run, specification{Job: "0a", CPU: 600, Crashes: true})
				l.LifeOver(one)
				one.over, one.running = false, map[string]taskRun{}
			}
		}, nil},
		{"a task crashes six workers", func(l *Ledger, one, _ *life) {
			for run := range uint32(crashStarts + 1) {
				l.Began(1, one, task, run, specification{Job: "0a", CPU: 600, Crashes: true})
				l.LifeOver(one)
				one.over, one.running = false, map[string]taskRun{}
			}
		}, []string{promiseCrashes}},
		{"a job is given up after one worker has crashed", func(l *Ledger, one, _ *life) {
			l.Began(1, one, task, 1, spec)
			l.LifeOver(one)
			l.Answered(2, "0a", false)
		}, []string{promiseWhole}},
		{"a job is given up after two workers have crashed", func(l *Ledger, one, two *life) {
			l.Began(1, one, task, 1, spec)
			l.LifeOver(one)
			l.Began(2, two, task, 2, spec)
			l.LifeOver(two)
			l.Answered(3, "0a", false)
		}, nil},
		{"a task begins beyond a capacity that has shrunk", func(l *Ledger, one, _ *life) {
			l.Resized(one, 500)
			l.Began(1, one, task, 1, spec)
		}, []string{promiseRoom}},
		{"a task runs twice at a time", func(l *Ledger, one, two *life) {
			l.Began(1, one, task, 1, spec)
			l.Began(2, two, task, 2, spec)
		}, []string{promiseOneRun}},
		{"a task begins long after its worker's domain was evacuated", func(l *Ledger, one, _ *life) {
			l.Evacuated(1, one.domain)
			l.Began(time.Hour, one, task, 1, spec)
		}, []string{promiseEvacuated}},
		{"a task begins while an evacuation spreads", func(l *Ledger, one, _ *life) {
			l.Evacuated(1, one.domain)
			l.Began(2, one, task, 1, spec)
		}, nil},
		{"a task begins in another domain", func(l *Ledger, _, two *life) {
			l.Evacuated(1, "hall")
			l.Began(time.Hour, two, task, 1, spec)
		}, nil},
		{"a task begins after the domain was restored", func(l *Ledger, one, _ *life) {
			l.Evacuated(1, one.domain)
			l.Restored(one.domain)
			l.Began(time.Hour, one, task, 1, spec)
		}, nil},
		{"a task runs again after its worker is gone", func(l *Ledger, one, two *life) {
			l.Began(1, one, task, 1, spec)
			l.LifeOver(one)
			l.Began(2, two, task, 2, spec)
		}, nil},
		{"a task runs again after a lease has lapsed", func(l *Ledger, one, two *life) {
			l.Began(1, one, task, 1, spec)
			one.lapsed = func() bool { return true }
			l.Began(2, two, task, 2, spec)
		}, nil},
		{"a task begins after its job was completed", func(l *Ledger, one, _ *life) {
			l.Began(1, one, task, 1, spec)
			l.Ended(one, task, "done")
			l.Answered(2, "0a", true)
			l.Began(3, one, task, 2, spec)
		}, []string{promiseDone}},
		{"a job is refused that has begun", func(l *Ledger, one, _ *life) {
			l.Began(1, one, task, 1, spec)
			l.Refused(2, "0a")
		}, []string{promiseNotRun, promiseNotRun}},
		{"a refused job begins", func(l *Ledger, one, _ *life) {
			l.Refused(1, "0a")
			l.Began(2, one, task, 1, spec)
		}, []string{promiseNotRun, promiseNotRun}},
		{"a refused job is sent again", func(l *Ledger, one, _ *life) {
			l.Refused(1, "0a")
			l.Asked(2, "0a", "/q/", 1)
			l.Began(3, one, task, 1, spec)
		}, nil},
		{"a worker gets more than it has room for", func(l *Ledger, one, _ *life) {
			l.Began(1, one, task, 1, spec)
			l.Began(1, one, "0a.0.0.1", 1, spec)
		}, []string{promiseRoom}},
		{"a job is completed with a task that hasn't run", func(l *Ledger, _, _ *life) {
			l.Answered(1, "0a", true)
		}, []string{promiseWhole}},
		{"a job fails without a failed run", func(l *Ledger, _, _ *life) {
			l.Answered(1, "0a", false)
		}, []string{promiseWhole}},
		{"a worker gets what nobody sent", func(l *Ledger, one, _ *life) {
			l.Began(1, one, "0b.0.0.0", 1, spec)
		}, []string{promiseOwn}},
		{"a worker gets what another caller sent", func(l *Ledger, one, _ *life) {
			l.Began(1, one, task, 1, specification{Job: "0c"})
		}, []string{promiseOwn}},
		{"a leaving worker gets work at once", func(l *Ledger, one, _ *life) {
			l.Draining(1, one)
			l.Began(2, one, task, 1, spec)
		}, nil},
		{"a leaving worker gets work after the bound", func(l *Ledger, one, _ *life) {
			l.Draining(1, one)
			l.Began(2*drainBound, one, task, 1, spec)
		}, []string{promiseDrain}},
		{"a job of a dropped queue begins that was sent in time", func(l *Ledger, one, _ *life) {
			l.Queues(time.Second, nil, []string{"/q/"})
			l.Began(3*configurationBound, one, task, 1, spec)
		}, nil},
		{"a job of a dropped queue begins that was sent late", func(l *Ledger, one, _ *life) {
			l.Queues(time.Second, nil, []string{"/q/"})
			l.Asked(3*configurationBound, "0a", "/q/", 1)
			l.Began(3*configurationBound, one, task, 1, spec)
		}, []string{promiseRoute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(func(time.Duration) bool { return true })
			l.Asked(0, "0a", "/q/", 1)
			c.do(l, testLife("one"), testLife("two"))
			l.Close(time.Minute)
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

func testLife(name string) *life {
	return &life{name: name, domain: "domain of " + name, capacity: 1000, running: map[string]taskRun{}, lapsed: func() bool { return false }}
}
