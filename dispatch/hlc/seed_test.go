package hlc

import "flag"

// CI must come to the same verdict each time; -rapid.seed=0 draws anew.
func init() { _ = flag.Set("rapid.seed", "1") }
