package hlc

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestNowIncreasesWhenWallTimeDoesNot(t *testing.T) {
	// A host's wall clock is set back by its time service. Without the logical
	// counter, an answer would be listed before its job.
	var c Clock
	steps := []time.Duration{0, 0, time.Millisecond, -time.Hour, -time.Hour, time.Second}
	var last uint64
	for i, step := range steps {
		got := c.Now(epoch.Add(step))
		if got <= last {
			t.Errorf("step %d: %d is not above %d", i, got, last)
		}
		last = got
	}
	if !Time(last).Equal(epoch.Add(time.Second)) {
		t.Errorf("time is %v, want %v", Time(last), epoch.Add(time.Second))
	}
}

func TestObserveBoundsPeersAhead(t *testing.T) {
	// A host starts with its clock a year ahead. If its timestamps were accepted, the
	// events of all connected processes would show next year's date.
	tests := []struct {
		name  string
		ahead time.Duration
		want  bool
	}{
		{"behind", -time.Hour, true},
		{"at the bound", MaxAhead, true},
		{"just beyond", MaxAhead + time.Millisecond, false},
		{"a year", 365 * 24 * time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Clock
			remote := Pack(epoch.Add(tt.ahead), 0)
			if got := c.Observe(remote, epoch); got != tt.want {
				t.Fatalf("Observe = %v, want %v", got, tt.want)
			}
			if rejected := c.Rejected() == 1; rejected == tt.want {
				t.Errorf("Rejected = %d", c.Rejected())
			}
			now := c.Now(epoch)
			if tt.want && now <= remote {
				t.Errorf("Now = %d, not above the observed %d", now, remote)
			}
			if !tt.want && !Time(now).Equal(epoch) {
				t.Errorf("Now = %v, want local wall time", Time(now))
			}
		})
	}
	var c Clock
	if !c.Observe(0, epoch) || c.Rejected() != 0 {
		t.Error("a message without a timestamp was rejected")
	}
}

func TestEventsSortAfterTheirCauses(t *testing.T) {
	// Hosts' clocks differ by seconds, and messages pass between them. Each event must
	// still sort after its cause, or the time line would be misleading.
	rapid.Check(t, func(rt *rapid.T) {
		clocks := make([]Clock, 3)
		skews := rapid.SliceOfN(rapid.IntRange(-20_000, 20_000), 3, 3).Draw(rt, "skews")
		var received uint64
		for i, node := range rapid.SliceOfN(rapid.IntRange(0, 2), 1, 50).Draw(rt, "hops") {
			wall := epoch.Add(time.Duration(skews[node]+i) * time.Millisecond)
			if !clocks[node].Observe(received, wall) {
				rt.Fatalf("rejected within the bound")
			}
			next := clocks[node].Now(wall)
			if next <= received {
				rt.Fatalf("hop %d: %d is not above its cause %d", i, next, received)
			}
			received = next
		}
	})
}

func TestNowIsUniqueAcrossGoroutines(t *testing.T) {
	const writers, each = 8, 1000
	var c Clock
	var wg sync.WaitGroup
	issued := make([][]uint64, writers)
	for w := range writers {
		wg.Go(func() {
			for range each {
				issued[w] = append(issued[w], c.Now(epoch))
			}
		})
	}
	wg.Wait()
	seen := make(map[uint64]bool)
	for _, list := range issued {
		for _, ts := range list {
			seen[ts] = true
		}
	}
	if len(seen) != writers*each {
		t.Errorf("%d distinct timestamps, want %d", len(seen), writers*each)
	}
}

func BenchmarkNow(b *testing.B) {
	var c Clock
	b.ReportAllocs()
	for b.Loop() {
		c.Now(epoch)
	}
}
