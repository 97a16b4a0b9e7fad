package leasedcheck

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var (
	seeds = flag.Int("leased.seeds", 100, "number of schedules to run")
	first = flag.Uint64("leased.first", 1, "first seed")
	trace = flag.Bool("leased.trace", false, "print the events of each schedule")
)

func options(seed uint64) Options {
	return Options{Seed: seed, Entries: 3, Agents: 4, Jobs: 120, Faults: int(seed % 12)}
}

// Faults of all kinds occur at any time, also together or repeatedly. A task must not run
// twice at the same time, and callers must not receive an incomplete answer, or NotRun
// for a job that has run.
func TestPromisesHoldUnderFaults(t *testing.T) { promisesHold(t, options) }

// Processes get no CPU for a while, which their clocks don't show. A job that waited in a
// socket meanwhile must not start if its caller has sent it elsewhere, and what a process
// believes of others must not be taken for recent.
func TestPromisesHoldWithStalls(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.Stalls = true
		return o
	})
}

// Workers get no CPU for a while, also when nothing else reaches them, so that leases end late. Guards
// against tasks that are started again when the lease should have ended, and hasn't yet.
func TestPromisesHoldWithStalledWorkers(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.Faults, o.WorkerStalls, o.SlowestWorkers = 4+int(seed%16), true, seed%2 == 0
		return o
	})
}

// In a fleet an agent is linked to a subset of the entries, and replaces one of them while
// jobs run and faults occur. An order in flight on a link that is closed must neither run
// without its entry's knowledge nor be reported as not run.
func TestPromisesHoldWithLinkSubsets(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		return Options{Seed: seed, Entries: 5, Agents: 6, Links: 2, Jobs: 120, Faults: int(seed % 16)}
	})
}

// Only a few tasks of a step may run on one worker, and steps are wider than that lets run at a
// time. Orders that are lost, refused or repeated must not bring a worker beyond the limit.
func TestPromisesHoldWithLimitsPerWorker(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.MaxPerWorker = 2
		return o
	})
}

// Operators evacuate and restore failure domains while faults occur, some entries can't
// reach the store, agents and entries restart, and the store drops its history. Nothing
// may start in a domain once its evacuation has had the time to spread. At the end all
// processes must have the last update: a domain that stays evacuated by mistake takes its
// workers out of use.
func TestPromisesHoldWithEvacuations(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		return Options{Seed: seed, Entries: 4, Agents: 6, Links: int(seed % 3), Jobs: 120, Faults: int(seed % 12), Evacuations: 1 + int(seed%16)}
	})
}

// Workers crash, also because of tasks that crash each worker that starts them, and
// restart under the same identifier with new clocks, sequences and run numbers, while
// calls to them are lost or late and their capacity changes. A run ordered from an earlier
// incarnation must neither go unnoticed on a later one nor count as ended while it may
// still start there.
func TestPromisesHoldWithWorkerRestarts(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		return Options{Seed: seed, Entries: 4, Agents: 5, Links: int(seed % 3), Jobs: 120, Faults: 2 + int(seed%14), WorkerRestarts: true}
	})
}

// Two faults occurred in these schedules. A start whose response was late was resent, the
// worker answered that the run is known, and the job was reported as not run. A task that
// crashed one worker after another was mistaken for a victim of a common cause.
func TestWorkerRestartRegressions(t *testing.T) {
	for _, seed := range []uint64{92, 165, 507, 1104, 5421} {
		if r := Run(Options{Seed: seed, Entries: 4, Agents: 5, Links: int(seed % 3), Jobs: 120, Faults: 2 + int(seed%14), WorkerRestarts: true}); len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
	}
}

// Agents are killed and started again, and nothing else fails. Guards against a next process that
// acknowledges the success of a run which its entry then orders again.
func TestAcknowledgedSuccessesAreNotRepeated(t *testing.T) {
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.Faults, o.Misleading, o.Signs, o.CheckReadEnds = 0, KilledAgents, 4+int(seed%17), true
		return o
	})
}

func promisesHold(t *testing.T, options func(seed uint64) Options) {
	t.Parallel()
	var total Result
	margins := map[string]time.Duration{}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		o := options(seed)
		if *trace {
			o.Trace = func(s string) { t.Log(s) }
		}
		r := Run(o)
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		total.Completed += r.Completed
		total.NotRun += r.NotRun
		total.Other += r.Other
		total.Starts += r.Starts
		for reason, d := range r.Margins {
			if least, ok := margins[reason]; !ok || d < least {
				margins[reason] = d
			}
		}
		if t.Failed() && seed > *first+20 {
			break
		}
	}
	t.Logf("%d jobs completed, %d not run, %d otherwise; %d starts; least margins: %v", total.Completed, total.NotRun, total.Other, total.Starts, margins)
}

// Without faults every accepted job is completed, except those whose tasks fail by
// themselves or whose callers disconnect. Results of single seeds vary with the arrivals
// drawn, so many are summed up.
func TestSchedulesWithoutFaultsComplete(t *testing.T) {
	t.Parallel()
	const seeds, jobs = 20, 40
	completed := 0
	for seed := range uint64(seeds) {
		r := Run(Options{Seed: seed, Entries: 3, Agents: 4, Jobs: jobs})
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
		completed += r.Completed
	}
	if want := seeds * jobs * 9 / 10; completed < want {
		t.Errorf("%d of %d jobs completed, want at least %d", completed, seeds*jobs, want)
	}
}

// A failing seed is useful only if the failure is reproducible. Guards against decisions
// that depend on map order: a draining entry iterated over its jobs in map order, and
// their outcomes differed between runs.
func TestSchedulesAreDeterministic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		runOnce := func() (events []string) {
			o := options(seed)
			o.Faults = 12
			o.Trace = func(s string) { events = append(events, s) }
			Run(o)
			return events
		}
		if one, other := runOnce(), runOnce(); !slices.Equal(one, other) {
			t.Errorf("seed %d gives different events the second time", seed)
		}
	}
}
