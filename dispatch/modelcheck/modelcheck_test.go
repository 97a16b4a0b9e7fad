package modelcheck_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/modelcheck"
)

var (
	schedules = flag.Int("schedules", 2200, "schedules to run")
	firstSeed = flag.Uint64("first", 1, "seed of the first schedule")
	oneSeed   = flag.Uint64("seed", 0, "run only this schedule and print its trace")
)

const workers = 4

// Anything may fail at any moment, together or twice. Whatever the order, no
// task starts twice, no answer is partial, "not run" stays true, and a job that
// was taken in gets its answer.
func TestSchedules(t *testing.T) {
	if *oneSeed != 0 {
		report(t, modelcheck.Check(*oneSeed, true))
		return
	}
	var mu sync.Mutex
	sum := make(map[string]*total)
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < *schedules; i += workers {
				r := modelcheck.Check(*firstSeed+uint64(i), false)
				mu.Lock()
				add(sum, r)
				if len(r.Violations) > 0 {
					t.Errorf("seed %d (%s): %s\nagain with -run TestSchedules -seed %d", r.Seed, r.Profile, strings.Join(r.Violations, "; "), r.Seed)
				}
				failed := t.Failed()
				mu.Unlock()
				if failed {
					return
				}
			}
		})
	}
	wg.Wait()
	for name, s := range sum {
		t.Logf("%-30s %s", name, s)
	}
}

// foundSeeds are schedules that have shown a fault and are not of the fixed set:
// 5013803, a leaving agent waited for an entry that knew it and had crashed since.
var foundSeeds = []uint64{5013803}

// Schedules that have shown a fault once must not show it again.
func TestFoundSeeds(t *testing.T) {
	for _, seed := range foundSeeds {
		if r := modelcheck.Check(seed, false); len(r.Violations) > 0 {
			t.Errorf("seed %d (%s): %s", r.Seed, r.Profile, strings.Join(r.Violations, "; "))
		}
	}
}

type total struct {
	schedules, jobs, starts, needed, avoidable int
	answers                                    map[pb.Outcome]int
}

func (s *total) String() string {
	return fmt.Sprintf("schedules %d jobs %d starts %d complete %d failed %d not run %d unknown %d (needed %d, avoidable %d)",
		s.schedules, s.jobs, s.starts, s.answers[pb.Outcome_OUTCOME_COMPLETE], s.answers[pb.Outcome_OUTCOME_FAILED],
		s.answers[pb.Outcome_OUTCOME_NOT_RUN], s.answers[pb.Outcome_OUTCOME_UNKNOWN], s.needed, s.avoidable)
}

func add(sum map[string]*total, r *modelcheck.Report) {
	s := sum[r.Profile]
	if s == nil {
		s = &total{answers: make(map[pb.Outcome]int)}
		sum[r.Profile] = s
	}
	s.schedules++
	s.jobs += r.Jobs
	s.starts += r.Starts
	s.needed += r.UnknownNeeded
	s.avoidable += r.UnknownAvoidable
	for o, n := range r.Answers {
		s.answers[o] += n
	}
}

func report(t *testing.T, r *modelcheck.Report) {
	t.Logf("seed %d, %s\n%s", r.Seed, r.Profile, strings.Join(r.Trace, "\n"))
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// A schedule that can't be repeated can't be mended.
func TestSameSeedSameRun(t *testing.T) {
	for seed := uint64(1); seed < 40; seed++ {
		a, b := modelcheck.Check(seed, true), modelcheck.Check(seed, true)
		if x, y := strings.Join(a.Trace, "\n"), strings.Join(b.Trace, "\n"); x != y {
			t.Fatalf("seed %d gave two runs:\n%s\n---\n%s", seed, x, y)
		}
	}
}
