// Package bench measures the code of the live processes over loopback: it
// generates a load from a profile, submits it through the public client, and
// checks the guarantees against what the endpoints recorded.
//
// A run is determined by its profile, load, duration and seed: the same jobs
// arrive at the same offsets whichever policy or fault is measured. Durations
// depend on the machine.
package bench
