// Package process assembles a complete entry or agent from its settings: the
// driver and its state machine, the platform's clients, membership and contracts,
// metrics, time line and the operators' port.
//
// NewEntry, NewAgent, NewLeasedEntry and NewLeasedAgent create a process and bind
// its ports. Run serves until its context is cancelled, and returns after the
// process has drained.
package process
