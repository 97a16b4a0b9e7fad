package leasedcheck

import (
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
	// Share of all jobs.
	Share float64
	// Tasks is the mean number of tasks of a job, and RunTime the mean run time of a task.
	Tasks   int
	RunTime time.Duration
	// Value of a job that ends within its latency objective.
	Value float64
	// Burst multiplies the rate of this kind in the middle half, in addition to
	// Load.Burst. Zero means no burst.
	Burst float64
}

// Load describes jobs that arrive at a rate near or above the capacity of a fleet.
type Load struct {
	Kinds []Kind
	// Utilization is the ratio of the work that arrives to the capacity of all workers.
	Utilization float64
	// Duration is how long jobs arrive.
	Duration time.Duration
	// Burst multiplies the rate in the middle half. Zero means no burst.
	Burst float64
	// DownWorkers is the share of the workers that are down during the middle half.
	DownWorkers float64
	// Skew is the share of the jobs that all go to the first entry; the rest is
	// distributed evenly.
	Skew float64
	// Speeds are those of the workers, in turn; a task's run time is divided by its worker's
	// speed. Empty means 1.
	Speeds []float64
	// Stragglers is the share of the runs that take stragglerFactor times as long.
	Stragglers float64
}

// JobCounts counts the jobs of a kind by outcome.
type JobCounts struct{ Sent, InTime, Late, NotRun, Other int }

// LoadResult summarizes a run of a load.
type LoadResult struct {
	ByKind []JobCounts
	// Value is the share of the value of the jobs submitted in the middle half that was
	// earned. Late jobs earn a fifth of their value.
	Value float64
	// Orders were sent by entries; Refused were refused by agents.
	Orders, Refused int
	// SpeedChanges counts how often an entry changed its estimate of a worker's speed.
	SpeedChanges int
}

const (
	// meanTaskCPU is in millicores, a little under a quarter of a worker.
	meanTaskCPU = 950
	// loadTarget and loadStretch determine the latency objective.
	loadTarget  = 60 * time.Millisecond
	loadStretch = 1.6
	lateValue   = 0.2
	lateFactor  = 3
	// stragglerFactor is how many times longer a straggler runs.
	stragglerFactor = 7
	// warmUp is the time for agents to open their links before jobs arrive.
	warmUp = 500 * time.Millisecond
)

// RunLoad simulates a load; Load.DownWorkers is the only fault.
func RunLoad(o Options, l Load) LoadResult {
	w := newWorld(o)
	p := &loadRun{w: w, l: l, rand: rand.New(rand.NewPCG(o.Seed, 2)), result: LoadResult{ByKind: make([]JobCounts, len(l.Kinds))}}
	w.load = p
	w.schedule(warmUp, func() { w.schedule(p.interarrival(), p.submitNext) })
	if l.DownWorkers > 0 {
		w.schedule(warmUp+l.Duration/4, p.crashWorkers)
	}
	p.startedAt = w.now.Add(warmUp)
	w.runFor(warmUp + l.Duration + settleTime)
	p.result.Value = p.earned / max(p.attainable, 1e-9)
	return p.result
}

// loadRun draws the jobs of a load and counts their outcomes.
type loadRun struct {
	w *World
	l Load
	// rand draws the jobs. It is separate from World.rand so that the jobs of a seed don't
	// depend on the decisions under test.
	rand       *rand.Rand
	startedAt  time.Time
	sent       int
	earned     float64
	attainable float64
	result     LoadResult
}

// speed returns the speed of a worker.
func (l Load) speed(worker int) float64 {
	if len(l.Speeds) == 0 {
		return 1
	}
	return l.Speeds[worker%len(l.Speeds)]
}

// runTime returns how long a run takes at a worker.
func (p *loadRun) runTime(worker int, usual time.Duration) time.Duration {
	if p.l.Stragglers > 0 && p.w.chance(p.l.Stragglers) {
		usual *= stragglerFactor
	}
	return time.Duration(float64(usual) / p.l.speed(worker))
}

// inMiddleHalf reports whether t lies in the middle half of the load.
func (p *loadRun) inMiddleHalf(t time.Time) bool {
	at := t.Sub(p.startedAt)
	return at >= p.l.Duration/4 && at < p.l.Duration*3/4
}

