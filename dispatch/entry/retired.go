package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// retiredIDs holds the ids of this home that must never be started again: those
// that were refused, and those whose answer is no longer kept. Without it a delayed
// request could start a job after its caller was answered "not run", or start it a
// second time.
//
// Ids are kept by the period of their home token, as 64-bit hashes. A period is
// dropped as a whole when its token expires: from then on none of its ids can start,
// whether remembered or not. If there are too many ids, the oldest token expires
// early.
type retiredIDs struct {
	ttl, periodLength time.Duration
	maxIDs            int

	firstPeriod uint64 // period of buckets[0]
	buckets     []bucket
	size        int
}

// bucket holds the ids of one period.
type bucket struct {
	opened time.Time
	ids    map[uint64]verdict
}

// verdict is why an id is retired: the index of its refusal's code in refusalCodes,
// or ranBefore.
type verdict uint8

const ranBefore verdict = 255

// refusalCodes lists the codes that a repeated refusal may carry.
var refusalCodes = []jobs.Code{
	jobs.CodeUnavailable, jobs.CodeOverloaded, jobs.CodeQueueFull, jobs.CodeRateLimited, jobs.CodeLeaving,
	jobs.CodeUnknownContract, jobs.CodeDoesNotFit, jobs.CodeBadRequest, jobs.CodeTooLarge, jobs.CodeDeadline,
	jobs.CodeCancelled, jobs.CodeHomeLost, jobs.CodeUnauthorized,
}

// verdictOf returns the verdict for a code. A code that is not listed becomes the
// first one, "unavailable".
func verdictOf(code string) verdict {
	for i, c := range refusalCodes {
		if string(c) == code {
			return verdict(i)
		}
	}
	return 0
}

// minBuckets bounds the ids of one period: a new period starts once the current one
// holds maxIDs/minBuckets ids.
const minBuckets = 8

func newRetiredIDs(now time.Time, o Options) *retiredIDs {
	s := &retiredIDs{ttl: o.TokenTTL, periodLength: o.TokenPeriod, maxIDs: o.MaxRetiredIDs}
	s.open(now)
	return s
}

func (s *retiredIDs) open(now time.Time) {
	s.buckets = append(s.buckets, bucket{opened: now, ids: make(map[uint64]verdict)})
}

// period returns the current period, for which tokens are handed out.
func (s *retiredIDs) period(now time.Time) uint64 {
	last := &s.buckets[len(s.buckets)-1]
	if !now.Before(last.opened.Add(s.periodLength)) || len(last.ids) >= s.maxIDs/minBuckets {
		s.open(now)
	}
	s.expire(now)
	return s.firstPeriod + uint64(len(s.buckets)) - 1
}

func (s *retiredIDs) expire(now time.Time) {
	for len(s.buckets) > 1 && (s.size > s.maxIDs || !now.Before(s.buckets[0].opened.Add(s.ttl))) {
		s.size -= len(s.buckets[0].ids)
		s.buckets = s.buckets[1:]
		s.firstPeriod++
	}
}

// live reports whether ids of the period may still start a job.
func (s *retiredIDs) live(now time.Time, period uint64) bool {
	s.expire(now)
	if period < s.firstPeriod || period >= s.firstPeriod+uint64(len(s.buckets)) {
		return false
	}
	return now.Before(s.buckets[period-s.firstPeriod].opened.Add(s.ttl))
}

func (s *retiredIDs) add(now time.Time, period uint64, name string, v verdict) {
	if !s.live(now, period) {
		return
	}
	ids := s.buckets[period-s.firstPeriod].ids
	before := len(ids)
	ids[xxhash.Sum64String(name)] = v
	s.size += len(ids) - before
	if s.size > s.maxIDs && len(s.buckets) == 1 {
		s.open(now)
	}
	s.expire(now)
}

func (s *retiredIDs) find(period uint64, name string) (verdict, bool) {
	if period < s.firstPeriod || period >= s.firstPeriod+uint64(len(s.buckets)) {
		return 0, false
	}
	v, ok := s.buckets[period-s.firstPeriod].ids[xxhash.Sum64String(name)]
	return v, ok
}
