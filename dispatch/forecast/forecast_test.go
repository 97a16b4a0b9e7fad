package forecast

import (
	"testing"
	"time"
)

func TestWait(t *testing.T) {
	var f Releases
	f.Add(8*time.Millisecond, 1000)
	f.Add(50*time.Millisecond, 2000)
	for _, c := range []struct {
		need int64
		want time.Duration
	}{
		{0, 0},
		{-5, 0},
		{500, 10 * time.Millisecond},
		{1000, 10 * time.Millisecond},
		{1001, 60 * time.Millisecond},
		{6000, 120 * time.Millisecond},
	} {
		if got := f.Wait(c.need); got != c.want {
			t.Errorf("Wait(%d) = %v, want %v", c.need, got, c.want)
		}
	}
	var none Releases
	if got := none.Wait(1); got != Never {
		t.Errorf("a worker where nothing ends: %v, want %v", got, Never)
	}
}
