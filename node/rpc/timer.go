package rpc

import "time"

// minWait keeps a time that has passed from turning into a busy loop.
const minWait = time.Millisecond

// Timer wakes a decision when its Next time comes. Its methods must be called
// by one goroutine at a time.
type Timer struct {
	t  *time.Timer
	at time.Time
}

// NewTimer returns a timer that calls f in a goroutine of its own.
func NewTimer(f func()) *Timer {
	t := time.AfterFunc(time.Hour, f)
	t.Stop()
	return &Timer{t: t}
}

// Set asks for a call at the given time; the zero time asks for none.
func (t *Timer) Set(now, at time.Time) {
	if at.Equal(t.at) && at.After(now) {
		return
	}
	t.at = at
	if at.IsZero() {
		t.t.Stop()
		return
	}
	t.t.Reset(max(minWait, at.Sub(now)))
}

// Stop ends the timer.
func (t *Timer) Stop() { t.t.Stop() }
