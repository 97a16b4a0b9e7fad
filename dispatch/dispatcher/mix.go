package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
)

// mix measures how the work placed lately divides among urgencies.
type mix struct {
	buckets [mixBuckets][]workOf
	at      int64 // bucket of the last addition
}

// lateUrgency is that of work that was taken in late, of whatever queue: all that is in
// time goes first.
const lateUrgency = math.MaxUint32

// workOf is the work of one urgency; a bucket has few, so a list serves, and sums
// come out the same each time.
type workOf struct {
	priority uint32
	work     float64
}

const (
	// mixBuckets and mixBucket span two seconds: enough for some jobs of a seldom
	// queue, little against how long a load lasts.
	mixBuckets = 20
	mixBucket  = 100 * time.Millisecond
	// maxPassed bounds how much longer than its queue a task is expected to wait.
	maxPassed = 10
	// maxPassedLate bounds it for late work. All that is in time passes it, and at a load
	// near the capacity that is nearly everything; but what is in time is bounded itself,
	// by the margin. With 10 hardly any late work was taken in at a load at which most of
	// it gets done; of the replay of an overload 0.49 was earned in place of 0.53.
	maxPassedLate = 3
)

func (m *mix) advance(now time.Time) {
	m.at = turnOver(m.buckets[:], m.at, now, mixBucket, func(b *[]workOf) { *b = (*b)[:0] })
}

func (m *mix) add(now time.Time, priority uint32, s size.Size, run time.Duration) {
	m.advance(now)
	b := &m.buckets[m.at%mixBuckets]
	i := slices.IndexFunc(*b, func(w workOf) bool { return w.priority == priority })
	if i < 0 {
		i = len(*b)
		*b = append(*b, workOf{priority: priority})
	}
	(*b)[i].work += work(s, run)
}

// passedBy is how many times longer than the work ahead of it a task waits, because
// more urgent work goes on arriving and passes it: of the room that comes free, only
// what the more urgent leave is for it and those like it.
func (m *mix) passedBy(now time.Time, priority uint32) float64 {
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
	bound := float64(maxPassed)
	if priority == lateUrgency {
		bound = maxPassedLate
	}
	return min(all/max(all-urgent, all/bound), bound)
}
