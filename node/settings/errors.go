package settings

import (
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

// Types of this package's errors. Each message starts with file and line where
// they are known. A file with several problems yields them joined.
var (
	// Unreadable means that a file could not be read.
	Unreadable = namespace.NewType("unreadable")
	// Malformed means that a file is not one object of JSON with comments.
	Malformed = namespace.NewType("malformed")
	// UnknownKey means that a key has no meaning for the file's role.
	UnknownKey = namespace.NewType("unknown_key")
	// MissingKey means that a key without a default was left out.
	MissingKey = namespace.NewType("missing_key")
	// WrongValue means that a value has the wrong type or is out of range.
	WrongValue = namespace.NewType("wrong_value")
)

// Problems lists what is wrong, one error each, in the order found.
func Problems(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// join makes one error of several and leaves a single one as it is, so that
// its type can be asked for.
func join(problems []error) error {
	if len(problems) == 1 {
		return problems[0]
	}
	return errors.Join(problems...)
}
