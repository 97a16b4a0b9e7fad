package leasedcheck

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// Kind is a kind of job in a load.
type Kind struct {
	Name     string
	Priority uint32
	// Share of the jobs.
	Share float64
	// Tasks of a job, and how long each runs: means of what is drawn.
	Tasks  int
	Length time.Duration
	// Value of a job that ends within its objective.
	Value float64
	// Burst raises the kind's own rate by this factor in the middle half, beside that
	// of all; zero: it doesn't.
	Burst float64
}

// Load is jobs at a rate that a fleet can't wholly serve, or nearly so.
type Load struct {
	Kinds []Kind
	// Used is the work that arrives over what all workers can do.
	Used float64
	// Lasts is how long jobs arrive.
	Lasts time.Duration
	// Burst raises the rate by this factor in the middle half; zero: it doesn't.
	Burst float64
	// Lost is the share of the workers that go dark for the middle half.
	Lost float64
	// Skew is how unevenly callers lead to entries: the share that the first one gets,
	// beside what is divided evenly.
	Skew float64
}

// Served is how the jobs of a kind went.
type Served struct{ Sent, InTime, Late, NotRun, Other int }

// LoadResult sums up a load.
type LoadResult struct {
	ByKind []Served
	// Value is what was earned by the jobs that came in the middle half, of what they
	// are worth; late ones earn a fifth.
	Value float64
	// Orders and Refused are what entries sent, and agents refused.
	Orders, Refused int
}

const (
	// loadCPU is what a task takes on average: a little under a quarter of a worker.
	loadCPU = 950
	// loadTarget and loadStretch make the objective.
	loadTarget  = 60 * time.Millisecond
	loadStretch = 1.6
	lateValue   = 0.2
	lateFactor  = 3
	// warmUp is how long links are opened before jobs come.
	warmUp = 500 * time.Millisecond
)

// RunLoad plays a load without faults but those it names.
func RunLoad(o Options, l Load) LoadResult {
	w := newWorld(o)
	p := &loadPlay{w: w, l: l, rand: rand.New(rand.NewPCG(o.Seed, 2)), result: LoadResult{ByKind: make([]Served, len(l.Kinds))}}
	w.load = p
	w.at(warmUp, func() { w.at(p.gap(), p.next) })
	if l.Lost > 0 {
		w.at(warmUp+l.Lasts/4, p.lose)
	}
	p.begun = w.now.Add(warmUp)
	end := p.begun.Add(l.Lasts + settle)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(*timed)
		w.now = e.at
		e.f()
	}
	p.result.Value = p.earned / max(p.owed, 1e-9)
	return p.result
}

// loadPlay draws the jobs of a load and counts what comes of them.
type loadPlay struct {
	w *World
	l Load
	// rand draws the jobs, whatever the decisions draw: two plays of a seed that differ
	// in these have the same jobs.
	rand   *rand.Rand
	begun  time.Time
	sent   int
	earned float64
	owed   float64
	result LoadResult
}

// middle reports whether a time lies in the middle half.
func (p *loadPlay) middle(t time.Time) bool {
	at := t.Sub(p.begun)
	return at >= p.l.Lasts/4 && at < p.l.Lasts*3/4
}

// gap is the time until the next job.
func (p *loadPlay) gap() time.Duration {
	work := 0.0
	for _, k := range p.l.Kinds {
		work += k.Share * float64(k.Tasks) * k.Length.Seconds() * loadCPU
	}
	rate := p.l.Used * float64(len(p.w.agents)) * capacity / work * p.shares()
	if p.l.Burst > 0 && p.middle(p.w.now) {
		rate *= p.l.Burst
	}
	return time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
}

func (p *loadPlay) next() {
	if p.w.now.Sub(p.begun) >= p.l.Lasts {
		return
	}
	p.job()
	p.w.at(p.gap(), p.next)
}

// share is how many jobs of a kind come now for each of all kinds at rest.
func (p *loadPlay) share(k Kind) float64 {
	if k.Burst > 0 && p.middle(p.w.now) {
		return k.Share * k.Burst
	}
	return k.Share
}

func (p *loadPlay) shares() (sum float64) {
	for _, k := range p.l.Kinds {
		sum += p.share(k)
	}
	return sum
}

func (p *loadPlay) kind() int {
	x := p.rand.Float64() * p.shares()
	for i, k := range p.l.Kinds {
		if x -= p.share(k); x < 0 {
			return i
		}
	}
	return len(p.l.Kinds) - 1
}

// spread draws a factor about one.
func (p *loadPlay) spread(sigma float64) float64 {
	return math.Exp(sigma*p.rand.NormFloat64() - sigma*sigma/2)
}

func (p *loadPlay) job() {
	i := p.kind()
	k := p.l.Kinds[i]
	p.sent++
	length := time.Duration(float64(k.Length) * p.spread(0.4))
	cpu := int64(loadCPU * p.spread(0.2))
	objective := loadTarget + time.Duration(loadStretch*float64(length))
	x := &caller{w: p.w, id: fmt.Sprintf("%016x", p.sent), sent: p.w.now, ends: p.w.now.Add(4 * objective), kind: i, objective: objective}
	x.job = dispatcher.Job{
		ID: x.id, Payload: payload(cpu, length), TimeLimit: 4 * objective,
		Queue: &pb.Queue{Name: k.Name, Service: "s", Priority: k.Priority, Attempts: 3, Stretch: loadStretch, TargetMs: uint32(loadTarget.Milliseconds())},
		Steps: []dispatcher.Step{{
			Count: max(1, int(math.Round(float64(k.Tasks)*p.spread(0.4)))), Size: size.Size{CPUMillis: cpu},
			Estimated: time.Duration(float64(length) * p.spread(0.4)),
		}},
	}
	p.w.callers = append(p.w.callers, x)
	entry := p.rand.IntN(len(p.w.entries))
	if p.rand.Float64() < p.l.Skew {
		entry = 0
	}
	x.sendTo(p.w.entries[entry])
}

// over counts how a job went.
func (p *loadPlay) over(x *caller, outcome dispatcher.Outcome, answered bool) {
	s := &p.result.ByKind[x.kind]
	value, elapsed := 0.0, p.w.now.Sub(x.sent)
	s.Sent++
	switch {
	case answered && outcome == dispatcher.Completed && elapsed <= x.objective:
		s.InTime++
		value = 1
	case answered && outcome == dispatcher.Completed && elapsed <= lateFactor*x.objective:
		s.Late++
		value = lateValue
	case answered && outcome == dispatcher.NotRun:
		s.NotRun++
	default:
		s.Other++
	}
	if p.middle(x.sent) {
		p.owed += p.l.Kinds[x.kind].Value
		p.earned += value * p.l.Kinds[x.kind].Value
	}
}

func (p *loadPlay) decided(d dispatcher.Decision) {
	switch d.Event {
	case "task_ordered":
		p.result.Orders++
	case "order_refused":
		p.result.Refused++
	}
}

// lose takes workers away for half of the time.
func (p *loadPlay) lose() {
	n := int(p.l.Lost * float64(len(p.w.agents)))
	for _, a := range p.w.agents[:n] {
		a.worker.crashFor(p.l.Lasts / 2)
	}
}
