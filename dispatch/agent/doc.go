// Package agent manages the tasks and slots of one endpoint: it accepts or refuses
// starts, records the tasks that it started, and grants slots to entries.
//
// An Agent is a state machine without I/O. The driver calls the input methods
// (LinkUp, LinkDown, Step, TaskEnded, Tick, Leave) with the current time, then
// calls Ready and carries out what it returns: frames to send to entries, tasks to
// run or stop at the endpoint, entries to reconnect. No method blocks. Callers
// serialize all calls; an Agent starts no goroutine and reads no clock.
//
// The package guarantees: a (job, task) of one home starts at most once in this
// process; a refusal means that the task has not started and will not, unless the
// home sends a new start; a result is kept until its entry has acknowledged it;
// after a fence no task of that job starts. A start for another incarnation of
// the agent never reaches it, since its link is refused.
package agent
