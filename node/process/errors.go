package process

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("process")

// Types of errors.
var (
	// ErrStart means that a process could not be assembled or could not bind its ports.
	ErrStart = Errors.NewType("start")
	// ErrServe means that a process failed while serving.
	ErrServe = Errors.NewType("serve")
	// errNotReady states why an entry is not ready.
	errNotReady = Errors.NewType("not_ready")
)
