package client

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
)

var namespace = errorx.NewNamespace("client")

// Types of this package's errors.
var (
	// Misuse means that options or a job are invalid. Nothing was sent.
	Misuse = namespace.NewType("misuse")
	// NotRun means that no task of the job has started, and none will under
	// its id.
	NotRun = namespace.NewType("not_run")
	// Failed means that the job is over without an answer; tasks may have run.
	Failed = namespace.NewType("failed")
	// OutcomeUnknown means that tasks may have run or may run yet.
	OutcomeUnknown = namespace.NewType("outcome_unknown")
	// NotFound means that no entry knows a job that was asked for by id.
	NotFound = namespace.NewType("not_found")
)

// Types of one attempt's faults; callers see them as causes only.
var (
	// unsent means that no connection was made: nothing reached an entry.
	unsent = namespace.NewType("unsent")
	// lost means that the request may have reached an entry, and no whole
	// answer came back.
	lost = namespace.NewType("lost")
)

var (
	propertyCode       = errorx.RegisterProperty("code")
	propertyJob        = errorx.RegisterProperty("job")
	propertyRetryAfter = errorx.RegisterProperty("retry_after")
	propertyNeverSent  = errorx.RegisterProperty("never_sent")
)

// CodeOf returns the code that an entry gave for err, or "".
func CodeOf(err error) jobs.Code {
	return property[jobs.Code](err, propertyCode)
}

// JobOf returns the id of the job that err is about, or "".
func JobOf(err error) string {
	return property[string](err, propertyJob)
}

// RetryAfterOf returns when submitting again may help, as the entry said; zero
// if it said nothing.
func RetryAfterOf(err error) time.Duration {
	return property[time.Duration](err, propertyRetryAfter)
}

func property[T any](err error, key errorx.Property) T {
	found, _ := errorx.ExtractProperty(err, key)
	value, _ := found.(T)
	return value
}

// fromEntry turns an entry's error body into one of this package's errors.
func fromEntry(id string, e jobs.Error) *errorx.Error {
	return typeOf(e).New("%s: %s", e.Code, e.Message).
		WithProperty(propertyJob, id).
		WithProperty(propertyCode, e.Code).
		WithProperty(propertyRetryAfter, time.Duration(e.RetryAfterMillis)*time.Millisecond)
}

// typeOf takes the entry's word for the outcome, and no word for unknown. A
// conflict's word is about the body that was sent; another job has the id, and
// may have run.
func typeOf(e jobs.Error) *errorx.Type {
	switch {
	case e.Code == jobs.CodeConflict:
		return OutcomeUnknown
	case e.Outcome == jobs.OutcomeNotRun:
		return NotRun
	case e.Outcome == jobs.OutcomeFailed:
		return Failed
	case e.Outcome == "" && e.Code == jobs.CodeNotFound:
		return NotFound
	default:
		return OutcomeUnknown
	}
}
