package health

import "flag"

// Fixes the seed, so that every run draws the same cases, and writes no failure files.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "80")
	_ = flag.Set("rapid.steps", "60")
}
