// Package hlc is a hybrid logical clock: timestamps that stay close to wall
// time and that order an event before every event it has caused, on whichever
// process that happens.
//
// A timestamp is one uint64, 48 bits of Unix milliseconds above a 16-bit logical
// counter, so that timestamps compare as integers and travel in a fixed field.
// More than 65,536 timestamps in one millisecond carry into the next one. Zero
// is no timestamp: messages of processes without a clock carry it.
//
// The package reads no clock: wall time is an argument.
package hlc

import (
	"sync/atomic"
	"time"
)

// LogicalBits is the width of the logical counter in a timestamp.
const LogicalBits = 16

// MaxAhead is how far ahead of the local wall clock a peer's timestamp may be.
//
// A host whose clock is set wrong would otherwise pull every process it talks
// to into the future for good, and the time line would show the fleet's events
// at times that never were. Timestamps beyond the bound are not taken over and
// are counted, so the host can be found.
const MaxAhead = time.Minute

// Clock issues timestamps. The zero value is ready for use, and a Clock must
// not be copied. All methods may be called from any goroutine and never block.
type Clock struct {
	last     atomic.Uint64
	rejected atomic.Uint64
}

// Now returns a timestamp above all that c has issued or observed, and not
// before wall.
func (c *Clock) Now(wall time.Time) uint64 {
	return c.advance(Pack(wall, 0))
}

// Observe takes over a timestamp that came with a message, so that later ones
// of c are above it. It reports false, and leaves c alone, if remote is more
// than MaxAhead ahead of wall. Zero is accepted and means nothing.
func (c *Clock) Observe(remote uint64, wall time.Time) bool {
	if remote == 0 {
		return true
	}
	if remote > Pack(wall.Add(MaxAhead), 0) {
		c.rejected.Add(1)
		return false
	}
	for {
		last := c.last.Load()
		if last >= remote || c.last.CompareAndSwap(last, remote) {
			return true
		}
	}
}

// Rejected counts the timestamps that Observe has refused.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }

func (c *Clock) advance(floor uint64) uint64 {
	for {
		last := c.last.Load()
		next := max(floor, last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Pack returns the timestamp of a time and a logical counter.
func Pack(t time.Time, logical uint16) uint64 {
	return uint64(t.UnixMilli())<<LogicalBits | uint64(logical)
}

// Time returns the wall time in a timestamp, to the millisecond.
func Time(timestamp uint64) time.Time {
	return time.UnixMilli(int64(timestamp >> LogicalBits))
}

// Logical returns the logical counter in a timestamp.
func Logical(timestamp uint64) uint16 { return uint16(timestamp) }
