// Package entry makes the decisions of one entry: which jobs it accepts, where
// their tasks run, and how each caller is answered.
//
// An Entry is a state machine without I/O. The driver calls the input methods
// (Submit, Cancel, Recover, AgentAnnounced, LinkUp, LinkDown, Step, Tick, Leave) with
// the current time, then calls Ready and carries out what it returns: agents to
// dial, frames to send, answers for waiting callers. No method blocks. The driver
// must serialize all calls; an Entry starts no goroutine and reads no clock.
//
// Guarantees:
//
//   - A task is sent to one agent process at a time, and to another only after the
//     first has confirmed that it did not start the task and never will.
//   - An answer carries one result per task, or none.
//   - "Not run" is answered only when no task was sent, or every task that was sent
//     has been refused or revoked by the process it was sent to.
//   - A job whose home is another entry is never started here.
package entry
