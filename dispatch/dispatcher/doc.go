// Package dispatcher implements an entry's decisions about jobs whose workers run
// tasks under a lease: which jobs are admitted, in which order their tasks wait, on
// which worker each task starts, when a run is moved, and how the caller is answered.
// It does no I/O and reads no clock; callers must serialize all calls.
//
// The entry that admitted a job owns it until it is answered, and is the only one to
// order its runs. A task has at most one live order. The next order is sent only after
// the agent has reported that the previous run ended or never begins, or after enough
// time has passed that it must have ended by itself; see package bounds.
package dispatcher
