package placement

import "flag"

// The fixed seed makes every run draw the same cases, so that test results are reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
