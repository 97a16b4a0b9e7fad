package membership

import "github.com/joomcode/errorx"

// ErrExchange is given when an entry did not answer an exchange.
var ErrExchange = errorx.NewNamespace("node.membership").NewType("exchange")
