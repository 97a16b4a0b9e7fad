// Package agent decides for one endpoint: which starts it accepts, what it knows
// about each task it started, and how its slots are granted to entries.
//
// An Agent is a state machine without I/O. The driver calls the input methods
// (LinkUp, LinkDown, Step, TaskEnded, Tick, Leave) with the current time, then
// drains Ready and carries it out: frames to entries, tasks to run or stop at
// the endpoint, entries to ask for a new link. No method blocks. Callers
// serialize all calls; an Agent starts no goroutine and reads no clock.
//
// What it promises: a (job, task) of one home starts at most once in this
// process; a refusal means that the task has not started and will not, unless the
// home sends a new start; a result is kept until its entry has acknowledged it;
// after a fence no task of that job starts. A start for another incarnation of
// the agent never reaches it, since its link is refused.
package agent
