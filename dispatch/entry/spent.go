package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// spent remembers the ids of this home that must never be started again: those
// that were refused, and those whose answer is no longer kept. Without it a
// request that was delayed on its way could start a job after its caller was told
// "not run", or start it a second time.
//
// Ids are kept by the period of their home token, as 64-bit hashes, and a period
// is dropped whole when its token expires: from then on none of its ids is started,
// known or not. When there are too many, the oldest token expires early.
type spent struct {
	ttl, length time.Duration
	max         int

	first   uint64 // number of buckets[0]
	buckets []bucket
	size    int
}

// bucket is one period.
type bucket struct {
	opened time.Time
	ids    map[uint64]verdict
}

// verdict is what is remembered of an id: the index of its refusal's code in
// refusalCodes, or ranBefore.
type verdict uint8

const ranBefore verdict = 255

// refusalCodes lists the codes that a repeated refusal may carry.
var refusalCodes = []jobs.Code{
	jobs.CodeUnavailable, jobs.CodeOverloaded, jobs.CodeQueueFull, jobs.CodeRateLimited, jobs.CodeLeaving,
	jobs.CodeUnknownContract, jobs.CodeDoesNotFit, jobs.CodeBadRequest, jobs.CodeTooLarge, jobs.CodeDeadline,
	jobs.CodeCancelled, jobs.CodeHomeLost, jobs.CodeUnauthorized,
}

// codeOf returns the verdict for a code; one that is not listed becomes the
// first, "unavailable".
func verdictOf(code string) verdict {
	for i, c := range refusalCodes {
		if string(c) == code {
			return verdict(i)
		}
	}
	return 0
}

// bucketsPerMax is how many periods share the bound, at least.
const bucketsPerMax = 8

func newSpent(now time.Time, o Options) *spent {
	s := &spent{ttl: o.TokenTTL, length: o.TokenPeriod, max: o.MaxSpent}
	s.open(now)
	return s
}

func (s *spent) open(now time.Time) {
	s.buckets = append(s.buckets, bucket{opened: now, ids: make(map[uint64]verdict)})
}

// period is the number of the period that tokens are handed out for now.
func (s *spent) period(now time.Time) uint64 {
	last := &s.buckets[len(s.buckets)-1]
	if !now.Before(last.opened.Add(s.length)) || len(last.ids) >= s.max/bucketsPerMax {
		s.open(now)
	}
	s.expire(now)
	return s.first + uint64(len(s.buckets)) - 1
}

func (s *spent) expire(now time.Time) {
	for len(s.buckets) > 1 && (s.size > s.max || !now.Before(s.buckets[0].opened.Add(s.ttl))) {
		s.size -= len(s.buckets[0].ids)
		s.buckets = s.buckets[1:]
		s.first++
	}
}

// live reports whether ids of the period may still be started.
func (s *spent) live(now time.Time, period uint64) bool {
	s.expire(now)
	if period < s.first || period >= s.first+uint64(len(s.buckets)) {
		return false
	}
	return now.Before(s.buckets[period-s.first].opened.Add(s.ttl))
}

func (s *spent) add(now time.Time, period uint64, name string, v verdict) {
	if !s.live(now, period) {
		return
	}
	ids := s.buckets[period-s.first].ids
	before := len(ids)
	ids[xxhash.Sum64String(name)] = v
	s.size += len(ids) - before
	if s.size > s.max && len(s.buckets) == 1 {
		s.open(now)
	}
	s.expire(now)
}

func (s *spent) find(period uint64, name string) (verdict, bool) {
	if period < s.first || period >= s.first+uint64(len(s.buckets)) {
		return 0, false
	}
	v, ok := s.buckets[period-s.first].ids[xxhash.Sum64String(name)]
	return v, ok
}
