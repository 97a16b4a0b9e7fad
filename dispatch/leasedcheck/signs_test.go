package leasedcheck

import (
	"testing"
	"time"
)

// misleadingSigns holds the promises under signs, in one schedule in ten alone and otherwise beside
// faults.
func misleadingSigns(t *testing.T, signs Misleading) {
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.Faults, o.Misleading, o.Signs = int(seed%10), signs, 4+int(seed%57)
		return o
	})
}

// A worker refuses connections for a while and its runs go on. Guards against an agent that takes
// it for ended, so that its tasks are started elsewhere beside them.
func TestPromisesHoldWhenLiveWorkersRefuseConnections(t *testing.T) {
	misleadingSigns(t, RefusedByWorkers)
}

// An entry refuses connections for a while and its jobs go on. Guards against an agent that forgets
// the entry's orders, which the entry then takes for lost with their link.
func TestPromisesHoldWhenLiveEntriesRefuseConnections(t *testing.T) {
	misleadingSigns(t, RefusedByEntries)
}

// A report of an incarnation that has ended arrives while the current one doesn't answer. Guards
// against an agent that takes it for the report of a new one.
func TestPromisesHoldWithLateReports(t *testing.T) { misleadingSigns(t, LateReports) }

// A worker says that it leaves and ends later. Guards against an agent that reports its runs as lost
// while they go on.
func TestPromisesHoldWhenWorkersLeaveBeforeTheirRunsEnd(t *testing.T) {
	misleadingSigns(t, EarlyLeave)
}

// Answers to polls lack the lists of runs and ends. Guards against an agent that takes what such an
// answer doesn't list for ended.
func TestPromisesHoldWithIncompleteAnswers(t *testing.T) { misleadingSigns(t, IncompleteAnswers) }

// Calls are answered as misdirected while the worker's incarnation lives. Guards against an agent
// that takes it for ended before another one has answered.
func TestPromisesHoldWhenCallsAreAnsweredAsMisdirected(t *testing.T) {
	misleadingSigns(t, Misdirected)
}

// Another incarnation answers at a worker's address and the earlier one's runs go on. Guards against an
// agent that takes them for ended before their lease has expired.
func TestPromisesHoldWhenWorkersRunOnAfterTheirSuccessorsAnswer(t *testing.T) {
	variants := []func(o *Options){
		func(*Options) {},
		func(o *Options) { o.SlowestWorkers = true },
		func(o *Options) { o.WorkerRestarts = true },
		func(o *Options) { o.Misleading |= EarlyLeave },
		func(o *Options) { o.WorkerStalls, o.SlowestWorkers = true, true },
	}
	promisesHold(t, func(seed uint64) Options {
		o := options(seed)
		o.Faults, o.Misleading, o.Signs = int(seed%10), Succeeded, 4+int(seed%57)
		variants[seed/10%uint64(len(variants))](&o)
		return o
	})
}

// A machine gets the name of one that was removed while that one's worker goes on. Guards against an
// entry that takes what isn't on the new machine's worker for ended.
func TestPromisesHoldWhenMachinesReuseNames(t *testing.T) { misleadingSigns(t, ReusedNames) }

const allSigns = RefusedByWorkers | RefusedByEntries | LateReports | EarlyLeave

// All misleading signs occur together, beside faults of all kinds and under each variant of the model.
// Guards against conclusions that only hold while a single sign is wrong.
func TestPromisesHoldUnderAllMisleadingSigns(t *testing.T) {
	for name, variant := range map[string]func(o *Options){
		"usual":                    func(*Options) {},
		"stalls":                   func(o *Options) { o.Stalls, o.SchedulingDelays = true, true },
		"slowest workers":          func(o *Options) { o.SlowestWorkers, o.MaxPerWorker = true, 3 },
		"link subsets":             func(o *Options) { o.Entries, o.Agents, o.Links, o.Evacuations = 5, 6, 2, 4 },
		"workers keep identifiers": func(o *Options) { o.WorkerRestarts = true },
	} {
		t.Run(name, func(t *testing.T) {
			promisesHold(t, func(seed uint64) Options {
				o := options(seed)
				o.Misleading, o.Signs, o.ReportInterval = allSigns, 4+int(seed%17), 1500*time.Millisecond
				variant(&o)
				return o
			})
		})
	}
}
