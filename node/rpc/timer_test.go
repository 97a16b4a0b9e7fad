package rpc

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Inputs follow each other faster than the shortest delay of the timer. Guards against a call that is
// overdue and put off with each of them, so that no time-out is noticed while a process is busy.
func TestOverdueCallIsNotPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		timer := NewTimer(func() { calls.Add(1) })
		due := time.Now()
		for range 10 {
			time.Sleep(minDelay / 2)
			timer.Set(time.Now(), due)
			synctest.Wait()
		}
		if calls.Load() == 0 {
			t.Error("no call in five times the shortest delay")
		}
		timer.Stop()
	})
}

// An overdue call is due again and again. Guards against one that is made once only.
func TestOverdueCallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		calls, due := 0, time.Now()
		var timer *Timer
		timer = NewTimer(func() {
			mu.Lock()
			defer mu.Unlock()
			calls++
			timer.Set(time.Now(), due)
		})
		mu.Lock()
		timer.Set(time.Now(), due)
		mu.Unlock()
		time.Sleep(5*minDelay + minDelay/2)
		mu.Lock()
		defer mu.Unlock()
		if calls != 5 {
			t.Errorf("%d calls in five times the shortest delay", calls)
		}
		timer.Stop()
	})
}

// A call moves to a later time within the shortest delay. Guards against one that is left to an earlier
// call, which finds nothing due, and is then never made.
func TestCallThatMovesWithinTheShortestDelayIsMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		start := time.Now()
		due, made := start, false
		var timer *Timer
		timer = NewTimer(func() {
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now(); !now.Before(due) {
				made, due = true, time.Time{}
			}
			timer.Set(time.Now(), due)
		})
		mu.Lock()
		timer.Set(start, due)
		mu.Unlock()
		time.Sleep(minDelay / 2)
		mu.Lock()
		due = start.Add(minDelay * 5 / 4)
		timer.Set(time.Now(), due)
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if !made {
			t.Error("the call is never made")
		}
		timer.Stop()
	})
}
