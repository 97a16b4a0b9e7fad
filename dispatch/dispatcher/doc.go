// Package dispatcher decides, at an entry, what becomes of callers' jobs on workers
// that run tasks under a lease: which jobs are taken, in which order their tasks
// wait, on which worker each starts, when a run is moved, and what the caller is
// told. It does no I/O and reads no clock; callers serialize all calls.
//
// The entry that took a job keeps it until it is answered, and alone orders its
// runs. A task has one order at a time: the next one goes out only when the agent
// has said that the last one ended or never begins, or when enough time has passed
// that whatever was ordered has ended by itself; see package bounds.
package dispatcher
