package runner

import "time"

// lateness tells how late an entry's frames arrive, at most, from two clocks that run alike
// and show different times. What this side has sent was sent before the entry acknowledged
// it, so its clock is ahead of the entry's by at least the difference of these two moments;
// the greatest such difference of the last one or two periods counts.
//
// Frames can't be compared with each other: on a link that was held up from its beginning all
// are late alike. And the opening of the link alone is too coarse a bound: it may have taken a
// fifth of a second.
type lateness struct {
	ahead, before time.Duration // of the current period, and of the one before
	known, hasOld bool
	since         time.Time
	asked         time.Time // when an answer at once was asked for last

	frames [recentFrames]sentFrame // by number
}

// sentFrame is a frame that went to the entry.
type sentFrame struct {
	number uint64
	at     time.Time
}

// recentFrames is how many frames may be under way, or unanswered, for an acknowledgement
// to give a bound: a tenth of a second of the busiest link.
const recentFrames = 32

const (
	// latenessPeriod bounds how long a difference counts: clocks drift.
	latenessPeriod = 30 * time.Second
	// askEvery is how often the entry is asked to answer at once. On an idle link frames are
	// acknowledged with the next heartbeat, up to a second later, which says next to nothing;
	// when the better bounds of earlier are forgotten, the first orders after a pause would
	// seem late.
	askEvery = latenessPeriod / 2
)

// ask reports whether the next frame is to ask for an answer at once.
func (l *lateness) ask(now time.Time) bool {
	if now.Sub(l.asked) < askEvery {
		return false
	}
	l.asked = now
	return true
}

// sent takes in that a frame goes to the entry.
func (l *lateness) sent(now time.Time, seq uint64) {
	l.frames[seq%recentFrames] = sentFrame{seq, now}
}

// acked takes in a frame that the entry sent when it had received this side's frames up to
// a number.
func (l *lateness) acked(now time.Time, seq uint64, sentNs int64) {
	if f := l.frames[seq%recentFrames]; seq > 0 && f.number == seq {
		l.bound(now, f.at, sentNs)
	}
}

// bound takes in that the entry sent something after this side did.
func (l *lateness) bound(now, sent time.Time, theirsNs int64) {
	if l.known && now.Sub(l.since) >= latenessPeriod {
		l.before, l.hasOld, l.known = l.ahead, true, false
	}
	ahead := time.Duration(sent.UnixNano() - theirsNs)
	if !l.known {
		l.ahead, l.known, l.since = ahead, true, now
	}
	l.ahead = max(l.ahead, ahead)
}

// of is how late a frame is at most that the entry sent at a time on its clock.
func (l *lateness) of(now time.Time, sentNs int64) time.Duration {
	ahead := l.ahead
	if l.hasOld {
		ahead = max(ahead, l.before)
	}
	return max(0, time.Duration(now.UnixNano()-sentNs)-ahead)
}
