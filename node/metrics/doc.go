// Package metrics holds the collectors of a process, by the conventions of
// client_golang: namespace papayahoist, base units, counters ending in _total.
//
// Label sets are bounded. Contracts are those of the configuration, at most
// MaxContracts of them, and never a name that a caller sent; workers and jobs
// are no labels (the time line has them). An entry with 41 contracts exports
// under 2,000 series, an agent under 120; tests hold both bounds.
//
// Series are resolved when a contract comes into force. On a request's path
// only Inc, Add and Observe of a series that is already there are called.
package metrics
