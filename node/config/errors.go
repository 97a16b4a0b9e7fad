package config

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors. What dispatch/contract
// decides about a change is returned as it is: its errors are for operators.
var Errors = errorx.NewNamespace("node.config").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors.
var (
	// ErrUnavailable: the store could not be reached, nothing was changed.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrNotKnown: a change was sent, and it could not be found out whether it
	// was applied; see PendingOf. Applying it again with the same id is safe.
	ErrNotKnown = Errors.NewType("not_known")
	// ErrRefused: the store refuses the call as it is.
	ErrRefused = Errors.NewType("refused")
)

var pendingProperty = errorx.RegisterProperty("pending")

// Pending names a change whose outcome is not known.
type Pending struct {
	Contract string
	ChangeID string
	// Prev is the revision that the change was to replace; zero: none.
	Prev uint64
}

// PendingOf returns the change that an ErrNotKnown is about.
func PendingOf(err error) (Pending, bool) {
	property, _ := errorx.ExtractProperty(err, pendingProperty)
	pending, ok := property.(Pending)
	return pending, ok
}

func notKnown(p Pending, cause error) error {
	return ErrNotKnown.Wrap(cause, "change %q of contract %q to revision %d is not known to be applied; ask again with this id",
		p.ChangeID, p.Contract, p.Prev).WithProperty(pendingProperty, p)
}
