package process

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("process")

// Types of errors.
var (
	// ErrStart means that a process could not be put together or bind its ports.
	ErrStart = Errors.NewType("start")
	// ErrServe means that a process could not go on.
	ErrServe = Errors.NewType("serve")
	// errNoContracts is why an entry is not ready.
	errNoContracts = Errors.NewType("no_contracts")
)
