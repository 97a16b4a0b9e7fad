package membership

import "github.com/joomcode/errorx"

// ErrExchange means that an entry did not answer an exchange.
var ErrExchange = errorx.NewNamespace("node.membership").NewType("exchange")
