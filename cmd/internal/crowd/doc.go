// Package crowd tests the processes against crowds of clients that don't behave: they send
// requests that never end, requests that take far more memory decoded than on the wire, and
// connections that are only kept open. Every test starts the processes it needs on loopback
// addresses of its own.
//
// The tests have the build tag crowd, since each one needs the machine to itself:
//
//	go test -tags crowd ./cmd/internal/crowd
package crowd
