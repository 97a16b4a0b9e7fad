// Package site runs a whole site in one process: entries, agents and stand-in
// endpoints on loopback, each behind a relay so that its network can be made to
// fail. The demo, the load tool and failure tests use it.
package site
