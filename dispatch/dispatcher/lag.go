package dispatcher

import "time"

// lagMeter measures the lag of the process: how late its timer fires. A process
// without enough CPU handles arrived frames late. It would time out links whose
// frames wait in its own sockets, and admit jobs that it can't place in time.
type lagMeter struct {
	lag time.Duration // decayed maximum
	at  time.Time
}

const (
	// lagInterval is how often the meter requests a tick.
	lagInterval = 100 * time.Millisecond
	// lagHalfLife is the time in which a sample loses half of its weight.
	lagHalfLife = 200 * time.Millisecond
	// maxTrustedLag is the lag beyond which the process mistrusts its own view of others.
	maxTrustedLag = 60 * time.Millisecond
)

func (m *lagMeter) value(now time.Time) time.Duration {
	if m.at.IsZero() {
		return 0
	}
	halfLives := float64(now.Sub(m.at)) / float64(lagHalfLife)
	return time.Duration(float64(m.lag) / (1 + halfLives*halfLives))
}

func (m *lagMeter) observe(now time.Time, lag time.Duration) {
	if lag >= m.value(now) || now.Sub(m.at) >= lagInterval {
		m.lag, m.at = max(lag, m.value(now)), now
	}
}

func (m *lagMeter) nextSample() time.Time {
	if m.at.IsZero() {
		return time.Time{}
	}
	return m.at.Add(lagInterval)
}

// recordStaleOrder handles an order that reached an agent too late to be started. When
// another agent refused one for the same reason recently, the cause isn't the path to one
// agent: this process's frames wait for CPU, even if its timers fire in time.
//
// Otherwise a small entry that admits more than its CPU can send has its orders refused as
// stale and its links timed out.
func (d *Dispatcher) recordStaleOrder(now time.Time, at *agent) {
	if d.staleAgent != nil && d.staleAgent != at && now.Sub(d.staleAt) < staleCorrelationWindow {
		d.timerLag.observe(now, d.opts.Timeouts.MaxOrderDelay)
	}
	d.staleAgent, d.staleAt = at, now
}

// staleCorrelationWindow is the interval within which stale orders at two agents are
// attributed to one cause.
const staleCorrelationWindow = 500 * time.Millisecond

// behind reports whether the process lags.
func (d *Dispatcher) behind(now time.Time) bool { return d.timerLag.value(now) > maxTrustedLag }
