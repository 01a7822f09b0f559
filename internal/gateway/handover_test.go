package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a restart that costs callers: an instance that starts while others run knows which
// upstreams fail before it has sent a request, and may retry at once.
func TestStartedInstanceKnowsFailingUpstreams(t *testing.T) {
	fleet := newTestFleet(t)
	first := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	good, bad := fleet.startUpstream("i-good", "orders"), fleet.startUpstream("i-bad", "orders")
	bad.failing.Store(true)
	const tries = 10 // Evidence loses its weight within seconds, which a start may take on a busy machine.
	for try := range tries {
		eventually(t, "the first instance knows", func() bool {
			first.send(t, "h.example", "/x")
			failing := first.chance(bad) // 0 while it is not registered.
			return failing > 0 && failing < 0.3 && first.chance(good) > 0.8
		})
		before := bad.requests.Load()
		second := fleet.startInstance(fmt.Sprint("second-", try), "b")
		done := func() bool {
			return inControl(second, func(c *control) bool { return !c.handoverUntil.IsZero() && !c.handoverUntil.After(time.Now()) })
		}
		eventually(t, "the handover is over", done)
		knows := second.chance(bad) < 0.5 && second.chance(good) > 0.6
		if n := bad.requests.Load() - before; n > 0 {
			t.Errorf("%d requests were sent to find it out", n)
		}
		if knows {
			return
		}
		if got := first.chance(bad); got < 0.45 {
			t.Fatalf("the first instance gives the failing upstream a chance of %.2f, the second %.2f", got, second.chance(bad))
		}
		second.stop()
	}
	t.Errorf("the first instance has forgotten what it knew at each of %d starts", tries)
}
