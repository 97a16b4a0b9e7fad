package client

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
)

var namespace = errorx.NewNamespace("client")

// Types of this package's errors.
var (
	// Misuse means that the options or the job are invalid. Nothing was sent.
	Misuse = namespace.NewType("misuse")
	// NotRun means that no task of the job has started, and none will start
	// under its id.
	NotRun = namespace.NewType("not_run")
	// Failed means that the job is over without an answer; tasks may have run.
	Failed = namespace.NewType("failed")
	// OutcomeUnknown means that tasks may have run or may still run.
	OutcomeUnknown = namespace.NewType("outcome_unknown")
	// NotFound means that no entry knows the requested job id.
	NotFound = namespace.NewType("not_found")
)

// Error types of a single attempt; callers see them only as causes.
var (
	// unsent means that no connection was established, so nothing reached an entry.
	unsent = namespace.NewType("unsent")
	// lost means that the request may have reached an entry, but no complete
	// response arrived.
	lost = namespace.NewType("lost")
)

var (
	propertyCode       = errorx.RegisterProperty("code")
	propertyJob        = errorx.RegisterProperty("job")
	propertyRetryAfter = errorx.RegisterProperty("retry_after")
	propertyNeverSent  = errorx.RegisterProperty("never_sent")
)

// CodeOf returns the code that an entry returned with err, or "".
func CodeOf(err error) jobs.Code {
	return property[jobs.Code](err, propertyCode)
}

// JobOf returns the id of the job that err refers to, or "".
func JobOf(err error) string {
	return property[string](err, propertyJob)
}

// RetryAfterOf returns the delay after which the entry suggests another
// submission; zero if it suggested none.
func RetryAfterOf(err error) time.Duration {
	return property[time.Duration](err, propertyRetryAfter)
}

func property[T any](err error, key errorx.Property) T {
	found, _ := errorx.ExtractProperty(err, key)
	value, _ := found.(T)
	return value
}

// fromEntry converts an entry's error body to one of this package's errors.
func fromEntry(id string, e jobs.Error) *errorx.Error {
	return errorType(e).New("%s: %s", e.Code, e.Message).
		WithProperty(propertyJob, id).
		WithProperty(propertyCode, e.Code).
		WithProperty(propertyRetryAfter, time.Duration(e.RetryAfterMillis)*time.Millisecond)
}

// errorType maps the outcome that the entry reported to an error type; without an
// outcome it is OutcomeUnknown. The outcome of a conflict refers to the body
// that was sent, but another job has the id and may have run.
func errorType(e jobs.Error) *errorx.Type {
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
