package leasedcheck

import (
	"testing"
	"time"
)

// The idle cost of a process must not grow with the fleet: at the full design size each
// process has as many links as at 50 machines.
func TestIdleRatesAreIndependentOfFleetSize(t *testing.T) {
	t.Parallel()
	var first IdleRates
	for i, n := range []int{4, 12, 50} {
		r := RunIdle(Options{Seed: 1, Entries: 3 * n, Agents: 13 * n, Links: 12}, 16*time.Second)
		t.Logf("%d machines: %.2f frames a second at an agent, %.1f at an entry, %.2f polls", 16*n, r.FramesPerAgent, r.FramesPerEntry, r.PollsPerAgent)
		if i == 0 {
			first = r
			continue
		}
		if r.FramesPerAgent > 1.1*first.FramesPerAgent || r.FramesPerEntry > 1.1*first.FramesPerEntry || r.PollsPerAgent > 1.1*first.PollsPerAgent {
			t.Errorf("%d machines: %+v; at 64 %+v", 16*n, r, first)
		}
	}
}
