// Package settings reads the settings file of one process: JSON with comments,
// one object whose "role" says whether it is for an entry or an agent.
//
// The contract: a file is accepted whole or not at all. Every key must be
// known, occur once and hold a value of the right type and range; what is wrong
// is reported all at once, each problem with file, line, key, the value found
// and what is allowed. Defaults are filled in for keys that are left out.
//
// Durations are strings with a unit ("2s", "1m30s"), sizes are numbers of
// bytes, addresses are "ip:port": no process resolves a host name, so that an
// outage of a name service can't stop one from starting.
package settings
