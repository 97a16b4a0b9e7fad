package entry

import (
	"math"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/door"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// keyPeriod stands for the period of an id that is a key of the caller's own.
const keyPeriod = math.MaxUint64

// Door decides on keys of the callers' own. The driver feeds it, within the same
// serialization as the other inputs; without that no key is served.
func (e *Entry) Door() *door.Door { return e.door }

// KeyHome returns the home of a job whose id is a key. A job that is known here is
// served here, whoever its home would be by now.
func (e *Entry) KeyHome(now time.Time, j *pb.Job) (door.Verdict, string) {
	name := job.Name(j.Contract, j.Id)
	if e.jobs[name] != nil {
		return door.Mine, e.opts.Hello.Incarnation
	}
	if _, ok := e.spent.findKey(name); ok {
		return door.Mine, e.opts.Hello.Incarnation
	}
	first := now
	if j.FirstSentUnixMs != 0 {
		first = time.UnixMilli(j.FirstSentUnixMs)
	}
	return e.door.Home(now, name, first)
}

// submitKey takes in a job whose id is a key, unless another entry may have
// started it.
func (e *Entry) submitKey(now time.Time, j *pb.Job, name string, digest uint64) (Admission, *pb.Answer) {
	if v, ok := e.spent.findKey(name); ok {
		return Answered, spentAnswer(j.Id, v)
	}
	if j.FirstSentUnixMs == 0 {
		return Answered, unknown(j.Id, jobs.CodeBadRequest, "an id without a home token needs first_sent_unix_ms")
	}
	verdict, _ := e.KeyHome(now, j)
	first := time.UnixMilli(j.FirstSentUnixMs)
	if verdict != door.Mine || !e.spent.keyLive(now, first.Add(-e.opts.Door.Skew)) {
		return Answered, KeyUnknown(j.Id)
	}
	queued, answer := e.admit(now, j, name)
	if answer != nil {
		e.recordRefusal(now, j, answer)
		e.spent.addKey(now, name, verdictOf(answer.Code))
		return Answered, answer
	}
	e.takeIn(now, j, name, keyPeriod, digest, queued)
	return Accepted, nil
}

// KeyUnknown is the answer to a key that no reachable entry can vouch for.
func KeyUnknown(id string) *pb.Answer {
	return AskAgain(id, "no entry can vouch that the key was never started; see first_sent_unix_ms")
}

// addKey remembers a key in the newest bucket.
func (s *spent) addKey(now time.Time, name string, v verdict) {
	s.add(now, s.period(now), name, v)
}

func (s *spent) findKey(name string) (verdict, bool) {
	for i := range s.buckets {
		if v, ok := s.find(s.first+uint64(i), name); ok {
			return v, true
		}
	}
	return 0, false
}

// keyLive reports whether a key first sent at the given time would still be
// remembered, had it been started: it went into a bucket that was open then or
// later.
func (s *spent) keyLive(now, firstSent time.Time) bool {
	s.expire(now)
	return firstSent.After(s.buckets[0].opened)
}
