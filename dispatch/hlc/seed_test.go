package hlc

import "flag"

// A fixed seed makes CI runs reproducible; -rapid.seed=0 selects a random seed.
func init() { _ = flag.Set("rapid.seed", "1") }
