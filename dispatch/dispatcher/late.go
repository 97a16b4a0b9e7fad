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
// What goes wrong without the yield: with more work than workers can do for seconds,
// there is no room behind what is in time. Late work is taken in all the same, waits to
// the end of its use, and is given up, part of it half done. One would see "no worker
// came free in time" for most of what was not in time, seconds after it came.
//
// And without looking at what is in time: late work takes the room that the next jobs need
// to be in time, which become late work or late ends themselves, though of two such jobs
// one could be served as its caller wants. So it is for moments without room, and ends
// while tasks of any queue start later than foretold.
func (d *Dispatcher) takesLate(now time.Time) bool {
	if d.opts.Without.Has(without.LateWork) {
		return false
	}
	if d.opts.Without.Has(without.LateYield) {
		return true
	}
	return d.inTime(now) && d.lateYield.now(now) >= leastYield
}
