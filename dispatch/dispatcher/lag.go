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

// late reports whether the process is behind.
func (d *Dispatcher) late(now time.Time) bool { return d.lag.now(now) > lateLag }
