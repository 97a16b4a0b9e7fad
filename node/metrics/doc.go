// Package metrics defines the Prometheus collectors of a process. Names follow the
// Prometheus conventions: namespace papayahoist, base units, counters ending in
// _total.
//
// The number of series is bounded. Contract labels are limited to MaxContracts
// names from the configuration and never contain a name sent by a caller. Workers
// and jobs are not labels; they appear in the time line. An entry with 41 contracts
// exports fewer than 2,000 series and an agent fewer than 120. Tests enforce both
// limits.
//
// Series are created when a contract comes into force. The request path only calls
// Inc, Add and Observe on existing series.
package metrics
