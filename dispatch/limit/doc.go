// Package limit enforces customers' contracts across all entries and agents.
//
//   - [Shares] divides each contract between the entries by demand. An entry
//     enlarges its share only after it has seen the others shrink theirs.
//   - [Limiter] enforces an entry's share of each contract: rate, concurrency,
//     memory and waiting tasks.
//   - [Credits] divides an agent's slots between the entries as permissions to
//     start tasks. [SharedSlots] offers all slots to every entry instead.
//
// The package does no I/O, reads no clock and starts no goroutine. Nothing in it
// is safe for concurrent use: callers must serialize access.
package limit
