// Package soak runs entries and agents as separate processes on loopback, beside
// stand-ins of the platform's store and workers, and injects faults from outside
// them on a schedule that is a function of a seed. While it runs it holds what
// callers and workers see against the promises.
package soak

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("soak")
	// ErrOptions is given for options that can't be used.
	ErrOptions = Errors.NewType("options")
	// ErrStart is given when a part of the site can't be started.
	ErrStart = Errors.NewType("start")
	// ErrPromise is given when a promise was broken.
	ErrPromise = Errors.NewType("promise")
)
