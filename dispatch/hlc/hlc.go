// Package hlc implements a hybrid logical clock: timestamps that stay close to wall
// time and that order each event before the events it causes, on any process.
//
// A timestamp is one uint64, 48 bits of Unix milliseconds above a 16-bit logical
// counter, so that timestamps compare as integers and fit a fixed-size field. More
// than 65,536 timestamps in one millisecond overflow into the next one. Zero means no
// timestamp; messages of processes without a clock carry it.
//
// The package reads no clock: wall time is passed in.
package hlc

import (
	"sync/atomic"
	"time"
)

// LogicalBits is the width in bits of the logical counter in a timestamp.
const LogicalBits = 16

// MaxAhead is how far ahead of the local wall clock a peer's timestamp may be.
//
// Without the bound, a host whose clock is wrong would permanently move the clocks of
// all processes that it communicates with into the future, and the time line would
// show wrong times for their events. Timestamps beyond the bound are ignored and
// counted, so that the host can be found.
const MaxAhead = time.Minute

// Clock issues timestamps. The zero value is ready to use. A Clock must not be
// copied. Its methods are safe for concurrent use and never block.
type Clock struct {
	last     atomic.Uint64
	rejected atomic.Uint64
}

// Now returns a timestamp that is greater than all that c has issued or observed, and
// not before wall.
func (c *Clock) Now(wall time.Time) uint64 {
	return c.advance(Pack(wall, 0))
}

// Observe advances c to a timestamp received with a message, so that later timestamps
// of c are greater. It reports false, and leaves c unchanged, if remote is more than
// MaxAhead ahead of wall. It accepts and ignores zero.
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

// Rejected returns the number of timestamps that Observe has rejected.
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
