package routing

import "flag"

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "100")
}
