// Package soak runs entries and agents as separate processes on loopback, beside
// stand-ins of the platform's store and workers, and injects faults from outside
// on a schedule that a seed determines. Meanwhile it checks what callers and
// workers observe against the system's promises.
package soak

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("soak")
	// ErrOptions is returned for invalid options.
	ErrOptions = Errors.NewType("options")
	// ErrStart is returned when a part of the cluster can't be started.
	ErrStart = Errors.NewType("start")
	// ErrPromise is returned when a promise was broken.
	ErrPromise = Errors.NewType("promise")
)
