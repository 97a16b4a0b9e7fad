package bench

import (
	"cmp"
	"slices"
	"time"
)

func sortPlan(plan []JobPlan) {
	slices.SortStableFunc(plan, func(a, b JobPlan) int { return cmp.Compare(a.At, b.At) })
}

// Ideal is the least response time that any dispatcher could give the job on an
// empty site: its longest task, or its work spread over every slot if that is
// more, and the round trips that can't be avoided.
func (p Profile) Ideal(j JobPlan, roundTrips time.Duration) time.Duration {
	var longest, total time.Duration
	for _, t := range j.Tasks {
		longest = max(longest, t.Run)
		total += t.Run
	}
	spread := time.Duration(float64(total) / p.Capacity())
	return max(longest, spread) + roundTrips
}
