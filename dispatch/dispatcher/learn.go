package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// learned is how long tasks of a queue run, against their estimates. An estimate is
// off by a factor either way, so of a task with a long one the better guess lies
// between it and what is usual in the queue: a regression of the logarithm of the
// run time on that of the estimate, in which older runs count less and less.
type learned struct {
	weight float64 // of all runs taken in, at most 1/learnGain
	// means of the logarithms of estimate and run time in seconds, their products
	// about the means.
	x, y, xx, xy, yy float64
}

const (
	// learnGain is the weight of a new run against all before: about the last two
	// hundred count, some seconds of a busy queue and a minute of a quiet one.
	learnGain = 0.005
	// priorWeight is how many runs the assumption counts for with which a queue
	// begins: that estimates are right.
	priorWeight = 5
	// priorSpread is the spread of the logarithm of the run time about the estimate
	// before anything is known: a factor of one and a half either way.
	priorSpread = 0.4
	// sureSpreads is how many spreads below the expected a run time is taken to lie
	// at least: of a hundred tasks, five run shorter.
	sureSpreads = 1.65
	// firstEstimate stands for a task without estimate of a queue that has run
	// nothing: a usual sub-second task.
	firstEstimate = 200 * time.Millisecond
	minExpected   = time.Millisecond
)

// take takes in one run.
func (l *learned) take(estimated, ran time.Duration) {
	x, y := logSeconds(estimated), logSeconds(ran)
	l.weight = min(l.weight+1, 1/learnGain)
	gain := 1 / l.weight
	dx, dy := x-l.x, y-l.y
	l.x += gain * dx
	l.y += gain * dy
	l.xx += gain * ((1-gain)*dx*dx - l.xx)
	l.xy += gain * ((1-gain)*dx*dy - l.xy)
	l.yy += gain * ((1-gain)*dy*dy - l.yy)
}

// line is the slope of the regression. The assumption that estimates are right
// weighs in with a spread of its own.
func (l *learned) slope() float64 {
	prior := priorWeight * priorSpread * priorSpread
	return min(max((l.weight*l.xy+prior)/(l.weight*l.xx+prior), 0), 1)
}

// expected is the run time expected of a task with an estimate.
func (l *learned) expected(estimated time.Duration) time.Duration {
	if l == nil || l.weight == 0 {
		if estimated <= 0 {
			return firstEstimate
		}
		return max(estimated, minExpected)
	}
	if estimated <= 0 {
		return max(seconds(math.Exp(l.y)), minExpected)
	}
	// The means count for little while few runs have been seen.
	share := l.weight / (l.weight + priorWeight)
	e := logSeconds(estimated)
	regressed := l.y + l.slope()*(e-l.x)
	return max(seconds(math.Exp(share*regressed+(1-share)*e)), minExpected)
}

// spread of the logarithm of the run time about the expected.
func (l *learned) spread() float64 {
	if l == nil {
		return priorSpread
	}
	b := l.slope()
	residual := max(0, l.yy-2*b*l.xy+b*b*l.xx)
	return math.Sqrt((l.weight*residual + priorWeight*priorSpread*priorSpread) / (l.weight + priorWeight))
}

// atLeast is the run time that few tasks with the expected one fall below.
func (l *learned) atLeast(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * math.Exp(-sureSpreads*l.spread()))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minExpected).Seconds()) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// expected is how long a task is taken to run on a sound worker.
func (d *Dispatcher) expected(queue string, estimated time.Duration) time.Duration {
	return d.learned[queue].expected(estimated)
}

// learn takes in how long a task ran, or would have.
func (d *Dispatcher) learn(queue string, estimated, ran time.Duration) {
	l := d.learned[queue]
	if l == nil {
		l = &learned{}
		d.learned[queue] = l
	}
	if estimated <= 0 {
		estimated = firstEstimate
	}
	if d.opts.Without.Has(without.Learning) {
		return
	}
	l.take(estimated, ran)
}
