// Package client submits jobs to papayahoist and waits for their answers.
//
// The contract: Submit returns the whole answer, with a result for each task,
// or an error that says what is known: NotRun (proven: no task has started or
// will), Failed (tasks may have run, and the job is over) or OutcomeUnknown
// (neither can be proven). Within one Submit a job starts at most once, however
// often it is sent: every attempt carries the same id and the same body, and
// the id names the one entry, its home, that may start the job's tasks.
//
// A caller that must be able to ask again after its own crash keeps an id from
// NewID before it submits, and passes it as Job.ID. It gets OutcomeUnknown, not
// a second run, when the home has died meanwhile and left no answer.
//
// A Client is safe for use by several goroutines; one per process is enough,
// since retries share its budget.
package client
