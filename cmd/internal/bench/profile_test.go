package bench

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func offered(p Profile, plan []JobPlan, length time.Duration) []float64 {
	shares := make([]float64, len(p.Streams))
	for i := range plan {
		shares[plan[i].Stream] += taskSeconds(&plan[i]) / (p.Capacity() * length.Seconds())
	}
	return shares
}

func TestPlanOffersItsLoad(t *testing.T) {
	const load, length = 0.7, 2 * time.Hour
	for _, p := range []Profile{Cadwaladr(), Hilvana()} {
		for i, got := range offered(p, p.Plan(1, load, length, ""), length) {
			want := load * p.Streams[i].Share
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("%s: %s offers %.3f of capacity, want %.3f", p.Name, p.Streams[i].Contract.Name, got, want)
			}
		}
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	p := Cadwaladr()
	plan := p.Plan(7, 0.7, time.Minute, "")
	if diff := cmp.Diff(plan, p.Plan(7, 0.7, time.Minute, "")); diff != "" {
		t.Errorf("the same seed generated a different plan: %s", diff)
	}
	for i := 1; i < len(plan); i++ {
		if plan[i].At < plan[i-1].At {
			t.Fatalf("job %d arrives at %s, after one at %s", i, plan[i].At, plan[i-1].At)
		}
	}
}

func TestNoisyContractKeepsOtherArrivals(t *testing.T) {
	p := Cadwaladr()
	const noisy = 1
	only := func(plan []JobPlan) (out []JobPlan) {
		for _, j := range plan {
			if j.Stream != noisy {
				out = append(out, j)
			}
		}
		return out
	}
	quiet := p.Plan(3, 0.7, time.Minute, "")
	loud := p.Plan(3, 0.7, time.Minute, p.Streams[noisy].Contract.Name)
	if diff := cmp.Diff(only(quiet), only(loud)); diff != "" {
		t.Errorf("the others' arrivals changed: %s", diff)
	}
	if a, b := offered(p, quiet, time.Minute)[noisy], offered(p, loud, time.Minute)[noisy]; b < 5*a {
		t.Errorf("the noisy contract offers %.2f, %.2f when quiet", b, a)
	}
}

func TestIdeal(t *testing.T) {
	p := Profile{Workers: 1, Slots: 2}
	tests := []struct {
		name string
		runs []time.Duration
		want time.Duration
	}{
		{"one task", []time.Duration{100}, 105},
		{"longest counts", []time.Duration{100, 300}, 305},
		{"more work than slots", []time.Duration{100, 100, 100, 100}, 205},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var j JobPlan
			for _, r := range test.runs {
				j.Tasks = append(j.Tasks, TaskPlan{Run: r})
			}
			if got := p.Ideal(j, 5); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
