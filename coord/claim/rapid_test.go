package claim

import "flag"

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "80")
}
