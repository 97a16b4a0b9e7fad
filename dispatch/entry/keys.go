package entry

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/keyhome"
)

// keyPeriod stands in for the period of an id that is a caller-made key.
const keyPeriod = math.MaxUint64

// KeyResolver returns the component that resolves the homes of caller-made keys. The driver
// must supply its inputs, serialized with those of the Entry; until then no key is
// served.
func (e *Entry) KeyResolver() *keyhome.Resolver { return e.keyResolver }

// KeyHome returns the home of a job whose id is a caller-made key. A job that is
// known here is served here, even if its key would have another home by now.
func (e *Entry) KeyHome(now time.Time, j *pb.Job) (keyhome.Verdict, string) {
	name := job.Name(j.Contract, j.Id)
	if e.jobs[name] != nil {
		return keyhome.Local, e.opts.Hello.Incarnation
	}
	if _, ok := e.retired.findKey(name); ok {
		return keyhome.Local, e.opts.Hello.Incarnation
	}
	first := now
	if j.FirstSentUnixMs != 0 {
		first = time.UnixMilli(j.FirstSentUnixMs)
	}
	return e.keyResolver.Home(now, name, first)
}

// submitKey submits a job whose id is a caller-made key, unless another entry may
// have started it.
func (e *Entry) submitKey(now time.Time, j *pb.Job, name string, digest uint64) (Admission, *pb.Answer) {
	if v, ok := e.retired.findKey(name); ok {
		return Answered, retiredAnswer(j.Id, v)
	}
	if j.FirstSentUnixMs == 0 {
		return Answered, unknown(j.Id, jobs.CodeBadRequest, "an id without a home token needs first_sent_unix_ms")
	}
	verdict, _ := e.KeyHome(now, j)
	first := time.UnixMilli(j.FirstSentUnixMs)
	if verdict != keyhome.Local || !e.retired.keyLive(now, first.Add(-e.opts.KeyResolver.Skew)) {
		return Answered, KeyUnknown(j.Id)
	}
	queued, answer := e.admit(now, j, name)
	if answer != nil {
		e.recordRefusal(now, j, answer)
		e.retired.addKey(now, name, verdictOf(answer.Code))
		return Answered, answer
	}
	e.acceptJob(now, j, name, keyPeriod, digest, queued)
	return Accepted, nil
}

// KeyUnknown returns the answer for a key of which no reachable entry can rule out
// that it was started before.
func KeyUnknown(id string) *pb.Answer {
	return RetryLater(id, "no entry can rule out that the key was started before; see first_sent_unix_ms")
}

// addKey adds a key to the newest period.
func (s *retiredIDs) addKey(now time.Time, name string, v verdict) {
	s.add(now, s.period(now), name, v)
}

func (s *retiredIDs) findKey(name string) (verdict, bool) {
	for i := range s.buckets {
		if v, ok := s.find(s.firstPeriod+uint64(i), name); ok {
			return v, true
		}
	}
	return 0, false
}

// keyLive reports whether a key first sent at the given time would still be
// remembered if it had been started: it would be in the period that was open at that
// time or in a later one.
func (s *retiredIDs) keyLive(now, firstSent time.Time) bool {
	s.expire(now)
	return firstSent.After(s.buckets[0].opened)
}
