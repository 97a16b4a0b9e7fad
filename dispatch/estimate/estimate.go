// Package estimate learns how much memory and time tasks take, for each contract
// and task kind, from usage reports that come late and in any order. Sizes that
// callers declare are often far off: they count only until reports tell better.
//
// The package does no I/O, reads no clock and starts no goroutine. An [Estimator]
// is not safe for concurrent use.
package estimate

import (
	"cmp"
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options bounds and tunes an estimator. Zero fields take the defaults.
type Options struct {
	// MaxKinds is the most pairs of contract and kind remembered; the one not
	// used for longest is forgotten first.
	MaxKinds int
	// DefaultMemory, in bytes, and DefaultRun are assumed of tasks that declare
	// nothing and are not known.
	DefaultMemory uint64
	DefaultRun    time.Duration
	// Fresh is how long after the last report the learned sizes may be a reason
	// to refuse a job.
	Fresh time.Duration
}

// Defaults of Options.
const (
	DefaultMaxKinds = 4096
	DefaultMemory   = 256 << 20
	DefaultRun      = 200 * time.Millisecond
	DefaultFresh    = 30 * time.Second
)

const (
	// priorReports is how many reports weigh as much as the declaration.
	priorReports = 4
	// minReports is how many reports it takes to refuse a job by them.
	minReports = 20
	// window is after how many reports the older half is forgotten.
	window = 256
	// memoryQuantile and memoryMargin make the reservation: a task above it
	// shares a worker with others that are below theirs.
	memoryQuantile = 99
	memoryMargin   = 1.15
	runQuantile    = 50
	minRunQuantile = 5
	// histogramError is the largest relative error of a histogram's values.
	histogramError = 0.1
	// A declared run time is close if it is off by less than a factor closeBy.
	// Declarations of a kind are trusted while that holds for the part trustFrom.
	closeBy        = 1.5
	trustFrom      = 0.6
	trustGain      = 0.05
	memoryUnit     = 1 << 20
	maxMemoryUnits = 1 << 22
	maxRunMillis   = 1 << 24
)

// Declared is what a caller says of a task; zero fields say nothing.
type Declared struct {
	Memory uint64
	Run    time.Duration
}

// Usage is what a task was seen to take. A zero Memory means not measured.
type Usage struct {
	Memory uint64
	Run    time.Duration
	// Declared is what the caller said of the task.
	Declared Declared
}

// Estimate is what to expect of a task.
type Estimate struct {
	// Memory is what to reserve, in bytes.
	Memory uint64
	// Run is the expected run time.
	Run time.Duration
	// MinRun is the run time below which hardly any task of the kind ended, and
	// LikelyRun the one that half of them took; zero if that is not known well
	// enough to refuse a job by it.
	MinRun    time.Duration
	LikelyRun time.Duration
	// Certain tells that a job may be refused by Memory: it is what the caller
	// declares of a kind that is not known, or rests on enough recent reports.
	// Old reports are no reason, since refusals keep away the very reports
	// that could correct them.
	Certain bool
}

type kindKey struct{ contract, kind string }

// Estimator learns from reports. Use [New].
type Estimator struct {
	options Options
	kinds   map[kindKey]*list.Element
	// recent has the kind used last in front.
	recent *list.List
}

// kind is what is known of one contract's tasks of one kind.
type kind struct {
	key        kindKey
	memory     history
	run        history
	lastReport time.Time
	// trust is the part of declared run times that came close, as a moving mean.
	trust float64
	// The cached quantiles are renewed by reports, since jobs ask more often.
	memoryBytes uint64
	typicalRun  time.Duration
	minRun      time.Duration
}

// New returns an estimator that has seen nothing.
func New(options Options) *Estimator {
	options.MaxKinds = cmp.Or(options.MaxKinds, DefaultMaxKinds)
	options.DefaultMemory = cmp.Or(options.DefaultMemory, DefaultMemory)
	options.DefaultRun = cmp.Or(options.DefaultRun, DefaultRun)
	options.Fresh = cmp.Or(options.Fresh, DefaultFresh)
	return &Estimator{options: options, kinds: make(map[kindKey]*list.Element), recent: list.New()}
}

// Estimate returns what to expect of a task.
func (e *Estimator) Estimate(contract, kindName string, declared Declared, now time.Time) Estimate {
	declares, declaresRun := declared.Memory > 0, declared.Run > 0
	if !declares {
		declared.Memory = e.options.DefaultMemory
	}
	declared.Run = cmp.Or(declared.Run, e.options.DefaultRun)
	element := e.kinds[kindKey{contract, kindName}]
	if element == nil {
		return Estimate{Memory: declared.Memory, Run: declared.Run, Certain: declares}
	}
	e.recent.MoveToFront(element)
	k := element.Value.(*kind)
	estimate := Estimate{
		Memory: uint64(blend(float64(declared.Memory), float64(k.memoryBytes), k.memory.count())),
		Run:    time.Duration(blend(float64(declared.Run), float64(k.typicalRun), k.run.count())),
	}
	if k.trust >= trustFrom && declaresRun {
		// Most callers know the run time of this very task, which the usual one of
		// its kind can't tell. It decides only the order, never a refusal.
		estimate.Run = declared.Run
	}
	// What was seen to happen may happen again, however few reports there are.
	estimate.Memory = max(estimate.Memory, k.memory.max()*memoryUnit)
	if now.Sub(k.lastReport) <= e.options.Fresh {
		estimate.Certain = k.memory.count() >= minReports
		if k.run.count() >= minReports {
			estimate.MinRun, estimate.LikelyRun = k.minRun, k.typicalRun
		}
	}
	return estimate
}

// blend lets a declaration fade as reports come in.
func blend(declared, learned float64, reports int64) float64 {
	weight := float64(reports) / float64(reports+priorReports)
	return declared + weight*(learned-declared)
}

// Report takes a usage report of a task that ended by itself. Tasks stopped by a
// deadline or a cancellation would make the kind look shorter than it is.
func (e *Estimator) Report(contract, kindName string, usage Usage, now time.Time) {
	k := e.kind(kindKey{contract, kindName})
	k.lastReport = now
	if usage.Memory > 0 {
		k.memory.add(int64(min((usage.Memory+memoryUnit-1)/memoryUnit, maxMemoryUnits)))
		k.memoryBytes = uint64(float64(k.memory.quantile(memoryQuantile)*memoryUnit) * memoryMargin)
	}
	k.judgeDeclared(usage)
	k.run.add(min(max(usage.Run.Milliseconds(), 1), maxRunMillis))
	k.typicalRun = time.Duration(k.run.quantile(runQuantile)) * time.Millisecond
	least := float64(k.run.quantile(minRunQuantile)) * (1 - histogramError)
	k.minRun = time.Duration(least * float64(time.Millisecond))
}

func (k *kind) judgeDeclared(usage Usage) {
	declared, run := float64(usage.Declared.Run), float64(usage.Run)
	if declared <= 0 || run <= 0 {
		return
	}
	near := 0.0
	if ratio := run / declared; ratio < closeBy && ratio > 1/closeBy {
		near = 1
	}
	k.trust += trustGain * (near - k.trust)
}

// Kinds returns how many kinds are remembered.
func (e *Estimator) Kinds() int { return len(e.kinds) }

func (e *Estimator) kind(key kindKey) *kind {
	if element := e.kinds[key]; element != nil {
		e.recent.MoveToFront(element)
		return element.Value.(*kind)
	}
	if len(e.kinds) >= e.options.MaxKinds {
		oldest := e.recent.Back()
		delete(e.kinds, e.recent.Remove(oldest).(*kind).key)
	}
	k := &kind{key: key, memory: newHistory(maxMemoryUnits), run: newHistory(maxRunMillis)}
	e.kinds[key] = e.recent.PushFront(k)
	return k
}

// history keeps the latest values: at least window of them once there are so
// many, and at most twice that.
type history struct {
	current, previous *hdrhistogram.Histogram
}

func newHistory(highest int64) history {
	return history{current: hdrhistogram.New(1, highest, 1), previous: hdrhistogram.New(1, highest, 1)}
}

func (h *history) add(value int64) {
	if h.current.TotalCount() >= window {
		h.current, h.previous = h.previous, h.current
		h.current.Reset()
	}
	// The error is for values out of range, and callers clamp them.
	_ = h.current.RecordValue(value)
}

func (h *history) count() int64 { return h.current.TotalCount() + h.previous.TotalCount() }

func (h *history) max() uint64 {
	highest := int64(0)
	if h.current.TotalCount() > 0 {
		highest = h.current.Max()
	}
	if h.previous.TotalCount() > 0 {
		highest = max(highest, h.previous.Max())
	}
	return uint64(highest)
}

// quantile weighs the two windows by their counts.
func (h *history) quantile(percent float64) int64 {
	current, previous := h.current.TotalCount(), h.previous.TotalCount()
	if previous == 0 {
		return h.current.ValueAtQuantile(percent)
	}
	sum := h.current.ValueAtQuantile(percent)*current + h.previous.ValueAtQuantile(percent)*previous
	return sum / (current + previous)
}
