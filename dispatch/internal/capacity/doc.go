// Package capacity measures what entries and agents cost as their number, the
// contracts and the jobs in flight grow. Its benchmarks run the decision code of
// one cell on virtual time and print the slopes from which docs/CAPACITY.md works
// out the fleet; frames take no time, and their bytes are those of the encoding.
//
// The cost of sockets and HTTP is not in here: the load tool measures it.
package capacity
