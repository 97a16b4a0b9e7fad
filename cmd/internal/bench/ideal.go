package bench

import (
	"cmp"
	"slices"
	"time"
)

func sortPlan(plan []JobPlan) {
	slices.SortStableFunc(plan, func(a, b JobPlan) int { return cmp.Compare(a.At, b.At) })
}

// Ideal returns the shortest response time that any dispatcher could achieve for
// the job on an idle site: the run time of its longest task, or its total run time
// divided by the number of slots if that is more, plus the unavoidable round trips.
func (p Profile) Ideal(j JobPlan, roundTrips time.Duration) time.Duration {
	var longest, total time.Duration
	for _, t := range j.Tasks {
		longest = max(longest, t.Run)
		total += t.Run
	}
	spread := time.Duration(float64(total) / p.Capacity())
	return max(longest, spread) + roundTrips
}
