// Package estimate learns how much memory and time tasks take, for each contract and task kind,
// from usage reports that may arrive late and in any order. The sizes that callers declare are
// often far off, so they lose weight as reports arrive.
//
// The package does no I/O, reads no clock and starts no goroutine. An [Estimator] is not safe
// for concurrent use.
package estimate

import (
	"cmp"
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options configures an Estimator. Zero fields take the defaults.
type Options struct {
	// MaxKinds is the maximum number of pairs of contract and kind that are kept; the least
	// recently used one is evicted first.
	MaxKinds int
	// DefaultMemory, in bytes, and DefaultRun are assumed for tasks of unknown kinds that
	// declare nothing.
	DefaultMemory uint64
	DefaultRun    time.Duration
	// MaxReportAge is how long after the last report a job may be refused because of the learned
	// sizes.
	MaxReportAge time.Duration
}

// Defaults of Options.
const (
	DefaultMaxKinds     = 4096
	DefaultMemory       = 256 << 20
	DefaultRun          = 200 * time.Millisecond
	DefaultMaxReportAge = 30 * time.Second
)

const (
	// priorReports is how many reports have the same weight as the declaration.
	priorReports = 4
	// minReports is the minimum number of reports to refuse a job because of them.
	minReports = 20
	// historyWindow is the number of reports after which the older half of the history is
	// dropped.
	historyWindow = 256
	// memoryQuantile, in percent, and memoryMargin determine the reservation. A task that
	// exceeds its reservation shares a worker with others that stay below theirs.
	memoryQuantile = 99
	memoryMargin   = 1.15
	runQuantile    = 50
	minRunQuantile = 5
	// histogramError is the maximum relative error of a histogram's values.
	histogramError = 0.1
	// A declared run time is accurate if it is off by less than closeFactor. Declarations of a
	// kind are trusted while at least the share minTrust of them is accurate.
	closeFactor    = 1.5
	minTrust       = 0.6
	trustSmoothing = 0.05
	memoryUnit     = 1 << 20
	maxMemoryUnits = 1 << 22
	maxRunMillis   = 1 << 24
)

// Declared is what a caller declares of a task; zero fields declare nothing.
type Declared struct {
	Memory uint64
	Run    time.Duration
}

// Usage is what a task was measured to take. A zero Memory means not measured.
type Usage struct {
	Memory uint64
	Run    time.Duration
	// Declared is what the caller declared of the task.
	Declared Declared
}

// Estimate is the expected size of a task.
type Estimate struct {
	// Memory is the amount to reserve, in bytes.
	Memory uint64
	// Run is the expected run time.
	Run time.Duration
	// MinRun is the run time below which hardly any task of the kind ended. MedianRun is the
	// run time within which half of them ended. Both are zero if they are not known well enough
	// to refuse a job because of them.
	MinRun    time.Duration
	MedianRun time.Duration
	// Certain reports whether a job may be refused because of Memory: Memory is what the caller
	// declares for an unknown kind, or it is based on enough recent reports. Old reports are no
	// reason, since refusals prevent the very reports that could correct them.
	Certain bool
}

type kindKey struct{ contract, kind string }

// Estimator learns from reports. Use [New].
type Estimator struct {
	options Options
	kinds   map[kindKey]*list.Element
	// lru holds the kinds, most recently used first.
	lru *list.List
}

// kind is the history of one contract's tasks of one kind.
type kind struct {
	key        kindKey
	memory     history
	run        history
	lastReport time.Time
	// trust is the moving average of the share of declared run times that were accurate.
	trust float64
	// The quantiles are cached when a report arrives, since estimates are requested more often.
	memoryBytes uint64
	medianRun   time.Duration
	minRun      time.Duration
}

// New returns an Estimator without reports.
func New(options Options) *Estimator {
	options.MaxKinds = cmp.Or(options.MaxKinds, DefaultMaxKinds)
	options.DefaultMemory = cmp.Or(options.DefaultMemory, DefaultMemory)
	options.DefaultRun = cmp.Or(options.DefaultRun, DefaultRun)
	options.MaxReportAge = cmp.Or(options.MaxReportAge, DefaultMaxReportAge)
	return &Estimator{options: options, kinds: make(map[kindKey]*list.Element), lru: list.New()}
}

// Estimate returns the expected size of a task.
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
	e.lru.MoveToFront(element)
	k := element.Value.(*kind)
	estimate := Estimate{
		Memory: uint64(blend(float64(declared.Memory), float64(k.memoryBytes), k.memory.count())),
		Run:    time.Duration(blend(float64(declared.Run), float64(k.medianRun), k.run.count())),
	}
	if k.trust >= minTrust && declaresRun {
		// Most callers know the run time of this very task, which the usual run time of its
		// kind doesn't show. It affects only the order of tasks, never a refusal.
		estimate.Run = declared.Run
	}
	// What has been observed may happen again, however few reports there are.
	estimate.Memory = max(estimate.Memory, k.memory.max()*memoryUnit)
	if now.Sub(k.lastReport) <= e.options.MaxReportAge {
		estimate.Certain = k.memory.count() >= minReports
		if k.run.count() >= minReports {
			estimate.MinRun, estimate.MedianRun = k.minRun, k.medianRun
		}
	}
	return estimate
}

