package rpc

import "time"

// minDelay is the minimum delay of a call, so that times in the past don't cause a
// busy loop.
const minDelay = time.Millisecond

// Timer calls a function at a time that can be changed, such as the Next time of a
// state machine. Its methods must be called by one goroutine at a time.
type Timer struct {
	t  *time.Timer
	at time.Time
	// fires is when the scheduled call is made; zero if none is.
	fires time.Time
}

// NewTimer returns a timer that calls f in its own goroutine. No call is scheduled
// until Set.
func NewTimer(f func()) *Timer {
	t := time.AfterFunc(time.Hour, f)
	t.Stop()
	return &Timer{t: t}
}

// Set schedules a call at the given time in place of the previous one. The zero time
// cancels it.
func (t *Timer) Set(now, at time.Time) {
	if at.Equal(t.at) && at.After(now) {
		return
	}
	t.at = at
	if at.IsZero() {
		t.fires = time.Time{}
		t.t.Stop()
		return
	}
	delay := max(minDelay, at.Sub(now))
	if now.Before(t.fires) && !at.After(t.fires) && t.fires.Sub(now) <= minDelay {
		return // putting it off would keep an overdue call from ever being made
	}
	t.fires = now.Add(delay)
	t.t.Reset(delay)
}

// Stop cancels the scheduled call.
func (t *Timer) Stop() { t.t.Stop() }
