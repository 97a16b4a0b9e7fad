package estimate

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

const mb = 1 << 20

func wantBetween(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s = %v, want %v to %v", what, got, low, high)
	}
}

func TestEstimateUnknownKind(t *testing.T) {
	e := New(Options{})
	got := e.Estimate("c", "k", Declared{}, epoch)
	if got != (Estimate{Memory: DefaultMemory, Run: DefaultRun}) {
		t.Errorf("nothing declared: %+v", got)
	}
	got = e.Estimate("c", "k", Declared{Memory: 5 * mb, Run: time.Second}, epoch)
	if got != (Estimate{Memory: 5 * mb, Run: time.Second, Certain: true}) {
		t.Errorf("declared: %+v", got)
	}
}

// Callers declare a tenth or ten times of what their tasks take. If the declaration is too low,
// a worker gets more than it can hold; if it is too high, slots stay empty.
func TestEstimateWrongDeclarationLosesWeight(t *testing.T) {
	for _, declared := range []uint64{10 * mb, 1000 * mb} {
		t.Run(fmt.Sprint(declared/mb), func(t *testing.T) {
			e := New(Options{})
			d := Declared{Memory: declared, Run: 5 * time.Second}
			e.Report("c", "k", Usage{Memory: 100 * mb, Run: 100 * time.Millisecond}, epoch)
			if first := e.Estimate("c", "k", d, epoch); first.Memory < 100*mb || first.Certain {
				t.Errorf("after one report: %+v", first)
			}
			for range 199 {
				e.Report("c", "k", Usage{Memory: 100 * mb, Run: 100 * time.Millisecond}, epoch)
			}
			got := e.Estimate("c", "k", d, epoch)
			wantBetween(t, "memory", float64(got.Memory)/mb, 100, 150)
			wantBetween(t, "run", got.Run.Seconds(), 0.09, 0.25)
			wantBetween(t, "minimum run", got.MinRun.Seconds(), 0.08, 0.1)
		})
	}
}

func TestEstimateTrustsAccurateDeclaredRun(t *testing.T) {
	e := New(Options{})
	report := func(n int, declared time.Duration) {
		for range n {
			e.Report("c", "k", Usage{Run: 100 * time.Millisecond, Declared: Declared{Run: declared}}, epoch)
		}
	}
	want := Declared{Run: 2 * time.Second}
	report(50, 110*time.Millisecond)
	if got := e.Estimate("c", "k", want, epoch).Run; got != want.Run {
		t.Errorf("while declarations are accurate: %v", got)
	}
	report(50, time.Second)
	wantBetween(t, "run, while declarations are inaccurate", e.Estimate("c", "k", want, epoch).Run.Seconds(), 0.1, 0.2)
}

func TestEstimateAdaptsToChange(t *testing.T) {
	e := New(Options{})
	for _, memory := range []uint64{1000, 100} {
		for range 3 * historyWindow {
			e.Report("c", "k", Usage{Memory: memory * mb, Run: time.Second}, epoch)
		}
	}
	got := e.Estimate("c", "k", Declared{}, epoch)
	wantBetween(t, "memory", float64(got.Memory)/mb, 100, 140)
}

// A kind's tasks became shorter, but its jobs are refused because of the run time learned
// before, so no report can correct it. Callers must not be refused for ever.
func TestEstimateOldReportsCauseNoRefusal(t *testing.T) {
	e := New(Options{})
	for range 100 {
		e.Report("c", "k", Usage{Memory: 100 * mb, Run: time.Second}, epoch)
	}
	if got := e.Estimate("c", "k", Declared{}, epoch.Add(DefaultMaxReportAge)); !got.Certain || got.MinRun == 0 {
		t.Errorf("fresh: %+v", got)
	}
	if got := e.Estimate("c", "k", Declared{}, epoch.Add(DefaultMaxReportAge+1)); got.Certain || got.MinRun != 0 {
		t.Errorf("old: %+v", got)
	}
}

func TestEstimateBounded(t *testing.T) {
	e := New(Options{MaxKinds: 3})
	for i := range 10 {
		e.Report("c", fmt.Sprint(i), Usage{Memory: 7 * mb, Run: time.Second}, epoch)
		e.Estimate("c", "0", Declared{}, epoch)
	}
	if e.Kinds() != 3 {
		t.Errorf("%d kinds", e.Kinds())
	}
	if got := e.Estimate("c", "0", Declared{Memory: mb}, epoch); got.Memory <= mb {
		t.Errorf("the kind in use was evicted: %+v", got)
	}
}

func BenchmarkEstimate(b *testing.B) {
	e := New(Options{})
	e.Report("c", "k", Usage{Memory: mb, Run: time.Second}, epoch)
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate("c", "k", Declared{}, epoch)
	}
}

func BenchmarkReport(b *testing.B) {
	e := New(Options{})
	b.ReportAllocs()
	for b.Loop() {
		e.Report("c", "k", Usage{Memory: 100 * mb, Run: time.Second}, epoch)
	}
}
