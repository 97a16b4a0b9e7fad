package dispatcher

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/without"
)

// Late work is that of jobs which can't end within their objective and whose answer is of
// use all the same. It goes behind all that can be in time.

// yield is the share of late work that lately was completed.
type yield struct {
	share float64
	at    time.Time // of the last job; zero: none yet
}

const (
	// yieldGain is the weight of the last job: about the last seven count.
	yieldGain = 0.3
	// yieldForgets is the time in which what was seen loses two thirds of its weight;
	// then late work is tried again.
	yieldForgets = 3 * time.Second
	// leastYield is the share below which late work isn't taken in: callers would be
	// held for no answer, and workers do what is then broken off.
	leastYield = 0.8
)

func (y *yield) now(now time.Time) float64 {
	if y.at.IsZero() {
		return 1
	}
	return 1 - (1-y.share)*math.Exp(-now.Sub(y.at).Seconds()/yieldForgets.Seconds())
}

func (y *yield) take(now time.Time, completed bool) {
	share := y.now(now) * (1 - yieldGain)
	if completed {
		share += yieldGain
	}
	y.share, y.at = share, now
}

// takesLate reports whether jobs are taken in that can't be in time.
//
// Only while late work gets done: behind a lasting overload it would be held to the end of its
// use and given up half done. And only while work starts when it was foretold: otherwise it
// takes the room that the next jobs need to be in time.
func (d *Dispatcher) takesLate(now time.Time) bool {
	if d.opts.Without.Has(without.LateWork) {
		return false
	}
	if d.opts.Without.Has(without.LateYield) {
		return true
	}
	return d.inTime(now) && d.lateYield.now(now) >= leastYield
}