// blend reduces the weight of a declaration as reports arrive.
func blend(declared, learned float64, reports int64) float64 {
	weight := float64(reports) / float64(reports+priorReports)
	return declared + weight*(learned-declared)
}

// Report records the usage of a task that ended by itself. Tasks stopped by a deadline or a
// cancellation must not be reported, since they would make the kind look shorter than it is.
func (e *Estimator) Report(contract, kindName string, usage Usage, now time.Time) {
	k := e.kind(kindKey{contract, kindName})
	k.lastReport = now
	if usage.Memory > 0 {
		k.memory.add(int64(min((usage.Memory+memoryUnit-1)/memoryUnit, maxMemoryUnits)))
		k.memoryBytes = uint64(float64(k.memory.quantile(memoryQuantile)*memoryUnit) * memoryMargin)
	}
	k.updateTrust(usage)
	k.run.add(min(max(usage.Run.Milliseconds(), 1), maxRunMillis))
	k.medianRun = time.Duration(k.run.quantile(runQuantile)) * time.Millisecond
	minMillis := float64(k.run.quantile(minRunQuantile)) * (1 - histogramError)
	k.minRun = time.Duration(minMillis * float64(time.Millisecond))
}

func (k *kind) updateTrust(usage Usage) {
	declared, run := float64(usage.Declared.Run), float64(usage.Run)
	if declared <= 0 || run <= 0 {
		return
	}
	accurate := 0.0
	if ratio := run / declared; ratio < closeFactor && ratio > 1/closeFactor {
		accurate = 1
	}
	k.trust += trustSmoothing * (accurate - k.trust)
}

// Kinds returns the number of kinds that are kept.
func (e *Estimator) Kinds() int { return len(e.kinds) }

func (e *Estimator) kind(key kindKey) *kind {
	if element := e.kinds[key]; element != nil {
		e.lru.MoveToFront(element)
		return element.Value.(*kind)
	}
	if len(e.kinds) >= e.options.MaxKinds {
		oldest := e.lru.Back()
		delete(e.kinds, e.lru.Remove(oldest).(*kind).key)
	}
	k := &kind{key: key, memory: newHistory(maxMemoryUnits), run: newHistory(maxRunMillis)}
	e.kinds[key] = e.lru.PushFront(k)
	return k
}

// history keeps the latest values: at least historyWindow of them once there are as many, and
// at most twice that.
type history struct {
	current, previous *hdrhistogram.Histogram
}

func newHistory(highest int64) history {
	return history{current: hdrhistogram.New(1, highest, 1), previous: hdrhistogram.New(1, highest, 1)}
}

func (h *history) add(value int64) {
	if h.current.TotalCount() >= historyWindow {
		h.current, h.previous = h.previous, h.current
		h.current.Reset()
	}
	// RecordValue fails only for values out of range, and callers clamp them.
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

// quantile returns the average of the two windows' quantiles, weighted by their counts.
func (h *history) quantile(percent float64) int64 {
	current, previous := h.current.TotalCount(), h.previous.TotalCount()
	if previous == 0 {
		return h.current.ValueAtQuantile(percent)
	}
	sum := h.current.ValueAtQuantile(percent)*current + h.previous.ValueAtQuantile(percent)*previous
	return sum / (current + previous)
}
