// Package operator serves the operators' port of entries and agents:
// OperatorService (Status, Timeline) over connect, /metrics for Prometheus,
// /healthz (the process handles requests) and /readyz (it accepts new work).
//
// This package is not on the path of a task. The number of events in a time line
// and of concurrent time line requests are limited, so that operators can't starve
// the dispatch of resources.
package operator
