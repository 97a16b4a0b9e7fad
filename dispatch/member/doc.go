// Package member decides which entries live, from the messages that they
// exchange. It does no I/O; callers serialize all calls.
//
// The store and other entries only say whom to talk to: a name in the store, or
// on another's list, makes a candidate. A candidate becomes a member when it has
// answered itself. A member is dropped when it says that it has left, when
// another process answers at its address, or when nothing was heard of it for
// Options.DeadAfter over at least Options.DeadFailures failed exchanges. That a
// lease has lapsed in the store drops nobody: in an outage of the store no lease
// can be renewed, and a process that was paused lives on. It only makes the next
// exchange come at once.
//
// To drop a living entry is safe and costly: its jobs are then answered with
// "outcome unknown" when a caller asks elsewhere. So a member that keeps coming
// and going has to be heard for longer each time before it counts again.
package member
