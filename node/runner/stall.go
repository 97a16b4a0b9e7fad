package runner

import "time"

// minLoggedStall exceeds the time between two polls of an idle worker, and minLoggedSuspension what
// the two clocks differ by when they are read one after the other. Shorter suspensions are within
// bounds.Slack.
const (
	minLoggedStall      = 700 * time.Millisecond
	minLoggedSuspension = 100 * time.Millisecond
)

// stallMeter measures for how long the process has handled nothing. The zero value is ready.
type stallMeter struct {
	at     time.Time     // of the last input, on the clock that counts suspended time
	steady time.Duration // the same on the clock that doesn't
}

// observe records an input. It returns the time since the last one and how much of it the machine
// was suspended, or zero if neither is worth a log line.
func (m *stallMeter) observe(now time.Time, steady time.Duration) (elapsed, suspended time.Duration) {
	last := *m
	*m = stallMeter{now, steady}
	if last.at.IsZero() {
		return 0, 0
	}
	elapsed = now.Sub(last.at)
	suspended = elapsed - (steady - last.steady)
	if elapsed < minLoggedStall && suspended < minLoggedSuspension {
		return 0, 0
	}
	if suspended < minLoggedSuspension {
		suspended = 0
	}
	return elapsed, suspended
}
