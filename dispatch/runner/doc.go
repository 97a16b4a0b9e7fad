// Package runner decides what runs on one worker that starts tasks under a lease.
// It is the agent's half of the work: it takes orders of several entries, starts
// what fits, queues a little, renews the lease, and tells the entries what became
// of their orders. It does no I/O and reads no clock; callers serialize all calls.
//
// The agent is the only caller of its worker, so what it has counted is all there
// is. Capacity is taken from the moment a start is sent until the worker lists the
// end of the run or proves that the run never began, also while it is stopping.
package runner
