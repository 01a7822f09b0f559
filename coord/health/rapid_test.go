package health

import "flag"

// Every run draws the same cases and writes no files.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "80")
	_ = flag.Set("rapid.steps", "60")
}
