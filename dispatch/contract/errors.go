package contract

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("contract").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors.
var (
	// ErrInvalid is given for contracts that can't be accepted; see FieldErrors.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict is given for a change made on an old revision; see Changes.
	ErrConflict = Errors.NewType("conflict")
	// ErrMalformed is given for stored records that can't be read.
	ErrMalformed = Errors.NewType("malformed")
	// ErrNotFound is given where a contract or a revision does not exist.
	ErrNotFound = Errors.NewType("not_found")
)

var (
	fieldsProperty  = errorx.RegisterProperty("fields")
	changesProperty = errorx.RegisterProperty("changes")
)

// FieldError is a value that is not allowed. Field is the name as operators
// write it.
type FieldError struct {
	Field, Value, Allowed string
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors returns what is wrong with a contract, if the error is ErrInvalid.
func FieldErrors(err error) []FieldError {
	fields, _ := errorx.ExtractProperty(err, fieldsProperty)
	list, _ := fields.([]FieldError)
	return list
}

func invalid(fields []FieldError) error {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = f.Error()
	}
	return ErrInvalid.New("%s", strings.Join(texts, "; ")).WithProperty(fieldsProperty, fields)
}

// Changes returns what has changed since the revision that a change was made on,
// if the error is ErrConflict and that revision is still kept.
func Changes(err error) []FieldChange {
	changes, _ := errorx.ExtractProperty(err, changesProperty)
	list, _ := changes.([]FieldChange)
	return list
}
