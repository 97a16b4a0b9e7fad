package dispatcher

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/size"
)

// rate measures an amount per second over the last half second.
type rate struct {
	buckets [rateBuckets]float64
	at      int64 // bucket of the last addition
}

const (
	rateBuckets     = 10
	rateBucketWidth = 50 * time.Millisecond
)

// work is a task's CPU time in core milliseconds.
func work(s size.Size, run time.Duration) float64 { return float64(s.CPUMillis) * run.Seconds() }

// rotateBuckets clears the buckets of a ring that expired since the last addition, and
// returns the current bucket.
func rotateBuckets[T any](buckets []T, last int64, now time.Time, width time.Duration, clear func(*T)) int64 {
	at, n := now.UnixNano()/int64(width), int64(len(buckets))
	for i := range min(at-last, n) {
		clear(&buckets[(at-i)%n])
	}
	return at
}

func (r *rate) advance(now time.Time) {
	r.at = rotateBuckets(r.buckets[:], r.at, now, rateBucketWidth, func(b *float64) { *b = 0 })
}

func (r *rate) add(now time.Time, amount float64) {
	r.advance(now)
	r.buckets[r.at%rateBuckets] += amount
}

func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0.0
	for _, b := range r.buckets {
		sum += b
	}
	return sum / (rateBuckets * rateBucketWidth).Seconds()
}
