// Package process assembles a whole entry or agent from its settings: the
// driver with its decisions, the platform's clients, membership and contracts,
// metrics, time line and the operators' port.
//
// A process is made with NewEntry or NewAgent, which bind its ports, and lives
// in Run until the context ends and it has drained.
package process
