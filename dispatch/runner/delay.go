package runner

import "time"

// frameDelay bounds the transit delay of an entry's frames from above, using two clocks that
// run at the same rate but show different times. A frame of this side was sent before the entry
// acknowledged it, so this clock is ahead of the entry's by at least the difference of those
// two times. The greatest difference of the last one or two periods is used.
//
// Frames can't be compared with each other: on a link that was delayed from its beginning, all
// are late by the same amount. The opening of the link alone gives too coarse a bound, since it
// may have taken a fifth of a second.
type frameDelay struct {
	clockAhead, previousClockAhead time.Duration // in the current period and in the previous one
	known, hasPrevious             bool
	periodStart                    time.Time
	probedAt                       time.Time // when an immediate answer was last requested

	frames [maxTrackedFrames]sentFrame // by number modulo maxTrackedFrames
}

// sentFrame is a frame that was sent to the entry.
type sentFrame struct {
	number uint64
	at     time.Time
}

// maxTrackedFrames is how many frames may be in flight or unacknowledged for an acknowledgement
// still to give a bound: a tenth of a second of the busiest link.
const maxTrackedFrames = 32

const (
	// delayPeriod bounds how long a difference is used, since clocks drift.
	delayPeriod = 30 * time.Second
	// probeInterval is how often the entry is asked to answer at once. On an idle link frames
	// are acknowledged with the next heartbeat, up to a second later, which gives a useless
	// bound. Once the better bounds of earlier traffic expired, the first orders after a pause
	// would be considered stale.
	probeInterval = delayPeriod / 2
)

// probeDue reports whether the next frame should request an immediate answer. If so, it records
// the request.
func (d *frameDelay) probeDue(now time.Time) bool {
	if now.Sub(d.probedAt) < probeInterval {
		return false
	}
	d.probedAt = now
	return true
}

// recordSent records that a frame is sent to the entry.
func (d *frameDelay) recordSent(now time.Time, seq uint64) {
	d.frames[seq%maxTrackedFrames] = sentFrame{seq, now}
}

// recordAck handles a frame that the entry sent after it had received this side's frames up to
// seq.
func (d *frameDelay) recordAck(now time.Time, seq uint64, sentNs int64) {
	if f := d.frames[seq%maxTrackedFrames]; seq > 0 && f.number == seq {
		d.update(now, f.at, sentNs)
	}
}

// update records that the entry sent something, at remoteNs on its clock, after this side had
// sent something at sent.
func (d *frameDelay) update(now, sent time.Time, remoteNs int64) {
	if d.known && now.Sub(d.periodStart) >= delayPeriod {
		d.previousClockAhead, d.hasPrevious, d.known = d.clockAhead, true, false
	}
	ahead := time.Duration(sent.UnixNano() - remoteNs)
	if !d.known {
		d.clockAhead, d.known, d.periodStart = ahead, true, now
	}
	d.clockAhead = max(d.clockAhead, ahead)
}

// of returns an upper bound of the delay of a frame that the entry sent at sentNs on its clock.
func (d *frameDelay) of(now time.Time, sentNs int64) time.Duration {
	ahead := d.clockAhead
	if d.hasPrevious {
		ahead = max(ahead, d.previousClockAhead)
	}
	return max(0, time.Duration(now.UnixNano()-sentNs)-ahead)
}
