package settings

import (
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

// Types of this package's errors. Each message starts with the file and line if
// they are known. Several problems in one file are returned as one joined error.
var (
	// Unreadable means that a file could not be read or loaded.
	Unreadable = namespace.NewType("unreadable")
	// Malformed means that a file is not a single object of JSON with comments, or
	// that the TLS files of a port are incomplete.
	Malformed = namespace.NewType("malformed")
	// UnknownKey means that a key is not defined for the file's role.
	UnknownKey = namespace.NewType("unknown_key")
	// MissingKey means that a required key was omitted.
	MissingKey = namespace.NewType("missing_key")
	// WrongValue means that a value has the wrong type or is out of range.
	WrongValue = namespace.NewType("wrong_value")
)

// Problems splits an error of this package into its individual problems, in the
// order in which they were found. It returns nil for a nil error.
func Problems(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// join combines several errors into one. A single error is returned unwrapped,
// so that its type can be checked.
func join(problems []error) error {
	if len(problems) == 1 {
		return problems[0]
	}
	return errors.Join(problems...)
}
