// Package place decides which waiting task goes to which agent.
//
// [Queue] keeps the waiting tasks of one entry, grouped by job, and says which
// job goes next: by class, then by weighted fair share between the contracts of
// the class, then by the time at which its answer is due. A [Picker] chooses an agent for it among those
// that hold credits. [Scheduler] joins the two.
//
// The package does no I/O, reads no clock and starts no goroutine. Nothing in it
// is safe for concurrent use: the caller owns a value and calls it from one
// thread at a time. Placing a task allocates nothing.
package place
