package forecast

import (
	"testing"
	"time"
)

func TestWait(t *testing.T) {
	var f Frees
	f.Add(8*time.Millisecond, 1000)
	f.Add(50*time.Millisecond, 2000)
	for _, c := range []struct {
		need int64
		age  time.Duration
		want time.Duration
	}{
		{0, 0, 0},
		{-5, 0, 0},
		{500, 0, 10 * time.Millisecond},
		{1000, 0, 10 * time.Millisecond},
		{1001, 0, 60 * time.Millisecond},
		{1001, 30 * time.Millisecond, 30 * time.Millisecond},
		{1001, time.Second, 5 * time.Millisecond},
		{6000, 0, 120 * time.Millisecond},
	} {
		if got := f.Wait(c.need, c.age); got != c.want {
			t.Errorf("Wait(%d, %v) = %v, want %v", c.need, c.age, got, c.want)
		}
	}
	var none Frees
	if got := none.Wait(1, 0); got != Never {
		t.Errorf("a worker where nothing ends: %v, want %v", got, Never)
	}
}
