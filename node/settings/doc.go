// Package settings loads and validates the settings file of a process. The file
// is a single object of JSON with comments; its "role" key selects the kind of
// process it configures.
//
// A file is accepted as a whole or rejected. Every key must be known, occur once
// and hold a value of the right type and range. All problems are reported
// together, each with file, line, key, the value found and the allowed values.
// Omitted optional keys get their defaults.
//
// Durations are strings with a unit ("2s", "1m30s"), sizes are in bytes, and
// addresses are "ip:port". Host names are not resolved, so that an outage of the
// name service can't prevent a process from starting.
package settings
