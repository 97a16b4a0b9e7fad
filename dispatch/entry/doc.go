// Package entry decides for one entry: which jobs it accepts, where their tasks
// run, and what each caller is told.
//
// An Entry is a state machine without I/O. The driver calls the input methods
// (Submit, Cancel, Recover, AgentSeen, LinkUp, LinkDown, Step, Tick, Leave) with
// the current time, then drains Ready and carries it out: agents to dial, frames
// to send, answers to hand to waiting callers. No method blocks. Callers
// serialize all calls; an Entry starts no goroutine and reads no clock.
//
// What it promises: a task is sent to one agent process at a time, and to
// another only after the first has said that it has not started and never will;
// an answer is complete, with one result per task, or carries none; "not run" is
// said only when no task was sent, or each that was has been refused or revoked by
// the very process it was sent to; a job of another home is never started here.
package entry
