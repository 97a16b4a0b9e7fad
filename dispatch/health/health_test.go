package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/place"
)

var epoch = time.Unix(1000, 0)

// fleet reports a number of rounds in which each agent ends one task.
func fleet(agents int, rounds int, result func(agent, round int) Result) *Tracker {
	j := New(Options{})
	for i := range agents {
		j.Add(fmt.Sprint(i))
	}
	for round := range rounds {
		for i := range agents {
			j.Report(fmt.Sprint(i), result(i, round), epoch)
		}
	}
	return j
}

func done(run time.Duration) Result { return Result{Contract: "c", Kind: "k", Run: run} }
func failed(run time.Duration) Result {
	return Result{Contract: "c", Kind: "k", Run: run, Failed: true}
}

func suspended(j *Tracker, agents int) []int {
	var found []int
	for i := range agents {
		if j.State(fmt.Sprint(i), epoch) == place.Suspended {
			found = append(found, i)
		}
	}
	return found
}

// One worker fails each task immediately, is free again at once, and so would get most of the
// work: callers would see most jobs fail although ten workers are healthy.
func TestFastFailingAgentIsSuspended(t *testing.T) {
	j := fleet(11, 4, func(agent, _ int) Result {
		if agent == 3 {
			return failed(time.Millisecond)
		}
		return done(100 * time.Millisecond)
	})
	if got := suspended(j, 11); len(got) != 1 || got[0] != 3 {
		t.Errorf("suspended: %v", got)
	}
}

// A customer's job fails wherever it runs. If that affected the workers' health state, the
// other customers would lose them.
func TestBrokenJobHarmsNoAgent(t *testing.T) {
	j := fleet(11, 20, func(_, round int) Result {
		if round%2 == 0 {
			return Result{Contract: "broken", Kind: "k", Failed: true, Run: time.Millisecond}
		}
		return done(100 * time.Millisecond)
	})
	if got := suspended(j, 11); len(got) != 0 {
		t.Errorf("suspended: %v", got)
	}
}

func TestMostAgentsAreNeverSuspended(t *testing.T) {
	j := fleet(11, 50, func(agent, round int) Result {
		if agent < 5 && round > 0 {
			return failed(time.Millisecond)
		}
		return done(time.Second)
	})
	if got := suspended(j, 11); len(got) > 3 {
		t.Errorf("suspended: %v", got)
	}
}

// With a single customer at low load, one bad worker may get every task of a kind, and there is
// no other agent to compare it with. It must become less preferred all the same.
func TestUncomparedFailuresRaiseSlowness(t *testing.T) {
	j := New(Options{})
	j.Add("bad")
	j.Add("idle")
	j.Report("bad", failed(time.Millisecond), epoch)
	if j.Slowness("bad") <= j.Slowness("idle") {
		t.Errorf("slowness: bad %v, idle %v", j.Slowness("bad"), j.Slowness("idle"))
	}
}

// A worker completes everything, but many times slower than the others. Jobs with a task on it
// are late, and no error shows it.
func TestSlowAgent(t *testing.T) {
	for _, c := range []struct {
		factor time.Duration
		state  place.HealthState
	}{{2, place.Healthy}, {3, place.Healthy}, {10, place.Suspended}} {
		j := fleet(11, 15, func(agent, _ int) Result {
			if agent == 0 {
				return done(c.factor * 100 * time.Millisecond)
			}
			return done(100 * time.Millisecond)
		})
		if got := j.State("0", epoch); got != c.state {
			t.Errorf("%d times slower: health state %v", c.factor, got)
		}
		if got := j.Slowness("0"); got < 0.8*float64(c.factor) && c.state == place.Healthy {
			t.Errorf("%d times slower: slowness %v", c.factor, got)
		}
		if got := j.Slowness("1"); got < 0.8 || got > 1.2 {
			t.Errorf("usual agent: slowness %v", got)
		}
	}
}

func TestTrial(t *testing.T) {
	j := fleet(11, 4, func(agent, _ int) Result {
		if agent == 0 {
			return failed(time.Millisecond)
		}
		return done(time.Second)
	})
	now := epoch
	for _, backoff := range []time.Duration{1, 2, 4} {
		if got := j.State("0", now.Add(backoff*time.Second-1)); got != place.Suspended {
			t.Fatalf("before %d s: %v", backoff, got)
		}
		now = now.Add(backoff * time.Second)
		if got := j.State("0", now); got != place.Trial {
			t.Fatalf("after %d s: %v", backoff, got)
		}
		j.Report("0", failed(time.Millisecond), now)
	}
	now = now.Add(8 * time.Second)
	j.State("0", now)
	// The trial task fails everywhere, so it says nothing about the agent.
	for i := range 11 {
		j.Report(fmt.Sprint(10-i), Result{Contract: "broken", Kind: "k", Failed: true}, now)
	}
	if got := j.State("0", now); got != place.Trial {
		t.Errorf("after a broken job on trial: %v", got)
	}
	if !j.Report("0", done(time.Second), now) || j.State("0", now) != place.Healthy {
		t.Errorf("after a good trial: %v", j.State("0", now))
	}
}

func BenchmarkReport(b *testing.B) {
	j := fleet(100, 1, func(int, int) Result { return done(time.Second) })
	r := done(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		j.Report("5", r, epoch)
	}
}
