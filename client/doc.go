// Package client submits jobs to papayahoist and waits for their answers.
//
// Submit returns the complete answer, with a result for each task, or an error
// that states what is known: NotRun (proven: no task has started or will start),
// Failed (tasks may have run, and the job is over) or OutcomeUnknown (neither
// can be proven). Within one Submit a job starts at most once, however often it
// is sent: every attempt carries the same id and the same body, and the id names
// the only entry, its home, that may start the job's tasks.
//
// A caller that must be able to resume after a crash of its own stores an id
// from NewID before it submits, and passes it as Job.ID. If the home has died in
// the meantime and left no answer, it gets OutcomeUnknown rather than a second
// run.
//
// A Client is safe for concurrent use. One per process is enough, and lets all
// retries share one budget.
package client
