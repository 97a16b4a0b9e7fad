package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const (
	numEntries = 3
	numAgents  = 3
	// faultsEnd leaves time until scheduleEnd in which drains finish and deadlines pass,
	// so that both can be checked.
	faultsEnd   = 4 * time.Second
	scheduleEnd = 12 * time.Second
)

// World is the state of one schedule.
type World struct {
	clock
	rng      *rand.Rand
	profile  Profile
	contract *pb.Contract

	entries       []*entryProcess
	agents        []*agentProcess
	byIncarnation map[string]*entryProcess
	incarnations  int

	members    map[string]string // the store's list, name to incarnation
	storeDown  bool
	partitions map[string]bool // pairs of names that can't exchange new messages

	jobs        map[string]*jobTruth // by contract and id
	jobsInOrder []*jobTruth
	report      *Report
	trace       bool
}

// Report is the result of one schedule.
type Report struct {
	Seed       uint64
	Profile    string
	Violations []string
	Trace      []string
	// Jobs is the number of distinct jobs, Answers that of the first answers by outcome.
	Jobs    int
	Answers map[pb.Outcome]int
	// UnknownUnavoidable counts the answers "outcome unknown" for which no reachable
	// process knew the outcome, UnknownAvoidable the others.
	UnknownUnavoidable, UnknownAvoidable int
	Starts                               int
}

// Check runs the schedule of a seed until its end or the first violation. A panic of the
// code under test is reported as a violation. With trace set the report has a trace.
func Check(seed uint64, trace bool) (report *Report) {
	w := &World{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		profile: profiles[seed%uint64(len(profiles))],
		contract: &pb.Contract{
			Name: "desk", Class: pb.Class_CLASS_NORMAL, Weight: 1, Rate: 1000, Burst: 1000, Concurrency: 1000,
			MemoryBytes: 1 << 40, Waiting: 1000, DefaultTimeoutMs: 1500,
		},
		byIncarnation: make(map[string]*entryProcess),
		members:       make(map[string]string),
		partitions:    make(map[string]bool),
		jobs:          make(map[string]*jobTruth),
		trace:         trace,
	}
	w.now = time.Unix(1_000_000, 0)
	w.report = &Report{Seed: seed, Profile: w.profile.Name, Answers: make(map[pb.Outcome]int)}
	defer func() {
		if p := recover(); p != nil {
			w.violation("panic: %v", p)
			report = w.report
		}
	}()
	w.entries = make([]*entryProcess, numEntries)
	w.agents = make([]*agentProcess, numAgents)
	for i := range w.entries {
		w.startEntry(i)
	}
	for i := range w.agents {
		w.startAgent(i)
	}
	w.refreshMembers()
	w.scheduleFaults()
	w.scheduleCallers()
	end := w.now.Add(scheduleEnd)
	for len(w.report.Violations) == 0 && w.step(end) {
	}
	w.checkEnd()
	w.report.Jobs = len(w.jobs)
	return w.report
}

func (w *World) tracef(format string, args ...any) {
	if w.trace {
		at := w.now.Sub(time.Unix(1_000_000, 0))
		w.report.Trace = append(w.report.Trace, fmt.Sprintf("%9.3fms ", float64(at)/1e6)+fmt.Sprintf(format, args...))
	}
}

func (w *World) violation(format string, args ...any) {
	w.tracef("VIOLATION "+format, args...)
	w.report.Violations = append(w.report.Violations, fmt.Sprintf(format, args...))
}

func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// randomDuration returns a random duration from lo up to, but not including, hi, both in
// milliseconds.
func (w *World) randomDuration(lo, hi int) time.Duration {
	return time.Duration(lo+w.rng.IntN(hi-lo)) * time.Millisecond
}

func (w *World) randomDelay() time.Duration {
	d := time.Duration(200+w.rng.IntN(1500)) * time.Microsecond
	if w.chance(w.profile.slow) {
		d += w.randomDuration(5, 90)
	}
	return d
}

func (w *World) newIncarnation() string {
	w.incarnations++
	return fmt.Sprintf("%032x", w.incarnations)
}

func shortIncarnation(incarnation string) string { return strings.TrimLeft(incarnation, "0") }

func (w *World) agentNamed(name string) *agentProcess {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (w *World) entryNamed(name string) *entryProcess {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (w *World) partitioned(a, b string) bool { return w.partitions[a+b] || w.partitions[b+a] }

// readMembers refreshes an entry's view of the others, except during a store outage.
func (w *World) readMembers(e *entryProcess) {
	if w.storeDown {
		return
	}
	e.view = make(map[string]string)
	for name, inc := range w.members {
		e.view[inc] = name
	}
}

func (w *World) refreshMembers() {
	for _, e := range w.entries {
		w.run(&e.process, func() { w.readMembers(e) })
	}
	w.after(w.randomDuration(100, 300), w.refreshMembers)
}
