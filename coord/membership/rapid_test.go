package membership

import "flag"

// A fixed seed makes every run test the same cases, so that its result is reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "25")
}
