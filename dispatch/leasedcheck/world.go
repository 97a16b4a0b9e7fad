package leasedcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Options of a run.
type Options struct {
	Seed    uint64
	Entries int
	Agents  int
	// Links is the number of entries that an agent is linked to; zero means all. With a
	// subset, a change of its members is one of the faults.
	Links int
	Jobs  int
	// Faults is the number of faults injected while jobs arrive.
	Faults int
	// Evacuations is how many times operators evacuate or restore a failure domain while
	// jobs arrive. The store drops its history as often.
	Evacuations int
	// Stalls makes half of the freezes stalls: the process gets no CPU while its clocks
	// run, so that it can't notice. Callers resend at once what was not read.
	Stalls bool
	// SchedulingDelays makes each step of an entry wait for CPU, so that other inputs may
	// overtake it: check of a caller's connection, admission, passing frames to connections,
	// noticing that a caller has disconnected.
	SchedulingDelays bool
	// WorkerRestarts makes workers keep their identifier across restarts, and adds tasks
	// that crash their worker and changes of capacity.
	WorkerRestarts bool
	// MaxPerWorker is the highest limit on the tasks of a step that may run on one worker; each job
	// has a limit from one to it. Zero means no limits.
	MaxPerWorker int
	// SlowestWorkers makes workers' clocks as slow, and stops as long, as is allowed.
	SlowestWorkers bool
	// WorkerStalls makes workers get no CPU for a while, also when their agent can't call them: calls
	// are handled and leases end late, while the runs go on.
	WorkerStalls bool
	// Misleading is the set of misleading signs that occur while jobs arrive, and Signs their number.
	Misleading Misleading
	Signs      int
	// ReportInterval is the time between two reports of a worker. Default 300 ms.
	ReportInterval time.Duration
	// CheckReadEnds has starts checked against the successes that an agent has read and acknowledged.
	CheckReadEnds bool
	// Disabled is the set of disabled features.
	Disabled disabled.Set
	// Trace, if not nil, is called with each event.
	Trace func(string)
}

// Result summarizes a run.
type Result struct {
	// Violations lists the violated guarantees, each with its time.
	Violations []string
	Completed  int
	NotRun     int
	Other      int
	Starts     int
	// Crashes counts the worker crashes that tasks caused.
	Crashes int
	// Margins holds, for each reason to conclude from elapsed time that a run has ended, the least
	// time by which the run had ended before.
	Margins map[string]time.Duration
}

// World is the simulated system of one run. It is not safe for concurrent use.
type World struct {
	o        Options
	rand     *rand.Rand
	now      time.Time
	events   eventHeap
	sequence uint64

	times     bounds.Timeouts
	link      link.Options
	entries   []*entryNode
	agents    []*agentNode
	callers   []*caller
	checker   checker
	operators operators
	load      *loadRun // nil if no load is simulated
	frames    frameCounts
}

const (
	// arrivalTime is how long jobs arrive, and settleTime how long the simulation then
	// continues.
	arrivalTime = 8 * time.Second
	settleTime  = 25 * time.Second
	resendDelay = 1300 * time.Millisecond
)

// newWorld returns a World in which all processes are started.
func newWorld(o Options) *World {
	w := &World{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), now: time.Unix(1_000_000, 0)}
	w.times, _ = bounds.Derive(bounds.Params{ResendAfter: resendDelay, MaxLease: time.Second, StopTime: 50 * time.Millisecond})
	w.link = link.Options{AckDelay: 70 * time.Millisecond, AckTimeout: 430 * time.Millisecond, Heartbeat: time.Second, HeartbeatTimeout: 2500 * time.Millisecond}
	w.operators = operators{w: w, revision: 1, evacuated: map[string]time.Time{}}
	w.checker = checker{w: w, running: map[string]map[*simWorker]uint32{}, started: map[string]bool{}, succeeded: map[string]bool{}, acknowledged: map[string]bool{}, refused: map[string]bool{}, starts: map[string]int{}}
	for i := range o.Entries {
		w.entries = append(w.entries, newEntryNode(w, i))
	}
	for i := range o.Agents {
		w.agents = append(w.agents, newAgentNode(w, i))
	}
	if o.Links > 0 {
		var names []string
		for _, e := range w.entries {
			names = append(names, e.name)
		}
		for _, e := range w.entries {
			e.decide(func(time.Time) { e.core.SetEntries(names) })
		}
	}
	return w
}

