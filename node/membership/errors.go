package membership

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	errors = errorx.NewNamespace("node.membership")
	// ErrExchange means that an entry did not answer an exchange.
	ErrExchange = errors.NewType("exchange")
	// ErrAnnouncement means that a key isn't the announcement of an entry.
	ErrAnnouncement = errors.NewType("announcement")
)
