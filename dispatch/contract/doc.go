// Package contract implements the rules for contracts: it validates them, applies an
// operator's change to the stored record, resolves the outcome of a change whose
// response was lost, and tracks which revision of each contract is in force.
//
// It does no I/O. Contracts that this package returns are shared and must not be
// modified.
//
// # Revisions
//
// A contract's revision is the store revision of the write that made it; it
// grows with each change and is never reused. A deleted contract stays as a
// tombstone with a revision of its own: without it, a process that holds an old
// copy could not be distinguished from one that is ahead. For each contract a
// process holds the highest revision that it has ever received ([Registry]).
package contract
