package config

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors. Errors of dispatch/contract
// are returned unchanged, as they are meant for operators.
var Errors = errorx.NewNamespace("node.config").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types.
var (
	// ErrUnavailable means that the store could not be reached, or that the change
	// kept conflicting with others. Nothing was changed.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrOutcomeUnknown means that a change was sent and that it could not be determined
	// whether it was applied; see PendingOf. Applying it again with the same id is
	// safe.
	ErrOutcomeUnknown = Errors.NewType("not_known")
	// ErrRefused means that the store rejected the call as invalid.
	ErrRefused = Errors.NewType("refused")
)

var pendingProperty = errorx.RegisterProperty("pending")

// PendingChange identifies a change whose outcome is unknown.
type PendingChange struct {
	Contract string
	ChangeID string
	// PrevRevision is the revision that the change replaces, zero for a new contract.
	PrevRevision uint64
}

// PendingOf returns the change whose outcome is unknown if err is of type
// ErrOutcomeUnknown.
func PendingOf(err error) (PendingChange, bool) {
	property, _ := errorx.ExtractProperty(err, pendingProperty)
	pending, ok := property.(PendingChange)
	return pending, ok
}

func newOutcomeUnknown(p PendingChange, cause error) error {
	return ErrOutcomeUnknown.Wrap(cause, "change %q of contract %q, based on revision %d, may or may not have been applied; retry with the same id",
		p.ChangeID, p.Contract, p.PrevRevision).WithProperty(pendingProperty, p)
}
