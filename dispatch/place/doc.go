// Package place decides which waiting task is sent to which agent.
//
// [Queue] holds the waiting tasks of one entry, grouped by job, and selects the
// next job: by class, then by weighted fair share between the contracts of the
// class, then by due time. A [Picker] chooses an agent for it among those with
// credits. [Scheduler] combines the two.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are
// not safe for concurrent use. Placing a task does not allocate.
package place
