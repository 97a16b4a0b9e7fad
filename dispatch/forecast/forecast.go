// Package forecast tells how long a task would wait for room on a worker, from what
// runs there and what waits ahead of it. Agents and entries use the same figures, so
// that an order which an entry sends is one that the agent will take.
package forecast

import "time"

// Horizons are the times for which an agent tells how much processor will have come
// free: fine where the slack of short tasks lies, coarse beyond.
var Horizons = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond,
	60 * time.Millisecond, 100 * time.Millisecond, 180 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond,
}

// Never is the wait where nothing is expected to come free.
const Never = time.Minute

// Frees is how much processor, in thousandths of a core, will have come free within
// each of Horizons.
type Frees [len(Horizons)]int64

// Add takes in a run that will end after left.
func (f *Frees) Add(left time.Duration, cpu int64) {
	for i, h := range Horizons {
		if left <= h {
			f[i] += cpu
		}
	}
}

// Wait is how long it takes until need has come free, when the figures are taken as
// those of now. They may be a tenth of a second old, and the room that has come free
// meanwhile looks near; but others have ordered work meanwhile as well, and at a load
// near the capacity they have taken all of it. With the age taken off, the waits that
// were foretold as 5 to 11 ms lasted 59 ms in the middle and 167 ms one time in ten,
// among twelve entries; without, those foretold as 11 to 21 ms lasted 20 and 117.
func (f *Frees) Wait(need int64) time.Duration {
	if need <= 0 {
		return 0
	}
	for i, h := range Horizons {
		if f[i] >= need {
			return h
		}
	}
	all := f[len(f)-1]
	if all <= 0 {
		return Never
	}
	// More than what runs now has to end. What comes after it is taken to last as long:
	// the worker turns over once in the time in which all that runs will have ended.
	for i, h := range Horizons {
		if f[i] == all {
			return min(time.Duration(float64(h)*float64(need)/float64(all)), Never)
		}
	}
	return Never
}
