package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// runTimeModel predicts the run times of a queue's tasks from their estimates. An estimate
// is off by a factor either way, so for a task with a long one the better prediction lies
// between it and the queue's typical run time: a regression of the logarithm of the run
// time on that of the estimate, in which older runs are discounted.
type runTimeModel struct {
	weight float64 // of all runs recorded, at most 1/modelGain
	// Means of the logarithms of estimate and run time in seconds, and of their products
	// about the means.
	x, y, xx, xy, yy float64
}

const (
	// modelGain is the weight of a new run against all earlier ones: about the last two
	// hundred count, some seconds of a busy queue and a minute of a quiet one.
	modelGain = 0.005
	// priorWeight is the weight, in runs, of the prior assumption that estimates are
	// right.
	priorWeight = 5
	// priorSpread is the prior standard deviation of the logarithm of the run time about
	// the estimate: a factor of one and a half either way.
	priorSpread = 0.4
	// lowerBoundSpreads is how many standard deviations below the expected run time the
	// lower bound lies: five of a hundred tasks run shorter.
	lowerBoundSpreads = 1.65
	// defaultEstimate is used for a task without estimate in a queue without runs:
	// a typical sub-second task.
	defaultEstimate = 200 * time.Millisecond
	minExpected     = time.Millisecond
)

// observe records one run.
func (m *runTimeModel) observe(estimated, ran time.Duration) {
	x, y := logSeconds(estimated), logSeconds(ran)
	m.weight = min(m.weight+1, 1/modelGain)
	gain := 1 / m.weight
	dx, dy := x-m.x, y-m.y
	m.x += gain * dx
	m.y += gain * dy
	m.xx += gain * ((1-gain)*dx*dx - m.xx)
	m.xy += gain * ((1-gain)*dx*dy - m.xy)
	m.yy += gain * ((1-gain)*dy*dy - m.yy)
}

// slope returns the slope of the regression. The prior that estimates are right enters with
// its own spread.
func (m *runTimeModel) slope() float64 {
	prior := priorWeight * priorSpread * priorSpread
	return min(max((m.weight*m.xy+prior)/(m.weight*m.xx+prior), 0), 1)
}

// expected returns the run time predicted for a task with the given estimate.
func (m *runTimeModel) expected(estimated time.Duration) time.Duration {
	if m == nil || m.weight == 0 {
		if estimated <= 0 {
			return defaultEstimate
		}
		return max(estimated, minExpected)
	}
	if estimated <= 0 {
		return max(seconds(math.Exp(m.y)), minExpected)
	}
	// With few runs, the regression gets little weight.
	share := m.weight / (m.weight + priorWeight)
	e := logSeconds(estimated)
	regressed := m.y + m.slope()*(e-m.x)
	return max(seconds(math.Exp(share*regressed+(1-share)*e)), minExpected)
}

// spread returns the standard deviation of the logarithm of the run time about the expected.
func (m *runTimeModel) spread() float64 {
	if m == nil {
		return priorSpread
	}
	b := m.slope()
	residual := max(0, m.yy-2*b*m.xy+b*b*m.xx)
	return math.Sqrt((m.weight*residual + priorWeight*priorSpread*priorSpread) / (m.weight + priorWeight))
}

// lowerBound returns the run time below which few tasks with the expected one fall.
func (m *runTimeModel) lowerBound(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * math.Exp(-lowerBoundSpreads*m.spread()))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minExpected).Seconds()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// expectedRun returns the predicted run time of a task on a healthy worker of speed 1.
func (d *Dispatcher) expectedRun(queue string, estimated time.Duration) time.Duration {
	return d.runTimes[queue].expected(estimated)
}

// learn records how long a task ran, or would have run.
func (d *Dispatcher) learn(queue string, estimated, ran time.Duration) {
	m := d.runTimes[queue]
	if m == nil {
		m = &runTimeModel{}
		d.runTimes[queue] = m
	}
	if estimated <= 0 {
		estimated = defaultEstimate
	}
	if d.opts.Disabled.Has(disabled.Learning) {
		return
	}
	m.observe(estimated, ran)
}
