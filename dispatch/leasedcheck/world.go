package leasedcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// Options of a run.
type Options struct {
	Seed    uint64
	Entries int
	Agents  int
	// Links is how many entries an agent is linked to; zero: all, always. Which ones
	// changes as a fault.
	Links int
	Jobs  int
	// Faults is how many faults happen in the time in which jobs arrive.
	Faults int
	// Evacuations is how many times operators evacuate or restore a failure domain in
	// that time, and as often the store forgets its history.
	Evacuations int
	// Reborn has workers keep their identifier when they begin anew, tasks that crash their
	// worker, and capacities that change.
	Reborn bool
	// Without are mechanisms that are switched off.
	Without without.Set
	// Trace is told of each event; nil: nobody.
	Trace func(string)
}

// Result is what a run has shown.
type Result struct {
	// Broken lists the promises that were broken, with their moments.
	Broken    []string
	Completed int
	NotRun    int
	Other     int
	Starts    int
	// Crashes are those that tasks caused.
	Crashes int
}

// World is everything of one run.
type World struct {
	o      Options
	rand   *rand.Rand
	now    time.Time
	events eventHeap
	number uint64

	times     bounds.Times
	link      link.Options
	entries   []*entryNode
	agents    []*agentNode
	callers   []*caller
	checker   checker
	operators operators
	load      *loadPlay // nil: none is played
	frames    frameCounts
}

const (
	// traffic is how long jobs arrive, and settle how long the world then goes on.
	traffic = 8 * time.Second
	settle  = 25 * time.Second
	resend  = 1300 * time.Millisecond
)

// newWorld starts all processes.
func newWorld(o Options) *World {
	w := &World{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), now: time.Unix(1_000_000, 0)}
	w.times, _ = bounds.Derive(bounds.Given{Resend: resend, MaxLease: time.Second, Stop: 50 * time.Millisecond})
	w.link = link.Options{AckDelay: 70 * time.Millisecond, AckTimeout: 430 * time.Millisecond, Heartbeat: time.Second, HeartbeatTimeout: 2500 * time.Millisecond}
	w.operators = operators{w: w, revision: 1, evacuated: map[string]time.Time{}}
	w.checker = checker{w: w, running: map[string]map[*simWorker]uint32{}, started: map[string]bool{}, done: map[string]bool{}, refused: map[string]bool{}, starts: map[string]int{}}
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

// Run plays one seed.
func Run(o Options) Result {
	w := newWorld(o)
	w.at(300*time.Millisecond, func() {
		for range o.Jobs {
			w.at(w.upTo(traffic), w.newCaller)
		}
		for range o.Faults {
			w.at(w.upTo(traffic), w.fault)
		}
		for range o.Evacuations {
			w.at(w.upTo(traffic), w.operators.act)
			w.at(w.upTo(traffic), w.operators.forget)
		}
	})
	end := w.now.Add(traffic + settle)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(*timed)
		w.now = e.at
		e.f()
	}
	return w.checker.result()
}

func (w *World) trace(format string, args ...any) {
	if w.o.Trace != nil {
		w.o.Trace(fmt.Sprintf("%8.1f ", float64(w.now.Sub(time.Unix(1_000_000, 0)).Microseconds())/1000) + fmt.Sprintf(format, args...))
	}
}

// upTo draws a time below d.
func (w *World) upTo(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }

func (w *World) chance(p float64) bool { return w.rand.Float64() < p }

// at calls f after d.
func (w *World) at(d time.Duration, f func()) *timed {
	w.number++
	e := &timed{at: w.now.Add(d), number: w.number, f: f}
	heap.Push(&w.events, e)
	return e
}

// timed is a call at a time.
type timed struct {
	at     time.Time
	number uint64
	f      func()
}

type eventHeap []*timed

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*timed)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// process is what entries and agents have in common: they can freeze and die.
type process struct {
	w       *World
	name    string
	life    int // grows with each restart
	up      bool
	thaw    time.Time     // frozen until
	frozen  time.Duration // in all
	pending []func()
	timer   *timed
}

// steady is the process's clock that stands still while it is frozen.
func (p *process) steady() time.Duration { return p.w.now.Sub(time.Unix(0, 0)) - p.frozen }

// run calls f in the process's own time: at once, or when it thaws, in order; never
// if its life has ended by then.
func (p *process) run(life int, f func()) {
	if !p.up || p.life != life {
		return
	}
	if !p.w.now.Before(p.thaw) && len(p.pending) == 0 {
		f()
		return
	}
	p.pending = append(p.pending, f)
	if len(p.pending) == 1 {
		p.w.at(max(0, p.thaw.Sub(p.w.now)), func() { p.wake(life) })
	}
}

func (p *process) wake(life int) {
	if !p.up || p.life != life {
		return
	}
	if p.w.now.Before(p.thaw) {
		p.w.at(p.thaw.Sub(p.w.now), func() { p.wake(life) })
		return
	}
	pending := p.pending
	p.pending = nil
	for _, f := range pending {
		f()
	}
}

// after calls f in the process's time after d, unless its life has ended.
func (p *process) after(d time.Duration, f func()) *timed {
	life := p.life
	return p.w.at(d, func() { p.run(life, f) })
}

func (p *process) die() {
	p.up = false
	p.life++
	p.pending = nil
	p.thaw = time.Time{}
}

// latency of a message between processes: mostly a millisecond, now and then much
// more.
func (w *World) latency() time.Duration {
	d := time.Millisecond + w.upTo(time.Millisecond)
	if w.chance(0.01) {
		d += w.upTo(120 * time.Millisecond)
	}
	return d
}
