// Package capacity measures how the cost of entries and agents grows with their number, the
// contracts and the jobs in flight. Its benchmarks run the decision code of one cell on virtual
// time and print the marginal costs from which docs/CAPACITY.md derives the size of the fleet.
// Frames take no time, and their sizes are those of the encoding.
//
// The cost of sockets and HTTP is not included: the load tool measures it.
package capacity
