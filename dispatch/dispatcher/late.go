package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
)

// Late work belongs to jobs that can't end within their objective but whose answers are
// still of use. It yields to all work that can meet its objective.

// completionRatio is the share of late jobs that were completed recently.
type completionRatio struct {
	ratio     float64
	updatedAt time.Time // when the last job ended; zero: none yet
}

const (
	// completionGain is the weight of the last job: about the last seven count.
	completionGain = 0.3
	// completionDecay is the time in which a sample loses two thirds of its weight; late
	// work is then tried again.
	completionDecay = 3 * time.Second
	// minLateCompletion is the ratio below which late work isn't admitted: callers would
	// wait for no answer, and workers would run tasks that are then stopped.
	minLateCompletion = 0.8
)

func (r *completionRatio) value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 1
	}
	return 1 - (1-r.ratio)*math.Exp(-now.Sub(r.updatedAt).Seconds()/completionDecay.Seconds())
}

func (r *completionRatio) observe(now time.Time, completed bool) {
	ratio := r.value(now) * (1 - completionGain)
	if completed {
		ratio += completionGain
	}
	r.ratio, r.updatedAt = ratio, now
}

// admitsLate reports whether jobs are admitted that can't meet their objective.
//
// They are admitted only while most late work is completed: under a lasting overload it would
// be held until its answer is of no use and be abandoned half done. They are also admitted only
// while work starts as predicted: otherwise they take capacity that the next jobs need to meet
// their objectives.
func (d *Dispatcher) admitsLate(now time.Time) bool {
	if d.opts.Disabled.Has(disabled.LateWork) {
		return false
	}
	if d.opts.Disabled.Has(disabled.LateCompletion) {
		return true
	}
	return d.startsAsPredicted(now) && d.lateCompletion.value(now) >= minLateCompletion
}
