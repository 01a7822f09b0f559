package membership

import "flag"

// Every run draws the same cases, so that it comes to the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "25")
}
