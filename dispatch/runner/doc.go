// Package runner decides what runs on one worker that starts tasks under a lease. It is the
// agent's counterpart of package dispatcher: it receives orders from several entries, starts
// what fits, keeps a short queue, renews the lease, and reports the outcome of each order to
// its entry. It does no I/O and reads no clock; callers serialize all calls.
//
// The agent is the only caller of its worker, so its own count of used capacity is complete.
// Capacity is reserved from the moment a start is sent until the worker lists the end of the
// run or proves that the run never began, including while the run is stopping.
package runner
