package runner

import (
	"testing"
	"time"
)

func TestStallsAndSuspensionsAreToldApart(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct{ passed, steady, elapsed, suspended time.Duration }{
		"between two polls":                 {400 * ms, 400 * ms, 0, 0},
		"no processor time":                 {900 * ms, 900 * ms, 900 * ms, 0},
		"suspended":                         {300 * ms, 20 * ms, 300 * ms, 280 * ms},
		"suspended, then no processor time": {2000 * ms, 800 * ms, 2000 * ms, 1200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var m stallMeter
			start := time.Unix(100, 0)
			if elapsed, suspended := m.observe(start, time.Hour); elapsed != 0 || suspended != 0 {
				t.Errorf("first input: %v, %v", elapsed, suspended)
			}
			if elapsed, suspended := m.observe(start.Add(c.passed), time.Hour+c.steady); elapsed != c.elapsed || suspended != c.suspended {
				t.Errorf("stalled for %v, suspended for %v; want %v, %v", elapsed, suspended, c.elapsed, c.suspended)
			}
		})
	}
}
