// Package speed estimates how fast workers are, from the run times of their tasks compared with
// the times expected on a usual worker.
//
// The package does no I/O, reads no clock and starts no goroutine. A [Tracker] is not safe for
// concurrent use.
package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	// RefreshInterval is the least time between two computations of the speeds, each of which
	// visits all workers.
	RefreshInterval time.Duration
}

// DefaultRefreshInterval is the default of Options.RefreshInterval.
const DefaultRefreshInterval = 500 * time.Millisecond

const (
	// gain is the weight of a new run in a worker's mean. The first runs are averaged evenly:
	// with a fixed starting value, an error that all expected times share would count less
	// for a worker with few runs than for the others.
	gain = 0.05
	// minRuns is the number of runs after which a worker's speed counts; from there on, an
	// even average would give a new run less weight than gain.
	minRuns = 20
	// minWorkers is the least number of workers with minRuns for which a median means anything.
	minWorkers = 3
	// maxUniform bounds the factors, either way, that count as 1. Run times vary by a factor of
	// 1.5 either way, which leaves the mean of a worker within 1.25 of the median.
	maxUniform = 1.25
	// minDeviations is how many standard deviations of its mean a worker must be off the median.
	// Where estimates are poor, maxUniform alone let pass speeds that were due to chance.
	minDeviations = 4
	// spreadGain is the weight of a new run in the spread of run times over all workers.
	spreadGain = 0.005
	// maxSpeed limits speeds either way, and the ratio that is taken from one run: a straggler
	// may run many times longer on a worker of any speed.
	maxSpeed = 4
	// retention is how long a worker's statistics are kept without a run. A worker that was slow
	// for a while may get no tasks that would show that it has recovered.
	retention = 5 * time.Second
)

// worker holds the statistics of one worker.
type worker struct {
	// meanLog is the mean logarithm of the ratio of run time to nominal time.
	meanLog float64
	// meanVariance is the variance of meanLog, relative to that of one run.
	meanVariance float64
	runs         int // at most minRuns are counted
	speed        float64
	reportedAt   time.Time
}

// Tracker estimates the speeds of workers from their runs. Use [New].
type Tracker struct {
	options Options
	workers map[string]*worker
	// spread is the mean square deviation of a run from its worker's mean, over all workers.
	spread      float64
	spreadRuns  float64
	refreshedAt time.Time
	means       []float64 // reused by refresh
}

// New returns a Tracker without workers.
func New(o Options) *Tracker {
	o.RefreshInterval = cmp.Or(o.RefreshInterval, DefaultRefreshInterval)
	return &Tracker{options: o, workers: make(map[string]*worker)}
}

// Report records a completed run; nominal is the time expected on a worker of speed 1. It
// returns whether the speeds were computed anew.
func (t *Tracker) Report(name string, ran, nominal time.Duration, now time.Time) bool {
	if ran <= 0 || nominal <= 0 {
		return false
	}
	w := t.workers[name]
	if w == nil {
		w = &worker{speed: 1}
		t.workers[name] = w
	}
	w.reportedAt = now
	w.runs = min(w.runs+1, minRuns)
	ratio := min(max(float64(ran)/float64(nominal), 1./maxSpeed), maxSpeed)
	weight, deviation := max(gain, 1/float64(w.runs)), math.Log(ratio)-w.meanLog
	w.meanLog += weight * deviation
	w.meanVariance = (1-weight)*(1-weight)*w.meanVariance + weight*weight
	if w.runs > 1 {
		t.spreadRuns++
		t.spread += max(spreadGain, 1/t.spreadRuns) * (deviation*deviation - t.spread)
	}
	if now.Sub(t.refreshedAt) < t.options.RefreshInterval {
		return false
	}
	t.refreshedAt = now
	maps.DeleteFunc(t.workers, func(_ string, w *worker) bool { return now.Sub(w.reportedAt) > retention })
	t.refresh()
	return true
}

// Speed returns how fast a worker is: 1 is usual, 2 is twice as fast.
func (t *Tracker) Speed(name string) float64 {
	if w := t.workers[name]; w != nil {
		return w.speed
	}
	return 1
}

// Remove removes a worker. Its statistics do not apply to its next incarnation.
func (t *Tracker) Remove(name string) { delete(t.workers, name) }

// refresh computes the speeds of all workers.
func (t *Tracker) refresh() {
	t.means = t.means[:0]
	for _, w := range t.workers {
		if w.runs >= minRuns {
			t.means = append(t.means, w.meanLog)
		}
	}
	slices.Sort(t.means)
	for _, w := range t.workers {
		w.speed = 1
		if w.runs >= minRuns && len(t.means) >= minWorkers {
			chance := minDeviations * math.Sqrt(t.spread*w.meanVariance)
			w.speed = factor(t.means[len(t.means)/2]-w.meanLog, chance)
		}
	}
}

// factor converts the logarithm of a speed; speeds that may be due to chance become 1.
func factor(log, chance float64) float64 {
	if math.Abs(log) <= max(math.Log(maxUniform), chance) {
		return 1
	}
	return min(max(math.Exp(log), 1./maxSpeed), maxSpeed)
}
