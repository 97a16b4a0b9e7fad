package process

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
)

// With a fixed interval for watches (0.7 s) and lists (10 s) of each entry, the store's
// calls grow with the number of entries, and the rows it returns with the square.
func TestCallsAtRestDoNotGrowWithEntries(t *testing.T) {
	rate := func(n int, every time.Duration) float64 { return float64(n) / every.Seconds() }
	for _, n := range []int{1, 3, 14, 55, 150} {
		if got := rate(n, watchWait(n, 0.5)); got > 10.001 {
			t.Errorf("%d entries: %.1f watches a second", n, got)
		}
		if got := rate(n, listInterval(n)); got > 1.001 {
			t.Errorf("%d entries: %.1f lists a second", n, got)
		}
	}
	for _, random := range []float64{0, 0.5, 0.999} {
		if got := watchWait(3, random); got != adapter.DefaultWatchWait {
			t.Errorf("a watch of a small site waits %v, want the default", got)
		}
	}
	if got := rate(2500, watchWait(2500, 0.5)); got > 165 {
		t.Errorf("2,500 entries: %.0f watches a second", got)
	}
}

// All entries start at once and open their watches within a second; later all watches miss
// a change. If the entries also reopened their watches in step, none of them would receive
// the change for the duration of a watch.
func TestSomeEntrySoonReopensItsWatch(t *testing.T) {
	for _, n := range []int{3, 14, 55, 183, 1000} {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		var opened []time.Duration
		for range n {
			for at := time.Duration(r.Int64N(int64(time.Second))); at < time.Minute; at += watchWait(n, r.Float64()) {
				opened = append(opened, at)
			}
		}
		slices.Sort(opened)
		for i, at := range opened[1:] {
			if gap := at - opened[i]; gap > 2*time.Second {
				t.Errorf("%d entries: no watch is opened for %v after %v", n, gap, opened[i])
			}
		}
	}
}