// Run simulates the schedule of o.Seed.
func Run(o Options) Result {
	w := newWorld(o)
	w.schedule(300*time.Millisecond, func() {
		for range o.Jobs {
			w.schedule(w.jitter(arrivalTime), w.newCaller)
		}
		for range o.Faults {
			w.schedule(w.jitter(arrivalTime), w.injectFault)
		}
		for range o.Signs {
			w.schedule(w.jitter(arrivalTime), w.injectMisleading)
		}
		for range o.Evacuations {
			w.schedule(w.jitter(arrivalTime), w.operators.toggleDomain)
			w.schedule(w.jitter(arrivalTime), w.operators.dropHistory)
		}
	})
	w.runFor(arrivalTime + settleTime)
	return w.checker.result()
}

// runFor simulates the events of the next d.
func (w *World) runFor(d time.Duration) {
	for end := w.now.Add(d); len(w.events) > 0 && w.events[0].at.Before(end); {
		w.step()
	}
}

// step simulates the next event.
func (w *World) step() {
	e := heap.Pop(&w.events).(*event)
	w.now = e.at
	e.f()
}

func (w *World) trace(format string, args ...any) {
	if w.o.Trace != nil {
		w.o.Trace(fmt.Sprintf("%8.1f ", float64(w.now.Sub(time.Unix(1_000_000, 0)).Microseconds())/1000) + fmt.Sprintf(format, args...))
	}
}

// jitter draws a duration below d.
func (w *World) jitter(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }

func (w *World) chance(p float64) bool { return w.rand.Float64() < p }

// schedule calls f after d.
func (w *World) schedule(d time.Duration, f func()) *event {
	w.sequence++
	e := &event{at: w.now.Add(d), sequence: w.sequence, f: f}
	heap.Push(&w.events, e)
	return e
}

// event is a function call scheduled at a time. Events at the same time run in the order
// of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	f        func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// process is the common part of entries and agents, which can freeze and be killed.
type process struct {
	w           *World
	name        string
	incarnation int // incremented when the process ends
	up          bool
	frozenUntil time.Time     // end of the last freeze
	frozenTotal time.Duration // total time of all freezes, including one in progress
	pending     []func()
	timer       *event
}

// steadyClock returns the process's clock that stops while the process is frozen.
func (p *process) steadyClock() time.Duration { return p.w.now.Sub(time.Unix(0, 0)) - p.frozenTotal }

// run calls f in the process, at once or, in order, when it is no longer frozen. It
// doesn't call f if the incarnation has ended by then.
func (p *process) run(incarnation int, f func()) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	if !p.w.now.Before(p.frozenUntil) && len(p.pending) == 0 {
		f()
		return
	}
	p.pending = append(p.pending, f)
	if len(p.pending) == 1 {
		p.w.schedule(max(0, p.frozenUntil.Sub(p.w.now)), func() { p.resume(incarnation) })
	}
}

func (p *process) resume(incarnation int) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	if p.w.now.Before(p.frozenUntil) {
		p.w.schedule(p.frozenUntil.Sub(p.w.now), func() { p.resume(incarnation) })
		return
	}
	pending := p.pending
	p.pending = nil
	for _, f := range pending {
		f()
	}
}

// after calls f in the process after d, unless its incarnation has ended.
func (p *process) after(d time.Duration, f func()) *event {
	incarnation := p.incarnation
	return p.w.schedule(d, func() { p.run(incarnation, f) })
}

func (p *process) terminate() {
	p.up = false
	p.incarnation++
	p.pending = nil
	p.frozenUntil = time.Time{}
}

// yield calls f in the process when the goroutine that does so gets CPU: immediately, unless
// scheduling is simulated.
func (p *process) yield(f func()) {
	if !p.w.o.SchedulingDelays {
		f()
		return
	}
	d := p.w.jitter(100 * time.Microsecond)
	if p.w.chance(0.05) {
		d += p.w.jitter(maxSchedulingDelay)
	}
	p.after(d, f)
}

// maxSchedulingDelay is how long a goroutine of a process that has CPU may wait for it.
const maxSchedulingDelay = 150 * time.Millisecond

// latency draws the latency of a message between processes: one to two milliseconds, and
// occasionally up to 120 ms more.
func (w *World) latency() time.Duration {
	d := time.Millisecond + w.jitter(time.Millisecond)
	if w.chance(0.01) {
		d += w.jitter(120 * time.Millisecond)
	}
	return d
}
