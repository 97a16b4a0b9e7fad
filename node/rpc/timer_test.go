package rpc

import (
	"testing"
	"testing/synctest"
	"time"
)

// Inputs follow each other faster than the shortest delay of the timer. Guards against a call that is
// overdue and put off with each of them, so that no time-out is noticed while a process is busy.
func TestOverdueCallIsNotPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		timer := NewTimer(func() { calls++ })
		due := time.Now()
		for range 10 {
			time.Sleep(minDelay / 2)
			timer.Set(time.Now(), due)
			synctest.Wait()
		}
		if calls == 0 {
			t.Error("no call in five times the shortest delay")
		}
		timer.Stop()
	})
}

// An overdue call is due again and again. Guards against one that is made once only.
func TestOverdueCallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		var timer *Timer
		due := time.Now()
		timer = NewTimer(func() {
			calls++
			timer.Set(time.Now(), due)
		})
		timer.Set(time.Now(), due)
		time.Sleep(5*minDelay + minDelay/2)
		synctest.Wait()
		if calls != 5 {
			t.Errorf("%d calls in five times the shortest delay", calls)
		}
		timer.Stop()
	})
}
