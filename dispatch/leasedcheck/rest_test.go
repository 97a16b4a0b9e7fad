package leasedcheck

import (
	"testing"
	"time"
)

// What a process costs at rest must not grow with the fleet: at the size designed for, each
// has as many links as at 50 machines.
func TestRestDoesNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	var first Rest
	for i, n := range []int{4, 12, 50} {
		r := RunRest(Options{Seed: 1, Entries: 3 * n, Agents: 13 * n, Links: 12}, 16*time.Second)
		t.Logf("%d machines: %.2f frames a second at an agent, %.1f at an entry, %.2f looks", 16*n, r.FramesPerAgent, r.FramesPerEntry, r.LooksPerAgent)
		if i == 0 {
			first = r
			continue
		}
		if r.FramesPerAgent > 1.1*first.FramesPerAgent || r.FramesPerEntry > 1.1*first.FramesPerEntry || r.LooksPerAgent > 1.1*first.LooksPerAgent {
			t.Errorf("%d machines: %+v; at 64 %+v", 16*n, r, first)
		}
	}
}
