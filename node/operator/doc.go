// Package operator serves the operators' port of entries and agents:
// OperatorService (Status, Timeline) over connect, /metrics for Prometheus,
// /healthz (the process handles requests) and /readyz (it wants new work).
//
// Nothing here is on the path of a task. Time lines are bounded in events and
// in requests at a time, so that a curious operator can't starve the dispatch.
package operator
