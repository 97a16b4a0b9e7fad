// Package site runs a complete site in one process: entries, agents and stand-in
// endpoints on loopback, each behind a relay that can inject network faults. The
// demo, the load generator and failure tests use it.
package site
