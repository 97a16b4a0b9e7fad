package contract

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("contract").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrInvalid means that a contract is not valid; see FieldErrors.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict means that a change conflicts with the current revision; see
	// Changes.
	ErrConflict = Errors.NewType("conflict")
	// ErrMalformed means that a stored record can't be decoded or is not valid.
	ErrMalformed = Errors.NewType("malformed")
	// ErrNotFound means that a contract or a revision does not exist.
	ErrNotFound = Errors.NewType("not_found")
)

var (
	fieldsProperty  = errorx.RegisterProperty("fields")
	changesProperty = errorx.RegisterProperty("changes")
)

// FieldError is a field with a value that is not allowed. Field is the name as operators
// write it.
type FieldError struct {
	Field, Value, Allowed string
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors returns the invalid fields of a contract if err is ErrInvalid.
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

// Changes returns the changes with which an operator's change conflicts, if err is
// ErrConflict and the change's base revision is still kept: all changes made since the
// base revision, or for a rebase those of the same terms.
func Changes(err error) []FieldChange {
	changes, _ := errorx.ExtractProperty(err, changesProperty)
	list, _ := changes.([]FieldChange)
	return list
}
