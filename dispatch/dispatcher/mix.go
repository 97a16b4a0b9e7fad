package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
)

// urgencyMix measures how recently placed work divides among urgencies.
type urgencyMix struct {
	buckets [mixBuckets][]urgencyWork
	at      int64 // bucket of the last addition
}

// lateUrgency is the urgency of work admitted late, of whatever queue: all work on time
// precedes it.
const lateUrgency = math.MaxUint32

// urgencyWork is the work of one urgency. A bucket has few urgencies, so a list is enough,
// and sums are reproducible.
type urgencyWork struct {
	priority uint32
	work     float64
}

const (
	// mixBuckets and mixBucketWidth span two seconds: enough for some jobs of a rarely
	// used queue, and short compared with how long a load lasts.
	mixBuckets     = 20
	mixBucketWidth = 100 * time.Millisecond
	// maxOvertakeFactor limits the factor by which overtaking lengthens a task's expected wait.
	maxOvertakeFactor = 10
	// maxOvertakeFactorLate limits it for late work. All work on time overtakes it, which near
	// capacity is nearly everything, but that work is limited itself, by the wait margin. With
	// 10 hardly any late work was admitted at a load at which most of it gets done: a replayed
	// overload earned 0.49 instead of 0.53.
	maxOvertakeFactorLate = 3
)

func (m *urgencyMix) advance(now time.Time) {
	m.at = rotateBuckets(m.buckets[:], m.at, now, mixBucketWidth, func(b *[]urgencyWork) { *b = (*b)[:0] })
}

func (m *urgencyMix) add(now time.Time, priority uint32, s size.Size, run time.Duration) {
	m.advance(now)
	b := &m.buckets[m.at%mixBuckets]
	i := slices.IndexFunc(*b, func(w urgencyWork) bool { return w.priority == priority })
	if i < 0 {
		i = len(*b)
		*b = append(*b, urgencyWork{priority: priority})
	}
	(*b)[i].work += work(s, run)
}

// overtakeFactor returns how many times longer than the work ahead of it a task waits because
// more urgent work keeps arriving and overtakes it: only the capacity that more urgent work
// leaves is available to it and its equals.
func (m *urgencyMix) overtakeFactor(now time.Time, priority uint32) float64 {
	m.advance(now)
	var urgent, all float64
	for _, b := range m.buckets {
		for _, w := range b {
			all += w.work
			if w.priority < priority {
				urgent += w.work
			}
		}
	}
	if all == 0 {
		return 1
	}
	limit := float64(maxOvertakeFactor)
	if priority == lateUrgency {
		limit = maxOvertakeFactorLate
	}
	return min(all/max(all-urgent, all/limit), limit)
}
