// Package contract decides about contracts: which are valid, how an operator's
// change is put on top of what the store holds, what a lost answer to a change
// can be resolved to, and which revision of a contract is in force.
//
// It does no I/O. Contracts that this package returns are shared and must not be
// changed.
//
// # Revisions
//
// A contract's revision is the store revision of the write that made it; it
// grows with each change and is never used twice. A deleted contract stays as a
// tombstone with a revision of its own, since otherwise a process that still
// holds an old copy could not be told from one that is ahead. A process holds,
// per contract, the highest revision that it has ever seen (Registry).
package contract
