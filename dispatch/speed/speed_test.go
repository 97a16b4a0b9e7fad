package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const nominal = 100 * time.Millisecond

// report reports rounds of runs, one for each worker a round, that vary by a factor of 1.5 either
// way, and returns the lowest and the highest speed that each worker had at the end of a round.
func report(t *Tracker, seed uint64, rounds int, speeds ...float64) (lowest, highest []float64) {
	r := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(1000, 0)
	for range speeds {
		lowest, highest = append(lowest, math.Inf(1)), append(highest, 0)
	}
	for range rounds {
		now = now.Add(DefaultRefreshInterval)
		for i, s := range speeds {
			t.Report(fmt.Sprint(i), time.Duration(float64(nominal)/s*math.Pow(1.5, 2*r.Float64()-1)), nominal, now)
		}
		for i := range speeds {
			lowest[i], highest[i] = min(lowest[i], t.Speed(fmt.Sprint(i))), max(highest[i], t.Speed(fmt.Sprint(i)))
		}
	}
	return lowest, highest
}

func uniform(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

// Workers of one speed, whose run times vary: a speed other than 1 would change decisions of
// sites that have nothing to gain.
func TestUniformWorkersKeepSpeedOne(t *testing.T) {
	for seed := range uint64(20) {
		lowest, highest := report(New(Options{}), seed, 500, uniform(60)...)
		for i := range lowest {
			if lowest[i] != 1 || highest[i] != 1 {
				t.Errorf("seed %d, worker %d: speed %.3f to %.3f, want 1", seed, i, lowest[i], highest[i])
			}
		}
	}
}

// The workers of a site have different speeds, or too little is known of them.
func TestSpeeds(t *testing.T) {
	for name, c := range map[string]struct {
		rounds       int
		speeds, want []float64
	}{
		"uneven":           {200, []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 1}, []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 1}},
		"limited":          {200, []float64{0.1, 1, 1, 1, 10}, []float64{0.25, 1, 1, 1, 4}},
		"too few runs":     {minRuns - 1, []float64{0.6, 1, 1, 1.6}, uniform(4)},
		"too few workers":  {200, []float64{0.6, 1.6}, uniform(2)},
		"all equally slow": {200, []float64{0.5, 0.5, 0.5, 0.5}, uniform(4)},
	} {
		tr := New(Options{})
		report(tr, 1, c.rounds, c.speeds...)
		for i, want := range c.want {
			if got := tr.Speed(fmt.Sprint(i)); math.Abs(math.Log(got/want)) > math.Log(1.2) {
				t.Errorf("%s: worker %d has speed %.2f, want %.2f", name, i, got, want)
			}
		}
	}
}

// A worker is replaced by one of another speed under the same name.
func TestRemovedWorkerStartsAtOne(t *testing.T) {
	tr := New(Options{})
	report(tr, 1, 100, 0.5, 1, 1, 1)
	if got := tr.Speed("0"); got > 0.8 {
		t.Fatalf("speed %.2f before its removal", got)
	}
	tr.Remove("0")
	if got := tr.Speed("0"); got != 1 {
		t.Errorf("speed %.2f after its removal", got)
	}
}

// A worker that was slow for a while gets no more tasks, so that no run shows that it has
// recovered. It must not be left out for good.
func TestWorkerWithoutRunsIsUsualAgain(t *testing.T) {
	tr := New(Options{})
	report(tr, 1, 100, 0.25, 1, 1, 1)
	if got := tr.Speed("0"); got > 0.5 {
		t.Fatalf("speed %.2f of a slow worker", got)
	}
	tr.Report("1", nominal, nominal, tr.refreshedAt.Add(retention+time.Second))
	if got := tr.Speed("0"); got != 1 {
		t.Errorf("speed %.2f after %v without a run, want 1", got, retention)
	}
}

// Reports come at 560,000 a second at the largest sites: a pass over all workers at each, or an
// allocation, would cost more than the entry may use.
func TestReportsBetweenRefreshes(t *testing.T) {
	tr := New(Options{})
	report(tr, 1, 100, 0.5, 1, 1, 1)
	now := tr.refreshedAt.Add(DefaultRefreshInterval - time.Millisecond)
	if tr.Report("0", nominal, nominal, now) {
		t.Error("speeds were computed within the interval")
	}
	if !tr.Report("0", nominal, nominal, now.Add(time.Millisecond)) {
		t.Error("speeds were not computed after the interval")
	}
	if n := testing.AllocsPerRun(100, func() { now = now.Add(time.Second); tr.Report("0", nominal, nominal, now) }); n > 0 {
		t.Errorf("%.1f allocations per report", n)
	}
}