// interarrival draws the time until the next job.
func (p *loadRun) interarrival() time.Duration {
	work := 0.0
	for _, k := range p.l.Kinds {
		work += k.Share * float64(k.Tasks) * k.RunTime.Seconds() * meanTaskCPU
	}
	speeds := 0.0
	for i := range p.w.agents {
		speeds += p.l.speed(i)
	}
	rate := p.l.Utilization * speeds * defaultCapacity / work * p.totalShare()
	if p.l.Burst > 0 && p.inMiddleHalf(p.w.now) {
		rate *= p.l.Burst
	}
	return time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
}

func (p *loadRun) submitNext() {
	if p.w.now.Sub(p.startedAt) >= p.l.Duration {
		return
	}
	p.submit()
	p.w.schedule(p.interarrival(), p.submitNext)
}

// currentShare returns the current rate of a kind relative to the rate of all kinds
// outside bursts.
func (p *loadRun) currentShare(k Kind) float64 {
	if k.Burst > 0 && p.inMiddleHalf(p.w.now) {
		return k.Share * k.Burst
	}
	return k.Share
}

func (p *loadRun) totalShare() (sum float64) {
	for _, k := range p.l.Kinds {
		sum += p.currentShare(k)
	}
	return sum
}

func (p *loadRun) drawKind() int {
	x := p.rand.Float64() * p.totalShare()
	for i, k := range p.l.Kinds {
		if x -= p.currentShare(k); x < 0 {
			return i
		}
	}
	return len(p.l.Kinds) - 1
}

// lognormal draws a factor with mean one.
func (p *loadRun) lognormal(sigma float64) float64 {
	return math.Exp(sigma*p.rand.NormFloat64() - sigma*sigma/2)
}

func (p *loadRun) submit() {
	i := p.drawKind()
	k := p.l.Kinds[i]
	p.sent++
	runTime := time.Duration(float64(k.RunTime) * p.lognormal(0.4))
	cpu := int64(meanTaskCPU * p.lognormal(0.2))
	objective := loadTarget + time.Duration(loadStretch*float64(runTime))
	x := &caller{w: p.w, id: fmt.Sprintf("%016x", p.sent), sentAt: p.w.now, deadline: p.w.now.Add(4 * objective), kind: i, objective: objective}
	x.job = dispatcher.Job{
		ID: x.id, Payload: payload(cpu, runTime), TimeLimit: 4 * objective,
		Queue: &pb.Queue{Name: k.Name, Service: "s", Priority: k.Priority, Attempts: 3, Stretch: loadStretch, TargetMs: uint32(loadTarget.Milliseconds())},
		Steps: []dispatcher.Step{{
			Count: max(1, int(math.Round(float64(k.Tasks)*p.lognormal(0.4)))), Size: size.Size{CPUMillis: cpu},
			Estimated: time.Duration(float64(runTime) * p.lognormal(0.4)),
		}},
	}
	p.w.callers = append(p.w.callers, x)
	entry := p.rand.IntN(len(p.w.entries))
	if p.rand.Float64() < p.l.Skew {
		entry = 0
	}
	x.sendTo(p.w.entries[entry])
}

// jobEnded counts a job by its outcome.
func (p *loadRun) jobEnded(x *caller, outcome dispatcher.Outcome, answered bool) {
	s := &p.result.ByKind[x.kind]
	value, elapsed := 0.0, p.w.now.Sub(x.sentAt)
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
	if p.inMiddleHalf(x.sentAt) {
		p.attainable += p.l.Kinds[x.kind].Value
		p.earned += value * p.l.Kinds[x.kind].Value
	}
}

func (p *loadRun) onDecision(d dispatcher.Decision) {
	switch d.Event {
	case "task_ordered":
		p.result.Orders++
	case "order_refused":
		p.result.Refused++
	case "worker_speed":
		p.result.SpeedChanges++
	}
}

// crashWorkers takes Load.DownWorkers of the workers down for half of the duration.
func (p *loadRun) crashWorkers() {
	n := int(p.l.DownWorkers * float64(len(p.w.agents)))
	for _, a := range p.w.agents[:n] {
		a.worker.crashFor(p.l.Duration / 2)
	}
}
