package dispatcher

import "time"

// lagMeter measures by how much the process is behind: how late its timer fires. A
// process without enough processor takes in what has arrived late, and would take
// links for silent whose frames wait in its own sockets, and jobs that it can't place
// before their time is over.
type lagMeter struct {
	lag time.Duration // decayed maximum
	at  time.Time
}

const (
	// lagEvery is how often the meter asks for a tick.
	lagEvery = 100 * time.Millisecond
	// lagHalf is the time in which what was measured loses half of its weight.
	lagHalf = 200 * time.Millisecond
	// lateLag is the lag beyond which the process mistrusts its own view of others.
	lateLag = 60 * time.Millisecond
)

func (m *lagMeter) now(now time.Time) time.Duration {
	if m.at.IsZero() {
		return 0
	}
	halves := float64(now.Sub(m.at)) / float64(lagHalf)
	return time.Duration(float64(m.lag) / (1 + halves*halves))
}

func (m *lagMeter) take(now time.Time, lag time.Duration) {
	if lag >= m.now(now) || now.Sub(m.at) >= lagEvery {
		m.lag, m.at = max(lag, m.now(now)), now
	}
}

func (m *lagMeter) next() time.Time {
	if m.at.IsZero() {
		return time.Time{}
	}
	return m.at.Add(lagEvery)
}

// arrivedLate takes in that an order reached an agent later than it may be started. When
// another agent said so a moment ago, it isn't the way to one of them: this process's
// frames wait for its processor. Its timers may fire in time all the same.
//
// A small entry that takes in more than its processor can send has its orders refused as late
// and its links taken for silent.
func (d *Dispatcher) arrivedLate(now time.Time, at *agent) {
	if d.lateAt != nil && d.lateAt != at && now.Sub(d.lateSince) < lateTogether {
		d.lag.take(now, d.opts.Times.MaxLate)
	}
	d.lateAt, d.lateSince = at, now
}

// lateTogether is how close to each other late orders at two agents have one cause.
const lateTogether = 500 * time.Millisecond

// late reports whether the process is behind.
func (d *Dispatcher) late(now time.Time) bool { return d.lag.now(now) > lateLag }
