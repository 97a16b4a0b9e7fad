// Package limit holds a customer's contract over all entries and agents.
//
//   - [Shares] divides each contract between the entries by demand. Shares only
//     move: an entry enlarges its own after it has seen the others shrink.
//   - [Limiter] is one entry's part: rate, concurrency, memory and waiting tasks
//     within its share of each contract.
//   - [Credits] is an agent's part: its free slots, handed to entries as
//     permissions to start.
//
// The package does no I/O, reads no clock and starts no goroutine. Nothing in it
// is safe for concurrent use: the caller owns a value and calls it from one
// thread at a time.
package limit
