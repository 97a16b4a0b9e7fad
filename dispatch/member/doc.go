// Package member determines the live entries from the messages that entries
// exchange. It does no I/O; callers serialize all calls.
//
// The store and other entries only provide candidates. A candidate becomes a member
// once it has answered itself. A member is dropped when it reports that it has
// ended, when another process answers at its address, when it is leaving and an
// exchange with it fails, or when nothing was received from it for
// Options.DeadAfter and at least Options.DeadFailures exchanges have failed. A
// lapsed lease in the store drops no member, since no lease can be renewed during an
// outage of the store and a process may resume after a pause; it only triggers an
// immediate exchange.
//
// Dropping a live entry is safe but costly: its jobs are then answered with "outcome
// unknown" if a caller asks another entry. A flapping member therefore has to be
// reachable for longer each time before it becomes a member again.
package member
