// Package bench measures the system on live processes' code over loopback: it
// draws a load from a profile, drives it through the public client, and checks
// the promises against what the endpoints saw.
//
// A run is fixed by its profile, load, duration and seed: the same arrivals
// come at the same offsets whatever policy or fault is measured. Figures of time
// are the machine's.
package bench
